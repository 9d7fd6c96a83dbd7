"""Choice of the endpoints for a request, from what this process knows."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from agatehoist.core.identity import EndpointIdentity
from agatehoist.core.work import PrefixLevel, Priority
from agatehoist.gateway.types import Dispatch
from agatehoist.placement.policies import POLICIES
from agatehoist.placement.types import Candidate, Offer, Question

if TYPE_CHECKING:
    from agatehoist.fleet.types import Endpoint
    from agatehoist.gateway.state import GatewayState
    from agatehoist.routing.types import KeptCache, Prompt, RoutedRequest

POLICY = "home_bounded"
# An answer on old weights is worth less; a wait that is worth as much, in seconds.
OLD_WEIGHTS_S = 0.25
# A request that fails costs its client a new try, as if it had waited so long.
SICK_S = 1.0
# Old weights are left alone this long before the time that they may be used for ends:
# a request may wait in the engine's queue, and the news of the naming took a while.
OVERDUE_MARGIN_S = 1.0
DIGEST_BYTES = 16


def find_offers(
    state: GatewayState, request: RoutedRequest, tried: frozenset[str]
) -> tuple[Offer, ...]:
    """Return the endpoints to try, best first."""
    now = state.clock.now()
    candidates = tuple(
        Candidate(each.name, each.data_centre)
        for each in _available(state, request, now)
        if each.lifetime not in tried
    )
    trusted = state.suspects.trusted(candidates, now)
    offers = tuple(_offer(state, request, each) for each in trusted)
    return POLICIES[POLICY]().choose(_question(state, request), offers)


def make_dispatch(
    state: GatewayState,
    request: RoutedRequest,
    endpoint: Endpoint,
    last_event_id: bytes | None,
) -> Dispatch:
    """Return how a request goes to an endpoint."""
    prompt = request.envelope.prompt
    if prompt is None:
        return Dispatch(endpoint, last_event_id=last_event_id)
    version = state.fleet.version_of(endpoint, prompt.model)
    kept = _kept_cache(state, endpoint)
    salt = salt_for(request, version)
    return Dispatch(
        endpoint=endpoint,
        weights_version=version,
        salt=salt,
        priority=_priority(request),
        cuttable=request.route.resumable,
        fetch_from=kept.address if kept else "",
        save_to=kept.address if kept and _saves(state, prompt, salt) else "",
        last_event_id=last_event_id,
    )


def salt_for(request: RoutedRequest, version: int) -> str:
    """Return the name under which engines share the cache of a request.

    Cache of other weights, and of an isolated organisation, is never shared.
    """
    prompt = request.envelope.prompt
    organisation = request.organisation
    wall = organisation.name if organisation and organisation.isolated else ""
    return f"{prompt.model if prompt else ''}/{version}/{wall}"


def required_version(state: GatewayState, model: str, now: float) -> int:
    """Return the oldest weights version that a request may still begin on."""
    return state.weights.required_version(model, now - _limit_s(state))


def _limit_s(state: GatewayState) -> float:
    return state.settings.weights_in_force_s - OVERDUE_MARGIN_S


def _available(
    state: GatewayState, request: RoutedRequest, now: float
) -> tuple[Endpoint, ...]:
    serving = state.fleet.serving(request.service, now)
    prompt = request.envelope.prompt
    if prompt is None:
        return serving
    model = prompt.model
    required = required_version(state, model, now)
    allowed = tuple(
        each for each in serving if state.fleet.version_of(each, model) >= required
    )
    if not allowed and now < state.started_at + _limit_s(state):
        # A process that has just started doesn't know when the weights were named.
        allowed = serving
    free = [each for each in allowed if not state.weights.is_changing(each, now)]
    return tuple(free) or allowed


def _offer(state: GatewayState, request: RoutedRequest, candidate: Candidate) -> Offer:
    endpoint = state.fleet.by_name[candidate.host]
    prompt = request.envelope.prompt
    version = state.fleet.version_of(endpoint, prompt.model) if prompt else 0
    identity = EndpointIdentity(endpoint.name, endpoint.lifetime, str(version))
    wait_s = state.load.wait_s(endpoint.lifetime, state.clock.now())
    if prompt and version < state.weights.target(prompt.model):
        wait_s += OLD_WEIGHTS_S
    if state.health.is_unhealthy(endpoint.lifetime, state.clock.now()):
        wait_s += SICK_S
    return Offer(candidate, identity, 0, wait_s)


def _question(state: GatewayState, request: RoutedRequest) -> Question:
    prompt = request.envelope.prompt
    levels: list[PrefixLevel] = []
    tokens = 0
    digest = hashlib.blake2b(salt_for(request, 0).encode(), digest_size=DIGEST_BYTES)
    for part in prompt.shared_parts if prompt else ():
        digest.update(f"/{part.part_id}".encode())
        tokens += part.tokens
        levels.append(PrefixLevel(digest.digest(), tokens))
    return Question(
        tuple(levels),
        prompt.prompt_tokens if prompt else 0,
        Priority.SHORT,
        state.settings.data_centre,
    )


def _saves(state: GatewayState, prompt: Prompt, salt: str) -> bool:
    shared = prompt.shared_parts
    if not shared:
        return False
    tokens = sum(each.tokens for each in shared)
    now = state.clock.now()
    return state.kept_parts.should_save(salt, shared[-1].part_id, tokens, now)


def _kept_cache(state: GatewayState, endpoint: Endpoint) -> KeptCache | None:
    kept_caches = state.table.kept_caches if state.table else ()
    near = [each for each in kept_caches if each.data_centre == endpoint.data_centre]
    return next(iter(near or kept_caches), None)


def _priority(request: RoutedRequest) -> int:
    organisation = request.organisation
    own = organisation.priority if organisation else None
    return request.route.priority if own is None else own
