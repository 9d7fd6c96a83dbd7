"""New weights: which are named, and in which order endpoints take them."""

from __future__ import annotations
