"""Room that the endpoints have for a request, from what this process knows of them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from agatehoist.admission.room import EngineState, Need, Room, held_tokens, room_for
from agatehoist.fleet.capacity import DEFAULT_PREFILL_TOKENS_PER_S
from agatehoist.gateway.prompt_cache import cache_salt_for, matched_tokens
from agatehoist.protocol.endpoint_rates import RunSizes

if TYPE_CHECKING:
    from agatehoist.fleet.types import Endpoint
    from agatehoist.gateway.state import GatewayState
    from agatehoist.routing.types import Engines, Prompt, RoutedRequest

# The news of peers are older than this when they arrive.
STATE_MAX_AGE_S = 0.01


@dataclass(frozen=True, slots=True)
class _KnownState:
    engine: EngineState
    # Compared by identity: each configuration in force has its own.
    engines: object
    own_changes: int
    at: float


class EngineStates:
    """Keep the states of the engines for a moment, as each request asks for all.

    What this process sends to an engine, and its end, count at once.
    """

    def __init__(self) -> None:
        self._known_by_lifetime: dict[str, _KnownState] = {}

    def get(
        self, state: GatewayState, engines: Engines, lifetime: str, now: float
    ) -> EngineState:
        """Return the measured rates of an engine and the work that it has."""
        known = self._known_by_lifetime.get(lifetime)
        own_changes = state.load.own_changes(lifetime)
        if (
            known is not None
            and known.own_changes == own_changes
            and known.at <= now < known.at + STATE_MAX_AGE_S
            and known.engines is engines
        ):
            return known.engine
        engine = _compute_state(state, engines, lifetime, now)
        self._known_by_lifetime[lifetime] = _KnownState(
            engine, engines, own_changes, now
        )
        return engine

    def forget(self, lifetime: str) -> None:
        """Drop the state of an engine that has ended."""
        self._known_by_lifetime.pop(lifetime, None)


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
    engines = measured_engines(state, request)
    if engines is None:
        read_s = missing_tokens / DEFAULT_PREFILL_TOKENS_PER_S
        return Room(load.wait_s(lifetime, now), read_s)
    salt = cache_salt_for(request, version)
    cached = state.parts.matched_tokens(lifetime, salt, prompt.shared_parts)
    sizes = run_sizes(prompt)
    need = Need(
        missing_tokens,
        sizes.own_tokens + max(0, sizes.shared_tokens - cached),
        request.route.gap_objective_s,
    )
    return room_for(need, state.engine_states.get(state, engines, lifetime, now))


def _compute_state(
    state: GatewayState, engines: Engines, lifetime: str, now: float
) -> EngineState:
    rates = state.load.capacity.rates(lifetime, now)
    work = state.load.work(lifetime, now)
    return EngineState(
        prefill_tokens_per_s=rates.prefill_tokens_per_s,
        step_s=rates.step_s,
        stride=engines.stride,
        memory_tokens=engines.memory_tokens,
        runs=work.runs,
        unprocessed_tokens=work.unprocessed_tokens,
        held_tokens=held_tokens(
            work.own_tokens, work.shared_tokens, state.parts.held_tokens(lifetime)
        ),
        slots=engines.slots,
        noise=rates.noise,
    )


def run_sizes(prompt: Prompt) -> RunSizes:
    """Return the tokens that a run holds until its end, at most."""
    shared_tokens = sum(each.tokens for each in prompt.shared_parts)
    own_tokens = max(0, prompt.prompt_tokens - shared_tokens)
    return RunSizes(own_tokens + prompt.max_output_tokens, shared_tokens)


def measured_engines(state: GatewayState, request: RoutedRequest) -> Engines | None:
    """Return the engines that a request may be sent to if their figures are stated.

    Rates are measured and told to peers only for these.
    """
    if request.envelope.prompt is None or state.table is None:
        return None
    service = state.table.services_by_name.get(request.service)
    engines = service.engines if service else None
    return engines if engines is not None and engines.states_figures else None
