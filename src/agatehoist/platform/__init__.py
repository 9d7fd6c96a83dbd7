"""Translation between the product's types and the users' platform."""

from __future__ import annotations
