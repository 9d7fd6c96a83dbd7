"""Quarantine of traits in a gateway, and exchange of the evidence with peers."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, TypeVar

import anyio

from agatehoist.gateway.peer_datagrams import DATAGRAM_HANDLERS, send_to_some_peers
from agatehoist.observability.logs import get_logger
from agatehoist.observability.metrics import QUARANTINES_TOTAL
from agatehoist.protocol.crash_evidence import (
    MAX_PARTS_PER_CRASH,
    decode_evidence,
    encode_evidence,
    split_evidence,
)
from agatehoist.protocol.datagrams import CRASH_EVIDENCE
from agatehoist.protocol.node_reports import endpoint_key
from agatehoist.quarantine.types import Answer, Crash, Evidence, Quarantine
from agatehoist.refusals.kinds import PromptQuarantined, RequestQuarantined

if TYPE_CHECKING:
    import socket
    from collections.abc import Sequence

    from agatehoist.core.address import Address
    from agatehoist.fleet.types import Endpoint
    from agatehoist.gateway.request_traits import RequestTraits
    from agatehoist.gateway.state import GatewayState
    from agatehoist.refusals.types import Refusal

logger = get_logger("gateway")

# Standing evidence is repeated, for nodes that were away or have just started and in
# place of lost datagrams.
STANDING_PEERS = 3
STANDING_INTERVAL_S = 1.0
CRASHES_REPEATED_S = 5.0
# Evidence within this time goes into one datagram.
BATCH_DELAY_S = 0.02

Item = TypeVar("Item", Crash, Quarantine)


def quarantine_refusal(state: GatewayState, traits: RequestTraits) -> Refusal | None:
    """Return the refusal of a request with quarantined traits, or None."""
    if not state.quarantine.has_quarantines:
        return None
    if not state.quarantine.concerns(traits.keys):
        return None
    now = state.clock.now()
    quarantine = state.quarantine.refusal_of(traits.keys, _turn(state), now)
    if quarantine is None:
        return None
    return _refusal(traits, traits.fingerprint in quarantine.traits, quarantine.until)


def repeat_refusal(
    state: GatewayState, traits: RequestTraits, crash: Crash
) -> Refusal | None:
    """Return the refusal to send a request on to another endpoint after a crash.

    A trait that has been on the crashes of others too may be the cause.
    """
    accused = state.quarantine.accused(crash, state.clock.now())
    if accused is None:
        return None
    return _refusal(traits, accused == traits.fingerprint)


def _refusal(
    traits: RequestTraits, is_request: bool, until: float | None = None
) -> Refusal:
    if is_request:
        return RequestQuarantined.refuse(
            f"requests like this one ({traits.fingerprint.hex()}) crashed endpoints",
            until,
        ).refusal
    return PromptQuarantined.refuse(
        "a part of the prompt was on the crashes of several endpoints", until
    ).refusal


def note_sent(state: GatewayState, traits: RequestTraits) -> None:
    """Record that a request is sent to an endpoint."""
    if state.quarantine.has_quarantines:
        state.quarantine.note_sent(traits.keys, state.clock.now())


def note_answer_begun(state: GatewayState, traits: RequestTraits, at: float) -> None:
    """Record that an endpoint survived the start of its answer to a request."""
    for part in traits.parts:
        _note_answer(state, Answer(part, at), is_first_hand=True)


def note_answer_ended(state: GatewayState, traits: RequestTraits, at: float) -> None:
    """Record that an endpoint has answered a whole request."""
    quarantine = state.quarantine
    # Nothing is kept of requests that were on no crash.
    if quarantine.has_records and quarantine.is_on_record(traits.fingerprint):
        _note_answer(state, Answer(traits.fingerprint, at), is_first_hand=True)


def suspected_crash(
    state: GatewayState,
    traits: RequestTraits,
    endpoint: Endpoint,
    sent_at: float,
    lost_at: float,
    has_begun: bool,
) -> Crash:
    """Return the crash that the loss of a request's connection would be.

    An endpoint that `has_begun` its answer has survived the parts of the prompt.
    """
    return Crash(
        () if has_begun else _told_parts(state, traits.parts),
        traits.fingerprint,
        endpoint_key(endpoint.lifetime),
        traits.request_key,
        sent_at,
        lost_at,
    )


def note_crash(state: GatewayState, crash: Crash) -> None:
    """Record a crash that this node has seen."""
    _note_crash(state, crash, is_first_hand=True)


@DATAGRAM_HANDLERS.register(CRASH_EVIDENCE)
def receive_evidence(state: GatewayState, data: bytes, sent_after: float) -> None:
    """Take over the evidence of a peer and pass on what is news.

    Raises BadFrameError.
    """
    evidence = decode_evidence(data, sent_after)
    for answer in evidence.answers:
        _note_answer(state, answer, is_first_hand=False)
    for crash in evidence.crashes:
        _note_crash(state, crash, is_first_hand=False)
    for quarantine in evidence.quarantines:
        for refutation in state.quarantine.refutations(quarantine):
            state.evidence_outbox.add(refutation, is_first_hand=False)
        accepted = state.quarantine.accept(quarantine, state.clock.now())
        if accepted is not None:
            _apply(state, accepted, "accepted", is_first_hand=False)


async def send_evidence(state: GatewayState, sock: socket.socket) -> None:
    """Send evidence to peers, until cancelled; without any, nothing is sent."""
    outbox = state.evidence_outbox
    standing_at = 0.0
    while True:
        await outbox.changed.wait(STANDING_INTERVAL_S)
        news, peer_count = outbox.pop()
        _send_to_peers(state, sock, _evidence(news), peer_count)
        now = state.clock.now()
        if now >= standing_at:
            standing_at = now + STANDING_INTERVAL_S
            standing = state.quarantine.standing(now, now - CRASHES_REPEATED_S)
            # Over time, all of it is told, also if it doesn't fit into a datagram.
            first = Evidence(
                _shuffled(state, standing.crashes),
                (),
                _shuffled(state, standing.quarantines),
            )
            _send_to_peers(state, sock, next(split_evidence(first)), STANDING_PEERS)
        await anyio.sleep(BATCH_DELAY_S)


def _send_to_peers(
    state: GatewayState, sock: socket.socket, evidence: Evidence, count: int
) -> None:
    for each in split_evidence(evidence):
        if each:
            data = encode_evidence(each, state.clock.now())
            send_to_some_peers(state, sock, data, count)


def _shuffled(state: GatewayState, items: Sequence[Item]) -> tuple[Item, ...]:
    return tuple(state.rng.sample(items, len(items)))


def _evidence(news: Sequence[Crash | Answer | Quarantine]) -> Evidence:
    return Evidence(
        tuple(each for each in news if isinstance(each, Crash)),
        tuple(each for each in news if isinstance(each, Answer)),
        tuple(each for each in news if isinstance(each, Quarantine)),
    )


def _note_answer(state: GatewayState, answer: Answer, is_first_hand: bool) -> None:
    if not state.quarantine.note_answer(answer):
        return
    QUARANTINES_TOTAL.inc({"change": "cleared"})
    logger.info(
        "trait cleared, an endpoint answered",
        trait=answer.trait.hex(),
        seen_here=is_first_hand,
    )
    state.evidence_outbox.add(answer, is_first_hand)


def _note_crash(state: GatewayState, crash: Crash, is_first_hand: bool) -> None:
    now = state.clock.now()
    if not state.quarantine.note_crash(crash, now):
        return
    state.evidence_outbox.add(crash, is_first_hand)
    quarantine = state.quarantine.impose(crash, now)
    if quarantine is not None:
        _apply(state, quarantine, "imposed", is_first_hand=True)


def _apply(
    state: GatewayState, quarantine: Quarantine, change: str, is_first_hand: bool
) -> None:
    now = state.clock.now()
    QUARANTINES_TOTAL.inc({"change": change})
    logger.warning(
        "traits quarantined",
        traits=sorted(each.hex() for each in quarantine.traits),
        change=change,
        first_crash_age_s=round(now - quarantine.since, 2),
        left_s=round(quarantine.until - now, 1),
        count=quarantine.count,
    )
    state.evidence_outbox.add(quarantine, is_first_hand)
    state.active_requests.withdraw_quarantined()


def _told_parts(state: GatewayState, parts: tuple[bytes, ...]) -> tuple[bytes, ...]:
    """Return the parts of a lost prompt that are told, the likeliest if they are many.

    Those are parts without an answer, and of these the first and the last.
    """
    if len(parts) <= MAX_PARTS_PER_CRASH:
        return parts
    now = state.clock.now()
    parts = tuple(p for p in parts if not state.quarantine.has_answered(p, now))
    if len(parts) <= MAX_PARTS_PER_CRASH:
        return parts
    half = MAX_PARTS_PER_CRASH // 2
    return (*parts[:half], *parts[-half:])


def _turn(state: GatewayState) -> int:
    """Return the turn of this node to try traits after their quarantine."""
    own = state.settings.inner
    ranks = sorted(_rank(each) for each in state.nodes | {own})
    return ranks.index(_rank(own))


def _rank(node: Address) -> bytes:
    return hashlib.blake2b(str(node).encode()).digest()
