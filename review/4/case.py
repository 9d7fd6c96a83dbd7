"""The write with which a gateway takes over the orders is done and not answered."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from deployments import MODEL
from gateways import Record, has_trouble, run_case, until_true
from holders import Deployment, run_deployment

WATCHED_S = 8.0


async def play(deployment: Deployment) -> None:
    """Stop the gateway that gives orders; another one takes them over."""
    plans: list[dict[str, Any]] = []
    lost: list[str] = []

    def note_write(kind: str, name: str, value: dict[str, Any]) -> bool:
        deployment.note_write(kind, name, value)
        if name != MODEL:
            return True
        plans.append(value["Spec"])
        holder = plans[-1]["holder"]
        if not has_trouble() or holder == plans[0]["holder"] or lost:
            return True
        lost.append(holder)
        deployment.record.write(f"that write of {holder} gets no answer")
        return False

    deployment.store.on_write = note_write
    gateways = deployment.gateways
    await asyncio.sleep(4)
    deployment.name_weights(MODEL, 2)
    await until_true(lambda: bool(deployment.orders), 15)
    first = deployment.orders[0].holder
    gateways.signal(gateways.by_name(first), signal.SIGTERM)
    await until_true(lambda: deployment.all_have(MODEL, 2), 15)
    # It gives its turn away once it has nothing left to order.
    await until_true(lambda: plans[-1]["released"], 15)
    deployment.name_weights(MODEL, 3)
    await until_true(lambda: plans[-1]["holder"] != first, 15)
    await asyncio.sleep(WATCHED_S)


async def case(record: Record) -> int:
    """Run the case and return its result."""
    return await run_deployment(record, play, gateway_count=2)


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
