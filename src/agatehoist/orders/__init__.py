"""Desired state of each endpoint and the orders that bring it about.

An order is a command of a sidecar to its endpoint, such as to load weights.
"""

from __future__ import annotations
