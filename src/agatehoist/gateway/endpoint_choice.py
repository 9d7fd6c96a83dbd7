"""Choice of the endpoint for a request, from the state of this process."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from agatehoist.core.identity import EndpointIdentity
from agatehoist.core.work import PrefixLevel, Priority
from agatehoist.fleet.load import DEFAULT_PREFILL_TOKENS_PER_S
from agatehoist.gateway.endpoint_permits import held_back_until
from agatehoist.gateway.expected_finish import (
    finish_offer,
    holders_of,
    is_by_finish,
    note_part_request,
    spread_key,
)
from agatehoist.gateway.prompt_cache import (
    cache_salt_for,
    fetch_address,
    matched_tokens,
    save_address,
)
from agatehoist.gateway.spill import by_data_centre
from agatehoist.gateway.topics import WEIGHTS_TOPIC
from agatehoist.gateway.types import Dispatch
from agatehoist.limits.endpoint_permits import LEAST_URGENT
from agatehoist.placement.policies import POLICIES
from agatehoist.placement.types import Candidate, Offer, PlacementRequest
from agatehoist.storage.revisions import NO_REVISION

if TYPE_CHECKING:
    from agatehoist.fleet.types import Endpoint
    from agatehoist.gateway.state import GatewayState
    from agatehoist.routing.types import Prompt, RoutedRequest

PLACEMENT_POLICY = "home_bounded"
# Where the settings ask for it and the configuration states memory and stride.
BY_FINISH_POLICY = "expected_finish"
# Added to the expected wait of an endpoint with replaced weights, to prefer new ones.
OLD_WEIGHTS_PENALTY_S = 0.25
# Added to the expected wait of an endpoint that often fails: the cost of a retry.
UNHEALTHY_PENALTY_S = 1.0
# Added to the expected wait of an endpoint that sends no request any data: a sound one
# may be silent for this long.
SILENT_PENALTY_S = 1.0
# Runs stop beginning on replaced weights this long before `weights_in_force_s` has
# passed: a request may wait in the engine's queue, and a new target is noticed with a
# delay.
OLD_WEIGHTS_MARGIN_S = 1.0
# An endpoint at which requests wait long gets none for a longer time before.
WAIT_MARGIN_FACTOR = 1.5
MAX_OLD_WEIGHTS_MARGIN_S = 4.0
# Added for a request that may run only once: its caller gets no answer if it is taken
# back.
RUN_ONCE_MARGIN_S = 0.5
# Runs that still wait in an engine are taken back so long before it: gateways notice a
# new target with a delay, and the engine the closed connection.
WITHDRAWAL_MARGIN_S = 0.5
# Peers report since when a version has been the target once a second. A process that
# they haven't told for so long since its start takes a version of unknown age for
# overdue.
UNKNOWN_AGE_USE_S = 3.0
# A caller that comes back after a refusal states less time than the route allows.
RETURNED_TIME_SHARE = 0.97
DIGEST_BYTES = 16
# Engines run all short prompts before the long ones, and those of each class by the
# priority of their organisation or route.
FIRST_LONG_PRIORITY = 2


def find_offers(
    state: GatewayState,
    request: RoutedRequest,
    tried: frozenset[str],
    software: str | None = None,
) -> tuple[Offer, ...]:
    """Return the endpoints to try, best first, of one software version if given."""
    now = state.clock.now()
    # In a gateway, the `host` of a candidate is the name of the endpoint.
    candidates = tuple(
        Candidate(each.name, each.data_centre)
        for each in _available(state, request, now, software)
        if each.lifetime not in tried
    )
    candidates_to_try = state.suspects.candidates_to_try(candidates, now)
    offers = tuple(_offer(state, request, each) for each in candidates_to_try)
    name = BY_FINISH_POLICY if is_by_finish(state, request) else PLACEMENT_POLICY
    chosen = POLICIES[name]().choose(_placement_request(state, request, now), offers)
    # An endpoint that was tried says nothing about the others of its data centre.
    return by_data_centre(state, request, chosen, now, is_first=not tried)


def has_usable(
    state: GatewayState,
    request: RoutedRequest,
    tried: frozenset[str],
    software: str,
) -> bool:
    """Return whether an untried endpoint of a version, not suspected, is offered."""
    now = state.clock.now()
    return any(
        each.lifetime not in tried and not state.suspects.is_suspected(each.name, now)
        for each in _available(state, request, now, software)
    )


def make_dispatch(
    state: GatewayState,
    request: RoutedRequest,
    endpoint: Endpoint,
    last_event_id: bytes | None,
    version: int | None = None,
) -> Dispatch:
    """Return the parameters with which to send a request to an endpoint.

    The request expects the given weights version, by default that of the endpoint.
    """
    prompt = request.envelope.prompt
    if prompt is None:
        return Dispatch(endpoint, last_event_id=last_event_id)
    if version is None:
        version = state.fleet.version_of(endpoint, prompt.model)
    matched = matched_tokens(state, request, endpoint, version)
    dispatch = Dispatch(
        endpoint=endpoint,
        missing_tokens=max(0, prompt.prompt_tokens - matched),
        weights_version=version,
        salt=cache_salt_for(request, version),
        priority=_priority(request),
        cache_fetch_address=fetch_address(state, request, endpoint, version),
        cache_save_address=save_address(state, request, endpoint, version),
        last_event_id=last_event_id,
    )
    note_part_request(state, request, dispatch)
    return dispatch


def required_version(state: GatewayState, model: str, now: float) -> int:
    """Return the oldest weights version on which a request may begin.

    Older weights may be used only for a limited time after a new target is set.
    """
    set_by = now - _old_weights_limit_s(state)
    required = state.weights.required_version(model, set_by)
    return max(required, _reported_version(state, model, set_by))


def _reported_version(state: GatewayState, model: str, set_by: float) -> int:
    """Return the version required by peers' reports, 0 once the targets are read."""
    if state.feed.revisions_by_topic[WEIGHTS_TOPIC] != NO_REVISION:
        return 0
    return state.weights.reported_version(model, set_by)


def latest_start(state: GatewayState, model: str, version: int) -> float:
    """Return until when a run that was sent may begin on a weights version."""
    weights, limit_s = state.weights, _old_weights_limit_s(state)
    unknown_at = state.started_at + UNKNOWN_AGE_USE_S - limit_s
    replaced_at = weights.replaced_at(model, version, unknown_at)
    if state.feed.revisions_by_topic[WEIGHTS_TOPIC] == NO_REVISION:
        reported_at = weights.reported_replaced_at(model, version)
        replaced_at = min(replaced_at, reported_at)
    return replaced_at + limit_s + OLD_WEIGHTS_MARGIN_S - WITHDRAWAL_MARGIN_S


def _old_weights_limit_s(state: GatewayState) -> float:
    return state.settings.weights_in_force_s - OLD_WEIGHTS_MARGIN_S


def is_returned(request: RoutedRequest) -> bool:
    """Return whether the caller has less time than a new one has."""
    time_left_s = request.deadline - request.envelope.received_at
    return time_left_s < RETURNED_TIME_SHARE * request.route.timeout_s


def _available(
    state: GatewayState, request: RoutedRequest, now: float, software: str | None
) -> tuple[Endpoint, ...]:
    priority = urgency(request)
    serving = tuple(
        each
        for each in state.fleet.serving(request.service, now)
        if software in (None, each.software)
        and held_back_until(state, each, priority) is None
        and state.body_bytes.has_room(each.lifetime, len(request.envelope.body))
    )
    prompt = request.envelope.prompt
    if prompt is None:
        return serving
    model = prompt.model
    allowed = tuple(each for each in serving if _may_begin(state, request, each, now))
    if not allowed and now < state.started_at + UNKNOWN_AGE_USE_S:
        set_by = now - _old_weights_limit_s(state)
        # A target of unknown age may have been set just now.
        known = state.weights.known_required_version(model, set_by)
        required = max(known, _reported_version(state, model, set_by))
        allowed = tuple(
            each for each in serving if state.fleet.version_of(each, model) >= required
        )
    # Endpoints that are loading weights are used only if there are no others.
    unchanging = [each for each in allowed if not state.weights.is_changing(each, now)]
    return tuple(unchanging) or allowed


def _may_begin(
    state: GatewayState, request: RoutedRequest, endpoint: Endpoint, now: float
) -> bool:
    """Return whether a request may begin on the weights that an endpoint has.

    The longer a request may wait at the endpoint, the later it may begin.
    """
    prompt = request.envelope.prompt
    if prompt is None:
        return True
    version = state.fleet.version_of(endpoint, prompt.model)
    most_s = MAX_OLD_WEIGHTS_MARGIN_S - OLD_WEIGHTS_MARGIN_S
    if version >= required_version(state, prompt.model, now + most_s):
        return True
    missing = prompt.prompt_tokens - matched_tokens(state, request, endpoint, version)
    wait_s = state.load.begin_wait_s(endpoint.lifetime, missing, now)
    least_s = 0.0 if request.route.repeatable else RUN_ONCE_MARGIN_S
    wait_margin_s = WAIT_MARGIN_FACTOR * wait_s - OLD_WEIGHTS_MARGIN_S
    later_s = min(most_s, max(least_s, wait_margin_s))
    return version >= required_version(state, prompt.model, now + later_s)


def urgency(request: RoutedRequest) -> int:
    """Return the priority of a request for permits; 0 is the most urgent.

    A caller that comes back after a refusal goes before new ones.
    """
    if is_returned(request):
        return 0
    return min(max(0, _caller_priority(request)), LEAST_URGENT)


def _offer(state: GatewayState, request: RoutedRequest, candidate: Candidate) -> Offer:
    endpoint = state.fleet.by_name[candidate.host]
    prompt = request.envelope.prompt
    version = state.fleet.version_of(endpoint, prompt.model) if prompt else 0
    identity = EndpointIdentity(endpoint.name, endpoint.lifetime, str(version))
    penalty_s = _penalty_s(state, request, endpoint, version)
    if prompt is not None and is_by_finish(state, request):
        return finish_offer(state, request, candidate, identity, penalty_s)
    is_short = prompt is not None and prompt.is_short
    wait_s = state.load.wait_s(endpoint.lifetime, state.clock.now(), is_short)
    wait_s += penalty_s
    if prompt is None:
        return Offer(candidate, identity, 0, wait_s)
    # The gateway sends no probes: what is cached follows from what was sent before.
    matched = matched_tokens(state, request, endpoint, version)
    read_s = max(0, prompt.prompt_tokens - matched) / DEFAULT_PREFILL_TOKENS_PER_S
    return Offer(candidate, identity, matched, wait_s + read_s)


def _penalty_s(
    state: GatewayState, request: RoutedRequest, endpoint: Endpoint, version: int
) -> float:
    """Return the wait that an endpoint with a drawback counts as having."""
    prompt, now = request.envelope.prompt, state.clock.now()
    penalty_s = 0.0
    if prompt and version < state.weights.target(prompt.model):
        penalty_s += OLD_WEIGHTS_PENALTY_S
    if state.health.is_unhealthy(endpoint.lifetime, now):
        penalty_s += UNHEALTHY_PENALTY_S
    if state.silences.is_silent(endpoint.lifetime, now):
        penalty_s += SILENT_PENALTY_S
    return penalty_s


def _placement_request(
    state: GatewayState, request: RoutedRequest, now: float
) -> PlacementRequest:
    prompt = request.envelope.prompt
    levels: list[PrefixLevel] = []
    tokens = 0
    digest = hashlib.blake2b(
        cache_salt_for(request, 0).encode(), digest_size=DIGEST_BYTES
    )
    for part in prompt.shared_parts if prompt else ():
        digest.update(f"/{part.part_id}".encode())
        tokens += part.tokens
        levels.append(PrefixLevel(digest.digest(), tokens))
    return PlacementRequest(
        tuple(levels),
        prompt.prompt_tokens if prompt else 0,
        work_priority(prompt),
        state.settings.data_centre,
        holders_of(state, request, now),
        spread_key(request),
    )


def _caller_priority(request: RoutedRequest) -> int:
    organisation = request.organisation
    if organisation is None or organisation.priority is None:
        return request.route.priority
    return organisation.priority


def _priority(request: RoutedRequest) -> int:
    priority = _caller_priority(request)
    if work_priority(request.envelope.prompt) is Priority.LONG:
        return FIRST_LONG_PRIORITY + priority
    return min(priority, FIRST_LONG_PRIORITY - 1)


def work_priority(prompt: Prompt | None) -> Priority:
    """Return the scheduling class of a request; short prompts run first."""
    is_long = prompt is not None and not prompt.is_short
    return Priority.LONG if is_long else Priority.SHORT
