"""Print the metrics of replays of traces under policies and report conditions."""

from __future__ import annotations

import fire

from agatehoist.placement.policies import POLICIES
from bench.replay.cache_index_size import print_cache_index_size
from bench.replay.decision_time import print_decision_times
from bench.replay.node import ReportConditions
from bench.replay.report import HEADER, format_row
from bench.replay.trace import load_trace, speed_up
from bench.replay.trace_replay import Replay

CONDITIONS = (ReportConditions(), ReportConditions("degraded", 1.0, 0.3))


def main(
    traces: str = "archive,cooperative",
    policies: str = "",
    reports: str = "",
    speed: float = 1.0,
    import_rate: float = 0.0,
) -> None:
    """Replay the named traces, or all, under the named policies, or all.

    A speed above 1 shortens the time between the same requests by that factor. The
    import rate of cached blocks is in tokens per second; zero turns imports off.
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
                metrics = Replay(trace, str(name), conditions, import_rate).run()
                print(format_row(str(name), conditions.name, metrics), flush=True)
    print()
    print_decision_times("probe")
    print_cache_index_size()


def _split(names: str | tuple[str, ...]) -> tuple[str, ...]:
    # Fire parses an argument with commas as a tuple.
    return tuple(names.split(",") if isinstance(names, str) and names else names)


if __name__ == "__main__":
    fire.Fire(main)
