"""Translation between the users' platform and the types of this program."""

from __future__ import annotations
