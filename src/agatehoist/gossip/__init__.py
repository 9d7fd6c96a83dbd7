"""Gossip protocol that distributes the configuration and the host list."""

from __future__ import annotations
