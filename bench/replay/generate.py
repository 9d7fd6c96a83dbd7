"""Generator of the synthetic traces in bench/traces; replays read the stored files."""

from __future__ import annotations

import random
from dataclasses import dataclass
from itertools import accumulate

from agatehoist.core.work import Priority
from bench.replay.trace import (
    Crash,
    Deployment,
    Part,
    Trace,
    TraceRequest,
    save_trace,
)

SEED = 20261204
UNIT_TOKENS = 64
ORGANISATION_WEIGHTS = (30, 25, 15, 8, 7, 6, 5, 4)
HOT_BOOK_SHARE = 0.25
HOT_BOOK_DURATION_S = 12.0
QUESTION_UNITS = (1, 3)
CARD_UNITS = (2, 12)
ANSWER_TOKENS = (16, 400)
SECTIONS_PER_BOOK = 24


@dataclass(frozen=True, slots=True)
class Workload:
    """Describe the traffic of one deployment.

    Sizes in units are ranges of multiples of UNIT_TOKENS. Every popularity_shift_s
    seconds some less requested books become the most requested ones.
    """

    deployment: Deployment
    duration_s: float
    requests_per_s: float
    short_share: float
    books: int
    book_units: tuple[int, int]
    section_units: tuple[int, int]
    preamble_units: tuple[int, int]
    zipf_exponent: float
    popularity_shift_s: float
    crashes: tuple[Crash, ...]


# The cache of an engine holds 21,700 blocks of 16 tokens; replays use larger blocks.
ARCHIVE = Workload(
    Deployment(
        "archive",
        ("dc1", "dc2", "dc3", "dc4"),
        tuple(f"runner-{index}" for index in range(10)),
        0.0015,
        0.001,
        21_700 * 16,
        20_000.0,
        200.0,
        "probe_latency",
    ),
    160.0,
    42.0,
    0.5,
    100,
    (30, 400),
    (4, 24),
    (4, 24),
    1.1,
    25.0,
    (Crash("runner-3", 31.0, 33.5), Crash("runner-7", 62.0, 64.0)),
)
COOPERATIVE = Workload(
    Deployment(
        "cooperative",
        ("dc1", "dc2", "dc3"),
        tuple(f"runner-{index}" for index in range(5)),
        0.0015,
        0.003,
        21_700 * 16,
        20_000.0,
        200.0,
        "probe_cache",
    ),
    240.0,
    12.8,
    0.4,
    50,
    (60, 500),
    (4, 16),
    (8, 32),
    1.1,
    30.0,
    (Crash("runner-1", 40.0, 42.0), Crash("runner-4", 81.0, 84.0)),
)


class TraceGenerator:
    """Draw the random requests of one workload."""

    def __init__(self, workload: Workload, rng: random.Random) -> None:
        self._workload = workload
        self._rng = rng
        self._parts_by_key: dict[object, Part] = {}
        weights = (
            1 / (rank + 1) ** workload.zipf_exponent for rank in range(workload.books)
        )
        self._book_weights = tuple(accumulate(weights))
        self._popularity = list(range(workload.books))

    def make_trace(self) -> Trace:
        """Return the trace of the whole workload."""
        workload = self._workload
        requests = []
        now = 0.0
        shift_at = workload.popularity_shift_s
        while now < workload.duration_s:
            if now >= shift_at:
                self._shift_popularity()
                shift_at += workload.popularity_shift_s
            requests.append(self._make_request(now, shift_at))
            now += round(self._rng.expovariate(workload.requests_per_s), 5)
        return Trace(workload.deployment, tuple(requests), workload.crashes)

    def _shift_popularity(self) -> None:
        half = len(self._popularity) // 2
        promoted_ranks = self._rng.sample(range(half, len(self._popularity)), 8)
        for rank, index in enumerate(promoted_ranks):
            popularity = self._popularity
            popularity[rank], popularity[index] = popularity[index], popularity[rank]

    def _make_request(self, now: float, shift_at: float) -> TraceRequest:
        workload = self._workload
        rng = self._rng
        index = rng.choices(range(8), ORGANISATION_WEIGHTS)[0]
        organisation = f"organisation-{index}"
        preamble = self._part_for(("preamble", organisation), workload.preamble_units)
        question = self._part_for(("question", now), QUESTION_UNITS)
        is_short = rng.random() < workload.short_share
        if is_short:
            card = self._part_for(
                ("card", organisation, rng.randrange(400)), CARD_UNITS
            )
            parts = (preamble, card, question)
        else:
            book = self._draw_book(now > shift_at - HOT_BOOK_DURATION_S)
            key = (organisation, book)
            section = (*key, rng.randrange(SECTIONS_PER_BOOK))
            parts = (
                preamble,
                self._part_for(("book", *key), workload.book_units),
                self._part_for(("section", *section), workload.section_units),
                question,
            )
        return TraceRequest(
            round(now, 5),
            organisation,
            rng.choice(workload.deployment.data_centres),
            Priority.SHORT if is_short else Priority.LONG,
            parts,
            rng.randint(*ANSWER_TOKENS),
        )

    def _draw_book(self, is_hot: bool) -> int:
        if is_hot and self._rng.random() < HOT_BOOK_SHARE:
            return self._popularity[0]
        books = self._rng.choices(self._popularity, cum_weights=self._book_weights)
        return books[0]

    def _part_for(self, key: object, units: tuple[int, int]) -> Part:
        part = self._parts_by_key.get(key)
        if part is None:
            tokens = self._rng.randint(*units) * UNIT_TOKENS
            part = Part(len(self._parts_by_key), tokens)
            self._parts_by_key[key] = part
        return part


def main() -> None:
    """Write the trace files of both deployments."""
    for workload in (ARCHIVE, COOPERATIVE):
        save_trace(TraceGenerator(workload, random.Random(SEED)).make_trace())


if __name__ == "__main__":
    main()
