"""Roll-out of new weights: target versions and the order in which endpoints load."""

from __future__ import annotations
