"""The protocol between the processes of agatehoist."""

from __future__ import annotations
