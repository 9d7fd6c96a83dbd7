"""Goals: the desired state of each endpoint.

A goal follows from the configuration and the host list alone.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from agatehoist.orders.types import (
    PINNED_SEPARATOR,
    Goal,
    Holding,
    ModelEndpoints,
    Role,
)
from agatehoist.storage.types import HostState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from agatehoist.configuration import FleetConfiguration
    from agatehoist.storage.types import HostEntry

ENGINE = "engine"


def goal_for(
    host: str,
    model_name: str,
    configuration: FleetConfiguration,
    entries: Iterable[HostEntry],
) -> Goal | None:
    """Return the desired state of an engine, or None if its model isn't configured."""
    model = configuration.models_by_name.get(model_name)
    if model is None:
        return None
    role = Role.MIXED
    if model.prefill_share > 0:
        ranked = _ranked_hosts(model_name, _engines(model_name, entries))
        prefill_hosts = ranked[: int(model.prefill_share * len(ranked))]
        role = Role.PREFILL if host in prefill_hosts else Role.DECODE
    # The rules of a host may pin it to another weights version than its model's. It
    # then has its own roll-out, so that its failures don't stop the model's.
    version = configuration.rules_of(host).weights_version or model.weights_version
    is_pinned = version != model.weights_version
    adapters = tuple(sorted(set(model.adapters)))
    return Goal(
        host,
        Holding(model_name, version, adapters, role),
        model.rollout_attempt,
        configuration.revision,
        f"{model_name}{PINNED_SEPARATOR}{host}" if is_pinned else model_name,
    )


def endpoints_of(model_name: str, entries: Iterable[HostEntry]) -> ModelEndpoints:
    """Return the number of a model's engines and the hosts of the live ones."""
    engines = _engines(model_name, entries)
    live_hosts = (each.host for each in engines if each.state is HostState.LIVE)
    return ModelEndpoints(len(engines), frozenset(live_hosts))


def _engines(model_name: str, entries: Iterable[HostEntry]) -> list[HostEntry]:
    return [
        entry
        for entry in entries
        if entry.kind == ENGINE and entry.serves == model_name
    ]


def _ranked_hosts(salt: str, entries: Iterable[HostEntry]) -> list[str]:
    def hash_of(host: str) -> bytes:
        return hashlib.blake2b(f"{salt}/{host}".encode(), digest_size=8).digest()

    return sorted((entry.host for entry in entries), key=hash_of)
