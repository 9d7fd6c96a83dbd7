"""Choice between fetching shared prompt parts and computing them.

It handles endpoints with fast links, which copy a long part in a fraction of the time
to compute it, and data centres between which a copy is slow and counts as traffic.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from agatehoist.cache.transfer import MIN_GAIN_S
from agatehoist.core.units import BITS_PER_BYTE, BYTES_PER_MB

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# A fetch between data centres takes this many times as long.
DATA_CENTRES_FACTOR = 2.0
# An endpoint may have evicted a part, so a source that surely has it may take this many
# times as long.
SURE_SOURCE_FACTOR = 2.0
# All endpoints are compared for a request within this time.
HELD_MAX_AGE_S = 0.01
MAX_HELD_PROMPTS = 64


@dataclass(frozen=True, slots=True)
class FetchSource:
    """Describe what has the leading tokens of a prompt; a link of 0 is unknown.

    A KV store is a sure source, as it evicts parts later than endpoints do.
    """

    address: str
    tokens: int
    crosses_data_centres: bool
    link_mbps: float = 0.0
    is_sure: bool = False


@dataclass(frozen=True, slots=True)
class FetchRates:
    """Hold the rates on which the time of a fetch depends.

    Between data centres, a megabyte costs as much as `wait_s_per_mb` of wait.
    """

    prefill_tokens_per_s: float
    token_bytes: int
    link_mbps: float
    wait_s_per_mb: float


@dataclass(frozen=True, slots=True)
class FetchPlan:
    """Describe a fetch: its source, the tokens and the time that it takes."""

    source: str
    tokens: int
    fetch_s: float
    crosses_data_centres: bool = False


def plan_fetch(
    cached: int, sources: Iterable[FetchSource], rates: FetchRates
) -> FetchPlan | None:
    """Return the fetch with the largest gain in time, or None if none is worth it."""
    best: FetchPlan | None = None
    best_gain_s = MIN_GAIN_S
    for source in sources:
        tokens = source.tokens - cached
        fetch_s = _fetch_s(tokens, source, rates)
        doubt_factor = 1.0 if source.is_sure else SURE_SOURCE_FACTOR
        cost_s = doubt_factor * fetch_s
        if source.crosses_data_centres:
            cost_s += _traffic_s(tokens, rates)
        gain_s = tokens / rates.prefill_tokens_per_s - cost_s
        if gain_s > best_gain_s:
            best_gain_s = gain_s
            best = FetchPlan(
                source.address, tokens, fetch_s, source.crosses_data_centres
            )
    return best


def pays_to_save(saved_tokens: int, shared_tokens: int, rates: FetchRates) -> bool:
    """Return whether a KV store in another data centre is to get a copy of a prompt.

    Endpoints near the store save a copy of their own if they read the parts.
    """
    return _traffic_s(saved_tokens, rates) < shared_tokens / rates.prefill_tokens_per_s


def _fetch_s(tokens: int, source: FetchSource, rates: FetchRates) -> float:
    link_mbps = rates.link_mbps
    if source.link_mbps:
        link_mbps = min(link_mbps, source.link_mbps)
    megabits = tokens * rates.token_bytes * BITS_PER_BYTE / BYTES_PER_MB
    factor = DATA_CENTRES_FACTOR if source.crosses_data_centres else 1.0
    return factor * megabits / link_mbps


def _traffic_s(tokens: int, rates: FetchRates) -> float:
    return rates.wait_s_per_mb * tokens * rates.token_bytes / BYTES_PER_MB


@dataclass(frozen=True, slots=True)
class HeldPrompt:
    """Tell how many leading tokens of a prompt an endpoint has in memory."""

    lifetime: str
    address: str
    data_centre: str
    tokens: int


class HeldPrompts:
    """Remember for a moment which endpoints hold a prompt.

    Each endpoint that a request is compared for asks for the same holders.
    """

    def __init__(self) -> None:
        self._found_by_prompt: OrderedDict[
            tuple[int, int], tuple[object, float, tuple[HeldPrompt, ...]]
        ] = OrderedDict()

    def find(
        self,
        prompt: object,
        version: int,
        now: float,
        search: Callable[[], tuple[HeldPrompt, ...]],
    ) -> tuple[HeldPrompt, ...]:
        """Return the holders of a prompt, from a recent search or a new one."""
        key = (id(prompt), version)
        known = self._found_by_prompt.get(key)
        # The prompt is kept beside its id, which another object can't have then.
        if known is not None and known[0] is prompt and now < known[1]:
            return known[2]
        found = search()
        self._found_by_prompt[key] = (prompt, now + HELD_MAX_AGE_S, found)
        self._found_by_prompt.move_to_end(key)
        if len(self._found_by_prompt) > MAX_HELD_PROMPTS:
            self._found_by_prompt.popitem(last=False)
        return found
