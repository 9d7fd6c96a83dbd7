"""Print the figures of every trace, policy and condition in one run."""

from __future__ import annotations

import fire

from agatehoist.placement.policies import POLICIES
from bench.replay.decision_time import print_decision_times
from bench.replay.node import Conditions
from bench.replay.picture_size import print_picture_size
from bench.replay.report import HEADER, format_row
from bench.replay.run import Replay
from bench.replay.trace import load_trace, speed_up

CONDITIONS = (Conditions(), Conditions("degraded", 1.0, 0.3))


def main(
    traces: str = "archive,cooperative",
    policies: str = "",
    reports: str = "",
    speed: float = 1.0,
    import_rate: float = 0.0,
) -> None:
    """Replay the named traces, or all, under the named policies, or all.

    Above 1 the speed makes the same requests come closer together. The import rate
    is in tokens a second; zero turns imports off.
    """
    names = _split(policies) or POLICIES.names()
    for trace_name in _split(traces):
        trace = speed_up(load_trace(trace_name), speed)
        print(f"\n{trace_name}: {len(trace.requests)} requests")
        print(HEADER)
        for conditions in CONDITIONS:
            if reports and conditions.name != reports:
                continue
            for name in names:
                figures = Replay(trace, str(name), conditions, import_rate).run()
                print(format_row(str(name), conditions.name, figures), flush=True)
    print()
    print_decision_times("probe")
    print_picture_size()


def _split(names: str | tuple[str, ...]) -> tuple[str, ...]:
    # The command line reads names with commas as a tuple.
    return tuple(names.split(",") if isinstance(names, str) and names else names)


if __name__ == "__main__":
    fire.Fire(main)
