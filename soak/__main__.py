"""Command that runs the soak test: ``python -m soak --first 1 --count 50``."""

from __future__ import annotations

import sys
import time
from functools import partial
from pathlib import Path

import anyio
import fire

from soak.report import format_result
from soak.seed_run import run_seed

LOG_FOLDER = Path("build/soak")


def main(
    first: int = 0,
    count: int = 1,
    seconds: float = 20.0,
    gateways: int = 3,
    faults: str = "",
) -> None:
    """Run seeds in sequence; without `first`, start from the current epoch time.

    `faults` are names separated by spaces; without it, seeds have all faults.
    """
    first = first or int(time.time())
    failed = 0
    for seed in range(first, first + count):
        result = anyio.run(
            partial(run_seed, seed, seconds, gateways, LOG_FOLDER, faults.split())
        )
        failed += bool(result.violations)
        print("\n".join(format_result(result)), flush=True)
    print(f"{count} seeds, {failed} with a promise broken; logs in {LOG_FOLDER}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
