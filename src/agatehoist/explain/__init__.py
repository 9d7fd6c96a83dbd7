"""From the logs of processes to the cause of one request's outcome."""

from __future__ import annotations
