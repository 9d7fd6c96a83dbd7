"""Room that the endpoints have for a request, from what this process knows of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.admission.room import EngineState, Need, Room, room_for
from agatehoist.fleet.load import DEFAULT_PREFILL_TOKENS_PER_S, DEFAULT_STEP_S
from agatehoist.gateway.prompt_cache import matched_tokens

if TYPE_CHECKING:
    from agatehoist.fleet.types import Endpoint
    from agatehoist.gateway.state import GatewayState
    from agatehoist.routing.types import Engines, RoutedRequest


def room_at(
    state: GatewayState, request: RoutedRequest, endpoint: Endpoint, now: float
) -> Room:
    """Return what a request would meet, and cause, at an endpoint."""
    load, prompt = state.load, request.envelope.prompt
    lifetime = endpoint.lifetime
    if prompt is None:
        return Room(load.wait_s(lifetime, now), 0.0)
    version = state.fleet.version_of(endpoint, prompt.model)
    matched = matched_tokens(state, request, endpoint, version)
    missing_tokens = max(0, prompt.prompt_tokens - matched)
    engines = engines_of(state, request.service)
    if engines is None or not engines.states_figures:
        read_s = missing_tokens / DEFAULT_PREFILL_TOKENS_PER_S
        return Room(load.wait_s(lifetime, now), read_s)
    need = Need(
        missing_tokens,
        missing_tokens + prompt.max_output_tokens,
        request.route.gap_objective_s,
    )
    slowness = load.slowness(lifetime)
    engine = EngineState(
        prefill_tokens_per_s=DEFAULT_PREFILL_TOKENS_PER_S / slowness,
        step_s=slowness * DEFAULT_STEP_S,
        stride=engines.stride,
        memory_tokens=engines.memory_tokens,
        runs=load.runs(lifetime, now),
        unprocessed_tokens=load.unprocessed_tokens(lifetime, now),
        held_tokens=0,
    )
    return room_for(need, engine)


def engines_of(state: GatewayState, service: str) -> Engines | None:
    """Return what the configuration states of the engines of a service."""
    found = state.table.services_by_name.get(service) if state.table else None
    return found.engines if found else None
