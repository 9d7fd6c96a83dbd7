"""Scheduling of the jobs admitted to an endpoint."""

from __future__ import annotations
