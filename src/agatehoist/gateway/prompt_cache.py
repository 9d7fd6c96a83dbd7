"""Where the KV cache of a prompt is believed to be, and where it is to be saved."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.cache.part_fetches import (
    FetchPlan,
    FetchRates,
    FetchSource,
    HeldPrompt,
    pays_to_save,
    plan_fetch,
)
from agatehoist.fleet.view import UNKNOWN_VERSION
from agatehoist.observability.metrics import DATA_CENTRE_BYTES_TOTAL
from agatehoist.protocol.node_reports import part_key

if TYPE_CHECKING:
    from agatehoist.fleet.types import Endpoint
    from agatehoist.gateway.state import GatewayState
    from agatehoist.gateway.types import Dispatch
    from agatehoist.routing.types import Engines, KvStore, RoutedRequest

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

    Parts that it lacks are fetched where that takes less time than to compute them. The
    time to fetch them counts as that of some tokens.
    """
    prompt = request.envelope.prompt
    if prompt is None:
        return 0
    cached = cached_tokens(state, request, endpoint, version)
    # Cache of unknown weights isn't shared.
    if version == UNKNOWN_VERSION:
        return cached
    if _states_transfers(state, request):
        return cached + _saved_tokens(state, request, endpoint, version, cached)
    if _kv_store_for(state, endpoint) is None:
        return cached
    fetched = max(0, sum(each.tokens for each in prompt.shared_parts) - cached)
    return cached + round((1 - FETCH_COST_RATIO) * fetched)


def _saved_tokens(
    state: GatewayState,
    request: RoutedRequest,
    endpoint: Endpoint,
    version: int,
    cached: int,
) -> int:
    """Return the tokens that are computed in the time that a fetch saves."""
    plan = _plan_fetch(state, request, endpoint, version, cached)
    if plan is None:
        return 0
    rate = prefill_tokens_per_s(state, endpoint.lifetime)
    return max(0, plan.tokens - round(plan.fetch_s * rate))


def prefill_tokens_per_s(state: GatewayState, lifetime: str) -> float:
    """Return how many prompt tokens an endpoint computes per second."""
    return state.load.capacity.rates(lifetime, state.clock.now()).prefill_tokens_per_s


def fetch_address(
    state: GatewayState, request: RoutedRequest, endpoint: Endpoint, version: int
) -> str:
    """Return HOST:PORT of what has most of the shared parts that an endpoint lacks.

    That is another endpoint, or else the KV store; "" if there is neither, or if the
    endpoint computes the parts in less time.
    """
    if version == UNKNOWN_VERSION:
        return ""
    if _states_transfers(state, request):
        cached = cached_tokens(state, request, endpoint, version)
        plan = _plan_fetch(state, request, endpoint, version, cached)
        if plan is not None and plan.crosses_data_centres:
            _note_kv_traffic(state, request, plan.tokens)
        return plan.source if plan else ""
    kv_store = _kv_store_for(state, endpoint)
    engine_mbps = _engine_link_mbps(state, request)
    if kv_store and kv_store.link_mbps >= MIN_STORE_LINK_RATIO * engine_mbps > 0:
        return kv_store.address
    holder = _best_holder(state, request, endpoint, version)
    if holder is not None:
        return f"{holder.host}:{holder.port}"
    return kv_store.address if kv_store else ""


def _note_kv_traffic(state: GatewayState, request: RoutedRequest, tokens: int) -> None:
    engines = engines_of(state, request.service)
    token_bytes = engines.token_bytes if engines else 0
    DATA_CENTRE_BYTES_TOTAL.add({"kind": "kv"}, tokens * token_bytes)


def _plan_fetch(
    state: GatewayState,
    request: RoutedRequest,
    endpoint: Endpoint,
    version: int,
    cached: int,
) -> FetchPlan | None:
    """Return the fetch of shared parts that saves most time, or None if none does."""
    prompt = request.envelope.prompt
    engines = engines_of(state, request.service)
    if prompt is None or engines is None or not prompt.shared_parts:
        return None
    shared = sum(each.tokens for each in prompt.shared_parts)
    if shared < cached + MIN_FETCHED_TOKENS:
        return None
    sources = (
        *_store_sources(state, request, endpoint, version),
        *_endpoint_sources(state, request, endpoint, version),
    )
    return plan_fetch(cached, sources, _fetch_rates(state, engines, endpoint))


def _fetch_rates(
    state: GatewayState, engines: Engines, endpoint: Endpoint
) -> FetchRates:
    return FetchRates(
        prefill_tokens_per_s(state, endpoint.lifetime),
        engines.token_bytes,
        engines.link_mbps,
        state.settings.placement.wait_s_per_mb,
    )


def _endpoint_sources(
    state: GatewayState, request: RoutedRequest, endpoint: Endpoint, version: int
) -> tuple[FetchSource, ...]:
    held = state.placement.held_prompts.find(
        request.envelope.prompt,
        version,
        state.clock.now(),
        lambda: _find_held(state, request, version),
    )
    return tuple(
        FetchSource(
            each.address,
            each.tokens,
            crosses_data_centres=each.data_centre != endpoint.data_centre,
        )
        for each in held
        if each.lifetime != endpoint.lifetime
    )


def _find_held(
    state: GatewayState, request: RoutedRequest, version: int
) -> tuple[HeldPrompt, ...]:
    """Return the endpoints that other ones may fetch shared parts of a prompt from."""
    prompt = request.envelope.prompt
    assert prompt is not None
    now = state.clock.now()
    held = (
        HeldPrompt(
            each.lifetime,
            f"{each.host}:{each.port}",
            each.data_centre,
            cached_tokens(state, request, each, version),
        )
        for each in state.fleet.serving(request.service, now)
        if state.fleet.version_of(each, prompt.model) == version
        and not state.weights.is_changing(each, now)
        and not state.suspects.is_suspected(each.name, now)
    )
    return tuple(each for each in held if each.tokens >= MIN_FETCHED_TOKENS)


def _store_sources(
    state: GatewayState, request: RoutedRequest, endpoint: Endpoint, version: int
) -> tuple[FetchSource, ...]:
    kv_store, prompt = _kv_store_for(state, endpoint), request.envelope.prompt
    if kv_store is None or prompt is None:
        return ()
    key = part_key(cache_salt_for(request, version), prompt.shared_parts[-1].part_id)
    if not state.placement.saved_parts.is_saved(key, state.clock.now()):
        return ()
    return (
        FetchSource(
            kv_store.address,
            sum(each.tokens for each in prompt.shared_parts),
            crosses_data_centres=kv_store.data_centre != endpoint.data_centre,
            link_mbps=kv_store.link_mbps,
            is_sure=True,
        ),
    )


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
    if not _pays_to_save(state, request, endpoint, kv_store):
        return ""
    tokens = sum(each.tokens for each in prompt.shared_parts)
    key = part_key(cache_salt_for(request, version), prompt.shared_parts[-1].part_id)
    saves = state.placement.saved_parts.should_save(key, tokens, state.clock.now())
    return kv_store.address if saves else ""


def _pays_to_save(
    state: GatewayState, request: RoutedRequest, endpoint: Endpoint, kv_store: KvStore
) -> bool:
    prompt, engines = request.envelope.prompt, engines_of(state, request.service)
    if kv_store.data_centre == endpoint.data_centre or prompt is None:
        return True
    if engines is None or not _states_transfers(state, request):
        return True
    shared = sum(each.tokens for each in prompt.shared_parts)
    rates = _fetch_rates(state, engines, endpoint)
    return pays_to_save(prompt.prompt_tokens, shared, rates)


def note_prompt_read(
    state: GatewayState, request: RoutedRequest, dispatch: Dispatch
) -> None:
    """Record that an endpoint has the whole prompt of a request in memory."""
    prompt = request.envelope.prompt
    if prompt is None:
        return
    engines = engines_of(state, request.service)
    saved = bool(dispatch.cache_save_address)
    state.parts.note_read(
        dispatch.endpoint.lifetime,
        dispatch.salt,
        prompt.shared_parts,
        engines.memory_tokens if engines else 0,
        saved,
        state.clock.now() if _states_transfers(state, request) else 0.0,
    )
    if saved:
        key = part_key(dispatch.salt, prompt.shared_parts[-1].part_id)
        state.placement.saved_parts.note_saved(key, state.clock.now())


def _best_holder(
    state: GatewayState, request: RoutedRequest, endpoint: Endpoint, version: int
) -> Endpoint | None:
    """Return another endpoint that has enough more of the shared parts, or None."""
    prompt = request.envelope.prompt
    if prompt is None:
        return None
    cached = cached_tokens(state, request, endpoint, version)
    shared = sum(each.tokens for each in prompt.shared_parts)
    if shared < cached + MIN_FETCHED_TOKENS:
        return None
    now = state.clock.now()
    tokens_by_lifetime = {
        each.lifetime: cached_tokens(state, request, each, version)
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


def cached_tokens(
    state: GatewayState, request: RoutedRequest, endpoint: Endpoint, version: int
) -> int:
    """Return the leading prompt tokens that an endpoint has in memory."""
    prompt = request.envelope.prompt
    parts = prompt.shared_parts if prompt else ()
    salt = cache_salt_for(request, version)
    return state.parts.matched_tokens(endpoint.lifetime, salt, parts)


def _engine_link_mbps(state: GatewayState, request: RoutedRequest) -> float:
    engines = engines_of(state, request.service)
    return engines.link_mbps if engines else 0.0


def _states_transfers(state: GatewayState, request: RoutedRequest) -> bool:
    """Return whether parts are fetched where that takes less time than to compute them.

    The time follows from the configuration.
    """
    engines = engines_of(state, request.service)
    if not state.settings.placement.by_finish:
        return False
    if engines is None or not engines.states_figures:
        return False
    return engines.token_bytes > 0 and engines.link_mbps > 0


def engines_of(state: GatewayState, service: str) -> Engines | None:
    """Return what the configuration states of the engines of a service."""
    found = state.table.services_by_name.get(service) if state.table else None
    return found.engines if found else None


def _kv_store_for(state: GatewayState, endpoint: Endpoint) -> KvStore | None:
    kv_stores = state.table.kv_stores if state.table else ()
    same_data_centre = [
        each for each in kv_stores if each.data_centre == endpoint.data_centre
    ]
    return next(iter(same_data_centre or kv_stores), None)
