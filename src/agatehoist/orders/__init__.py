"""What each endpoint should hold and the orders that get it there."""

from __future__ import annotations
