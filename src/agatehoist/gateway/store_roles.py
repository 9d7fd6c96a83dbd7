"""Roles in which nodes read the store."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any

from agatehoist.core.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable


class StoreRole(enum.StrEnum):
    """Say how a node learns of changes in the store.

    ALONE: it watches the store for itself, in a small fleet.
    WATCHER: it watches the store and passes changes on to followers.
    FOLLOWER: it asks the watchers.
    """

    ALONE = "alone"
    WATCHER = "watcher"
    FOLLOWER = "follower"


# Each entry starts the tasks of a role in a task group.
STORE_ROLES: Registry[Callable[..., Any]] = Registry("store role")
