"""Checks of the promises, from what callers and endpoints have seen."""

from __future__ import annotations

from collections import Counter
from http import HTTPStatus
from typing import TYPE_CHECKING

from agatehoist.core.registry import Registry
from soak.types import Broken

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

    from soak.types import Change, Seen

# A configuration is in force within this time of its acknowledgement.
IN_FORCE_S = 2.0
# Kinds that run at most once.
ONCE = frozenset({"post", "credit"})
STREAMED = frozenset({"trace", "credit"})
# Statuses that promise that nothing has run.
NOT_RUN = frozenset(
    {
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
    }
)

PROMISES: Registry[Callable[..., Iterator[Broken]]] = Registry("promise")


def check_all(
    seen: Sequence[Seen],
    runs: Sequence[str],
    changes: Sequence[Change],
    stream: bytes,
) -> list[Broken]:
    """Return the promises that were broken.

    Runs are the ids of the requests that endpoints have run, with repeats; the stream
    is the whole body of each streamed answer.
    """
    counts = Counter(runs)
    return [
        broken
        for name in PROMISES
        for broken in PROMISES[name](seen, counts, changes, stream)
    ]


@PROMISES.register("once")
def _once(
    seen: Sequence[Seen], runs: Counter[str], _changes: object, _stream: object
) -> Iterator[Broken]:
    for each in seen:
        count = runs[each.sent.request_id]
        if each.sent.kind in ONCE and count > 1:
            yield Broken("once", each.sent.request_id, f"{count} runs")


@PROMISES.register("true")
def _true(
    seen: Sequence[Seen], runs: Counter[str], _changes: object, _stream: object
) -> Iterator[Broken]:
    for each in seen:
        if each.status in NOT_RUN and runs[each.sent.request_id]:
            yield Broken("true", each.sent.request_id, f"{each.status}, but it has run")


@PROMISES.register("whole")
def _whole(
    seen: Sequence[Seen], _runs: object, _changes: object, stream: bytes
) -> Iterator[Broken]:
    for each in seen:
        if each.status == HTTPStatus.OK and not _is_right(each, stream):
            yield Broken("whole", each.sent.request_id, f"{each.body!r:.200}")


def _is_right(seen: Seen, stream: bytes) -> bool:
    if seen.sent.kind in STREAMED:
        return seen.body == stream if seen.whole else stream.startswith(seen.body)
    return not seen.whole or seen.body.startswith(
        f"{seen.sent.request_id} by ".encode()
    )


@PROMISES.register("in force")
def _in_force(
    seen: Sequence[Seen], _runs: object, changes: Sequence[Change], _stream: object
) -> Iterator[Broken]:
    for each in seen:
        sent = each.sent
        if sent.kind != "look":
            continue
        acked_at = min(
            c.acked_at for c in changes if c.path_version == sent.path_version
        )
        replaced_at = min(
            (c.acked_at for c in changes if c.path_version > sent.path_version),
            default=each.at,
        )
        known_at = max(acked_at, sent.undisturbed_since) + IN_FORCE_S
        if each.status == HTTPStatus.NOT_FOUND and known_at < sent.at <= replaced_at:
            yield Broken("in force", sent.request_id, f"404 at {sent.gateway}")
