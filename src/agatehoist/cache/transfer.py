"""Decision to import cached blocks instead of recomputing them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# An import must save more time than this.
MIN_GAIN_S = 0.02


@dataclass(frozen=True, slots=True)
class TransferRates:
    """Hold the latency and rate of an import and the rate of a prefill."""

    latency_s: float
    import_tokens_per_s: float
    prefill_tokens_per_s: float


@dataclass(frozen=True, slots=True)
class Holder:
    """Describe how many leading tokens of a prompt an endpoint or store has cached."""

    name: str
    weights_version: str
    matched_tokens: int


@dataclass(frozen=True, slots=True)
class ImportPlan:
    """Describe the source, token range and expected duration of an import.

    The range is of token positions in the prompt and excludes last_token.
    """

    source: str
    first_token: int
    last_token: int
    duration_s: float


def plan_import(
    own: Holder, holders: Iterable[Holder], rates: TransferRates
) -> ImportPlan | None:
    """Return the import that saves most time, or None if none saves enough.

    Holders with another version of the weights are skipped.
    """
    best: ImportPlan | None = None
    best_gain_s = MIN_GAIN_S
    for holder in holders:
        if holder.weights_version != own.weights_version:
            continue
        tokens = holder.matched_tokens - own.matched_tokens
        duration_s = rates.latency_s + tokens / rates.import_tokens_per_s
        gain_s = tokens / rates.prefill_tokens_per_s - duration_s
        if gain_s > best_gain_s:
            best_gain_s = gain_s
            best = ImportPlan(
                holder.name, own.matched_tokens, holder.matched_tokens, duration_s
            )
    return best
