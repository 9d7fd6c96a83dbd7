"""Explanation of the outcome of one request from the logs of processes."""

from __future__ import annotations
