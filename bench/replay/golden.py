"""Golden files of the placement decisions in short replays."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

from bench.replay.node import ReportConditions
from bench.replay.trace import Crash, Trace, load_trace
from bench.replay.trace_replay import Replay

GOLDEN_FOLDER = Path(__file__).parents[2] / "tests" / "golden" / "placement"
REQUEST_COUNT = 160
CRASH = Crash("runner-3", 1.5, 2.5)
CONDITIONS = ReportConditions("degraded", 1.0, 0.3)
TRACE_NAMES = ("archive", "cooperative")


def load_short_trace(name: str) -> Trace:
    """Return the first requests of a stored trace, with one crash."""
    trace = load_trace(name)
    return replace(trace, requests=trace.requests[:REQUEST_COUNT], crashes=(CRASH,))


def replay_decisions(name: str) -> str:
    """Return the placement decisions of a replay of a short trace, one per line."""
    trace = load_short_trace(name)
    replay = Replay(trace, trace.deployment.policy, CONDITIONS)
    replay.run()
    return "".join(f"{decision}\n" for decision in replay.decisions)


def golden_file(name: str) -> Path:
    """Return the file that holds the decisions for a short trace."""
    return GOLDEN_FOLDER / f"{name}.txt"


def main() -> None:
    """Write the golden files."""
    GOLDEN_FOLDER.mkdir(parents=True, exist_ok=True)
    for name in TRACE_NAMES:
        golden_file(name).write_text(replay_decisions(name), encoding="utf-8")


if __name__ == "__main__":
    main()
