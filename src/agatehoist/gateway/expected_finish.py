"""Offers that state when an answer is expected to end, from what this process knows."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from agatehoist.fleet.capacity import DEFAULT_PREFILL_TOKENS_PER_S
from agatehoist.gateway.prompt_cache import (
    cache_salt_for,
    cached_tokens,
    engines_of,
    matched_tokens,
)
from agatehoist.gateway.room import room_at
from agatehoist.gateway.spill import transfer_s
from agatehoist.observability.logs import get_logger
from agatehoist.observability.metrics import SHARED_TOKENS_TOTAL
from agatehoist.placement.costs import harm_s
from agatehoist.placement.popularity import holder_count
from agatehoist.placement.types import ExpectedFinish, Offer
from agatehoist.protocol.node_reports import part_key

if TYPE_CHECKING:
    from agatehoist.core.identity import EndpointIdentity
    from agatehoist.fleet.types import Endpoint
    from agatehoist.gateway.state import GatewayState
    from agatehoist.gateway.types import Dispatch
    from agatehoist.placement.types import Candidate
    from agatehoist.routing.types import RoutedRequest

logger = get_logger("gateway")

# Of the key by which a request is spread. With few different keys, the hash values of
# all endpoints are in the memory of the process.
SPREAD_KEY_BYTES = 1


def is_by_finish(state: GatewayState, request: RoutedRequest) -> bool:
    """Return whether the engines of a request state what its finish depends on."""
    if not state.settings.placement.by_finish or request.envelope.prompt is None:
        return False
    engines = engines_of(state, request.service)
    return engines is not None and engines.memory_tokens > 0 and engines.stride > 1


def finish_offer(
    state: GatewayState,
    request: RoutedRequest,
    candidate: Candidate,
    identity: EndpointIdentity,
    penalty_s: float,
) -> Offer:
    """Return the offer of an endpoint with its expected finish.

    The penalty is added to its wait.
    """
    prompt, now = request.envelope.prompt, state.clock.now()
    assert prompt is not None
    endpoint = state.fleet.by_name[candidate.host]
    version = state.fleet.version_of(endpoint, prompt.model)
    rates = state.load.capacity.rates(endpoint.lifetime, now)
    rate = rates.prefill_tokens_per_s
    _note_held(state, request, endpoint, now)
    room = room_at(state, request, endpoint, now)
    shared = sum(each.tokens for each in prompt.shared_parts)
    repeated = shared - cached_tokens(state, request, endpoint, version)
    matched = matched_tokens(state, request, endpoint, version)
    finish = ExpectedFinish(
        wait_s=room.wait_s + penalty_s,
        read_s=room.read_s,
        answer_s=prompt.max_output_tokens * rates.step_s,
        # What is fetched takes memory of other parts, but no time to compute.
        repeat_s=min(repeated / rate, room.read_s),
        harm_s=harm_s(room, request.route.gap_objective_s, rate),
    )
    ttft_s = finish.wait_s + finish.read_s
    weight = _weight(state, endpoint, rate, now)
    leaving_s = transfer_s(state, request, endpoint.data_centre)
    return Offer(candidate, identity, matched, ttft_s, finish, room, weight, leaving_s)


def note_part_request(
    state: GatewayState, request: RoutedRequest, dispatch: Dispatch
) -> None:
    """Count a request for the shared parts of its prompt, and where they are."""
    key, prompt = _part_of(request), request.envelope.prompt
    if key is None or prompt is None or not is_by_finish(state, request):
        return
    state.placement.part_rates.note_request(key, state.clock.now())
    endpoint, version = dispatch.endpoint, dispatch.weights_version
    shared = sum(each.tokens for each in prompt.shared_parts)
    cached = cached_tokens(state, request, endpoint, version)
    source = "fetch" if dispatch.cache_fetch_address else "read"
    SHARED_TOKENS_TOTAL.add({"source": "memory"}, cached)
    SHARED_TOKENS_TOTAL.add({"source": source}, shared - cached)


def holders_of(state: GatewayState, request: RoutedRequest, now: float) -> int:
    """Return how many endpoints are to hold the shared parts of a prompt.

    The other nodes are taken to get as many requests for them as this one.
    """
    key, prompt = _part_of(request), request.envelope.prompt
    if key is None or prompt is None or not is_by_finish(state, request):
        return 1
    own_per_s = state.placement.part_rates.per_s(key, now)
    own_tokens = prompt.parts[-1].tokens
    read_s = own_tokens / DEFAULT_PREFILL_TOKENS_PER_S
    return holder_count(own_per_s * max(1, len(state.nodes)), read_s)


def spread_key(request: RoutedRequest) -> bytes:
    """Return a key by which requests that any endpoint may serve are spread."""
    request_id = request.envelope.request_id.encode()
    return hashlib.blake2b(request_id, digest_size=SPREAD_KEY_BYTES).digest()


def _weight(state: GatewayState, endpoint: Endpoint, rate: float, now: float) -> float:
    weights, lifetime = state.placement.home_weights, endpoint.lifetime
    before = weights.known(lifetime)
    weight = weights.weight(lifetime, rate, now)
    if before is not None and weight != before:
        logger.info(
            "home weight changed",
            endpoint=lifetime,
            ratio=round(weight / before, 2),
            prefill_tokens_per_s=round(rate),
        )
    return weight


def _part_of(request: RoutedRequest) -> bytes | None:
    prompt = request.envelope.prompt
    if prompt is None or not prompt.shared_parts:
        return None
    return part_key(cache_salt_for(request, 0), prompt.shared_parts[-1].part_id)


def _note_held(
    state: GatewayState, request: RoutedRequest, endpoint: Endpoint, now: float
) -> None:
    engines = engines_of(state, request.service)
    if engines is None:
        return
    own_tokens = state.load.work(endpoint.lifetime, now).own_tokens
    state.parts.note_held(endpoint.lifetime, engines.memory_tokens, own_tokens)
