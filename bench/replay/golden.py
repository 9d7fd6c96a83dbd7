"""Golden files that hold the decisions of short sessions."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

from bench.replay.node import Conditions
from bench.replay.run import Replay
from bench.replay.trace import Crash, Trace, load_trace

FOLDER = Path(__file__).parents[2] / "tests" / "golden" / "placement"
REQUESTS = 160
CRASH = Crash("runner-3", 1.5, 2.5)
CONDITIONS = Conditions("degraded", 1.0, 0.3)
SESSIONS = ("archive", "cooperative")


def session(name: str) -> Trace:
    """Return the start of a kept trace, with a crash in it."""
    trace = load_trace(name)
    return replace(trace, requests=trace.requests[:REQUESTS], crashes=(CRASH,))


def decide(name: str) -> str:
    """Return the decisions of a session, one a line."""
    trace = session(name)
    replay = Replay(trace, trace.deployment.policy, CONDITIONS)
    replay.run()
    return "".join(f"{decision}\n" for decision in replay.decisions)


def golden_file(name: str) -> Path:
    """Return the file that holds the decisions of a session."""
    return FOLDER / f"{name}.txt"


def main() -> None:
    """Write the golden files."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    for name in SESSIONS:
        golden_file(name).write_text(decide(name), encoding="utf-8")


if __name__ == "__main__":
    main()
