"""New weights are named for several models of the same runners."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from deployments import MODEL
from gateways import Record, has_trouble, run_case, until_true
from holders import Deployment, run_deployment

MODELS = (MODEL, "m-letters", "m-hymns", "m-chants")
NAMING_GAP_S = 0.6
WATCHED_S = 8.0


async def play(deployment: Deployment) -> None:
    """Name new weights for one model, or for all."""

    def note_write(kind: str, name: str, value: dict[str, object]) -> bool:
        deployment.note_write(kind, name, value)
        return True

    deployment.store.on_write = note_write
    await asyncio.sleep(4)
    models = MODELS if has_trouble() else MODELS[:1]
    for model in models:
        deployment.name_weights(model, 2)
        await asyncio.sleep(NAMING_GAP_S)
    await until_true(lambda: deployment.all_have(models[0], 2), 15)
    await asyncio.sleep(WATCHED_S)


async def case(record: Record) -> int:
    """Run the case and return its result."""
    return await run_deployment(record, play, gateway_count=4, models=MODELS)


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
