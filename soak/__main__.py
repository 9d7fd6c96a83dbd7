"""Command that plays seeds: ``python -m soak --first 1 --count 50``."""

from __future__ import annotations

import sys
import time
from functools import partial
from pathlib import Path

import anyio
import fire

from soak.seed_run import play, shown

KEEP = Path("build/soak")


def main(
    first: int = 0, count: int = 1, seconds: float = 20.0, gateways: int = 3
) -> None:
    """Play seeds one after the other; without a first one, fresh seeds."""
    first = first or int(time.time())
    failed = 0
    for seed in range(first, first + count):
        played = anyio.run(partial(play, seed, seconds, gateways, KEEP))
        failed += bool(played.broken)
        print("\n".join(shown(played)), flush=True)
    print(f"{count} seeds, {failed} with a promise broken; logs in {KEEP}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
