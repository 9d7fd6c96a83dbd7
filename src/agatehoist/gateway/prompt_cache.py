"""Where the KV cache of a prompt is believed to be, and where it is to be saved."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.fleet.view import UNKNOWN_VERSION
from agatehoist.protocol.node_reports import part_key

if TYPE_CHECKING:
    from agatehoist.fleet.types import Endpoint
    from agatehoist.gateway.state import GatewayState
    from agatehoist.gateway.types import Dispatch
    from agatehoist.routing.types import KvStore, RoutedRequest

# Fewer tokens are computed faster than they are fetched from another endpoint.
MIN_FETCHED_TOKENS = 500
# A KV store whose link has at least this share of the rate of the engines' is asked
# first: it is surer than the memory of an endpoint, which may have evicted parts.
MIN_STORE_LINK_RATIO = 0.5
# Time to fetch a token from the KV store, relative to the time to compute it.
FETCH_COST_RATIO = 0.5


def cache_salt_for(request: RoutedRequest, version: int) -> str:
    """Return the KV cache salt of a request; engines share cache of equal salts.

    The salt separates weights versions and isolated organisations.
    """
    prompt = request.envelope.prompt
    organisation = request.organisation
    isolated_name = organisation.name if organisation and organisation.isolated else ""
    return f"{prompt.model if prompt else ''}/{version}/{isolated_name}"


def matched_tokens(
    state: GatewayState, request: RoutedRequest, endpoint: Endpoint, version: int
) -> int:
    """Return the prompt tokens that an endpoint is expected not to compute.

    Parts that it lacks are mostly fetched from the KV store, which takes a fraction of
    the time to compute them.
    """
    prompt = request.envelope.prompt
    if prompt is None:
        return 0
    cached = _cached_tokens(state, request, endpoint, version)
    shared = sum(each.tokens for each in prompt.shared_parts)
    fetched = max(0, shared - cached)
    # Cache of unknown weights isn't shared.
    if version == UNKNOWN_VERSION or _kv_store_for(state, endpoint) is None:
        fetched = 0
    return cached + round((1 - FETCH_COST_RATIO) * fetched)


def fetch_address(
    state: GatewayState, request: RoutedRequest, endpoint: Endpoint, version: int
) -> str:
    """Return HOST:PORT of what has most of the shared parts that an endpoint lacks.

    That is another endpoint, or else the KV store; "" if there is neither.
    """
    if version == UNKNOWN_VERSION:
        return ""
    kv_store = _kv_store_for(state, endpoint)
    engine_mbps = _engine_link_mbps(state, request)
    if kv_store and kv_store.link_mbps >= MIN_STORE_LINK_RATIO * engine_mbps > 0:
        return kv_store.address
    holder = _best_holder(state, request, endpoint, version)
    if holder is not None:
        return f"{holder.host}:{holder.port}"
    return kv_store.address if kv_store else ""


def save_address(
    state: GatewayState, request: RoutedRequest, endpoint: Endpoint, version: int
) -> str:
    """Return HOST:PORT of the KV store if the request is to save its parts, or ""."""
    kv_store = _kv_store_for(state, endpoint)
    prompt = request.envelope.prompt
    if kv_store is None or prompt is None or not prompt.shared_parts:
        return ""
    # The KV store keeps parts when weights change, so their name must tell the version.
    if version == UNKNOWN_VERSION:
        return ""
    tokens = sum(each.tokens for each in prompt.shared_parts)
    key = part_key(cache_salt_for(request, version), prompt.shared_parts[-1].part_id)
    saves = state.saved_parts.should_save(key, tokens, state.clock.now())
    return kv_store.address if saves else ""


def note_prompt_read(
    state: GatewayState, request: RoutedRequest, dispatch: Dispatch
) -> None:
    """Record that an endpoint has the whole prompt of a request in memory."""
    prompt = request.envelope.prompt
    if prompt is None:
        return
    service = state.table.services_by_name.get(request.service) if state.table else None
    engines = service.engines if service else None
    saved = bool(dispatch.cache_save_address)
    state.parts.note_read(
        dispatch.endpoint.lifetime,
        dispatch.salt,
        prompt.shared_parts,
        engines.memory_tokens if engines else 0,
        saved,
    )
    if saved:
        key = part_key(dispatch.salt, prompt.shared_parts[-1].part_id)
        state.saved_parts.note_saved(key, state.clock.now())


def _best_holder(
    state: GatewayState, request: RoutedRequest, endpoint: Endpoint, version: int
) -> Endpoint | None:
    """Return another endpoint that has enough more of the shared parts, or None."""
    prompt = request.envelope.prompt
    if prompt is None:
        return None
    cached = _cached_tokens(state, request, endpoint, version)
    shared = sum(each.tokens for each in prompt.shared_parts)
    if shared < cached + MIN_FETCHED_TOKENS:
        return None
    now = state.clock.now()
    tokens_by_lifetime = {
        each.lifetime: _cached_tokens(state, request, each, version)
        for each in state.fleet.serving(request.service, now)
    }
    holders = [
        each
        for each in state.fleet.serving(request.service, now)
        if tokens_by_lifetime[each.lifetime] >= cached + MIN_FETCHED_TOKENS
        and state.fleet.version_of(each, prompt.model) == version
        and not state.weights.is_changing(each, now)
        and not state.suspects.is_suspected(each.name, now)
    ]
    return max(
        holders,
        # Transfers between data centres take twice as long.
        key=lambda each: (
            tokens_by_lifetime[each.lifetime],
            each.data_centre == endpoint.data_centre,
        ),
        default=None,
    )


def _cached_tokens(
    state: GatewayState, request: RoutedRequest, endpoint: Endpoint, version: int
) -> int:
    prompt = request.envelope.prompt
    parts = prompt.shared_parts if prompt else ()
    salt = cache_salt_for(request, version)
    return state.parts.matched_tokens(endpoint.lifetime, salt, parts)


def _engine_link_mbps(state: GatewayState, request: RoutedRequest) -> float:
    service = state.table.services_by_name.get(request.service) if state.table else None
    return service.engines.link_mbps if service and service.engines else 0.0


def _kv_store_for(state: GatewayState, endpoint: Endpoint) -> KvStore | None:
    kv_stores = state.table.kv_stores if state.table else ()
    same_data_centre = [
        each for each in kv_stores if each.data_centre == endpoint.data_centre
    ]
    return next(iter(same_data_centre or kv_stores), None)
