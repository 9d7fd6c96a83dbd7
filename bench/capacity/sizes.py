"""Sizes of the control messages and the traffic that they make."""

from __future__ import annotations

from agatehoist.core.identity import EndpointIdentity, new_incarnation
from agatehoist.core.work import Priority
from agatehoist.placement.levels import find_levels, salt_for
from agatehoist.placement.policies import PROBES_PER_KEY
from agatehoist.protocol.codec import encode
from agatehoist.protocol.messages import Probe, ProbeReply

PROBE_COUNT = sum(PROBES_PER_KEY)
REQUESTS_PER_S_OF_A_ROUTER = 570 / 390
PROBES_PER_S_OF_A_SIDECAR = 570 * PROBE_COUNT / 1_200
BUDGET_BYTES_PER_S = 7_000


def print_sizes() -> None:
    """Print the bytes of a probe and its reply, and the traffic at the target."""
    levels = find_levels(("v" * 120_000, "section", "who?"), salt_for("a", "m", "1"))
    probe = len(encode(Probe(1, "organisation", levels, 30_000, Priority.LONG, 1e9)))
    identity = EndpointIdentity(new_incarnation(), new_incarnation(), "12")
    reply = len(encode(ProbeReply(1, identity, 30_000, 0.1, True, False)))
    print(f"\nprobe with {len(levels)} levels {probe} B, reply {reply} B")
    for role, probes_per_s in (
        ("router", REQUESTS_PER_S_OF_A_ROUTER * PROBE_COUNT),
        ("sidecar", PROBES_PER_S_OF_A_SIDECAR),
    ):
        traffic = probes_per_s * (probe + reply)
        share = traffic / BUDGET_BYTES_PER_S
        print(f"{role}: {probes_per_s:.2f} probes/s, {traffic:.0f} B/s, {share:.0%}")
