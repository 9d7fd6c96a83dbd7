"""What is known of the endpoints: who serves, with which weights, under which load."""

from __future__ import annotations
