"""Sizes of the control messages and the bandwidth that they take."""

from __future__ import annotations

from agatehoist.core.identity import EndpointIdentity, new_incarnation
from agatehoist.core.work import Priority
from agatehoist.placement.levels import find_levels, salt_for
from agatehoist.placement.policies import PROBES_PER_KEY
from agatehoist.protocol.codec import encode
from agatehoist.protocol.messages import Probe, ProbeReply

PROBES_PER_REQUEST = sum(PROBES_PER_KEY)
# The target fleet handles 570 requests/s with 390 routers and 1,200 sidecars.
REQUESTS_PER_S_PER_ROUTER = 570 / 390
PROBES_PER_S_PER_SIDECAR = 570 * PROBES_PER_REQUEST / 1_200
# Budget of one process for control messages.
BUDGET_BYTES_PER_S = 7_000


def print_sizes() -> None:
    """Print the size of a probe and its reply, and the bandwidth at the target size."""
    levels = find_levels(("v" * 120_000, "section", "who?"), salt_for("a", "m", "1"))
    probe_bytes = len(
        encode(Probe(1, "organisation", levels, 30_000, Priority.LONG, 1e9))
    )
    identity = EndpointIdentity(new_incarnation(), new_incarnation(), "12")
    reply_bytes = len(encode(ProbeReply(1, identity, 30_000, 0.1, True, False)))
    print(f"\nprobe with {len(levels)} levels {probe_bytes} B, reply {reply_bytes} B")
    for role, probes_per_s in (
        ("router", REQUESTS_PER_S_PER_ROUTER * PROBES_PER_REQUEST),
        ("sidecar", PROBES_PER_S_PER_SIDECAR),
    ):
        bytes_per_s = probes_per_s * (probe_bytes + reply_bytes)
        share = bytes_per_s / BUDGET_BYTES_PER_S
        print(
            f"{role}: {probes_per_s:.2f} probes/s, {bytes_per_s:.0f} B/s, {share:.0%}"
        )
