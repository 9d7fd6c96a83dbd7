"""Routes from hosts and paths to services, and who may use them."""

from __future__ import annotations
