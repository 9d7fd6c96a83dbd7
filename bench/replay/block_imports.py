"""Imports of cached blocks from other hosts and from a simulated block store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.cache.transfer import Holder, TransferRates, plan_import
from bench.replay.engine import BLOCK_TOKENS, count_leading_blocks

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from agatehoist.cache.transfer import ImportPlan
    from agatehoist.cache.types import CacheEvent
    from agatehoist.placement.types import Offer
    from bench.replay.node import ReplayNode
    from bench.replay.trace import Deployment

LATENCY_S = 0.01
BLOCK_STORE = "store"


class BlockImports:
    """Plan block imports with plan_import; a rate of zero turns them off.

    The store keeps every block that was ever computed, so the benefit of imports from
    it is an upper bound.
    """

    def __init__(
        self,
        nodes_by_host: Mapping[str, ReplayNode],
        deployment: Deployment,
        tokens_per_s: float,
    ) -> None:
        self._nodes_by_host = nodes_by_host
        self._stored_blocks: set[object] = set()
        self._rates: TransferRates | None = None
        if tokens_per_s:
            self._rates = TransferRates(
                LATENCY_S, tokens_per_s, deployment.prefill_tokens_per_s
            )
            for node in nodes_by_host.values():
                node.on_stored = self._record_stored

    def plan(
        self, chosen: Offer, offers: Sequence[Offer], blocks: tuple[int, ...]
    ) -> ImportPlan | None:
        """Return the import that saves time before a prompt runs on the chosen host."""
        if self._rates is None:
            return None
        holders = [_make_holder(each) for each in offers if each is not chosen]
        weights_version = chosen.identity.weights_version
        holders.append(
            Holder(BLOCK_STORE, weights_version, self._stored_tokens(blocks))
        )
        return plan_import(_make_holder(chosen), holders, self._rates)

    def available_blocks(
        self, plan: ImportPlan, blocks: tuple[int, ...]
    ) -> tuple[int, ...]:
        """Return the leading blocks that the source of an import actually holds now."""
        wanted = blocks[: plan.last_token // BLOCK_TOKENS]
        if plan.source == BLOCK_STORE:
            return wanted
        source = self._nodes_by_host[plan.source]
        available_tokens = (
            count_leading_blocks(wanted, source.engine.holds) * BLOCK_TOKENS
            if source.is_up
            else 0
        )
        return wanted[: available_tokens // BLOCK_TOKENS]

    def _record_stored(self, event: CacheEvent) -> None:
        self._stored_blocks.update(event.stored)

    def _stored_tokens(self, blocks: tuple[int, ...]) -> int:
        for index, block in enumerate(blocks):
            if block not in self._stored_blocks:
                return index * BLOCK_TOKENS
        return len(blocks) * BLOCK_TOKENS


def _make_holder(offer: Offer) -> Holder:
    return Holder(
        offer.candidate.host, offer.identity.weights_version, offer.matched_tokens
    )
