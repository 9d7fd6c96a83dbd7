"""Measure the spread on real processes and the start without the platform."""

from __future__ import annotations

import contextlib
import os
import re
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

import httpx
import yaml

from standins.fleet import (
    ARCHIVE_KEY,
    MODEL,
    Fleet,
    read_json,
    run_fleet,
    set_faults,
)

SIZES = ((1, 4), (4, 16), (12, 28), (20, 40))
CHANGES = 5
SPREAD_TIMEOUT_S = 30.0
CALLS_WINDOW_S = 20.0
SETTLE_S = 6.0
POLL_INTERVAL_S = 0.05
MAX_START_S = 20.0
ACCEPTED = re.compile(r"accepted as revision (\d+)")
IN_FORCE = re.compile(r"timestamp='([^']+)'.*configuration in force' revision=(\d+)")


@dataclass(frozen=True)
class Applied:
    """Hold the revision and the times of an apply in epoch seconds."""

    revision: int
    started_at: float
    returned_at: float


def main() -> None:
    """Print times in force, platform calls and start times for each size."""
    for routers, sidecars in SIZES:
        with (
            tempfile.TemporaryDirectory() as folder,
            run_fleet(Path(folder), routers, sidecars - 1, 1) as fleet,
        ):
            time.sleep(SETTLE_S)
            _measure_fleet(fleet, routers + sidecars)


def _measure_fleet(fleet: Fleet, processes: int) -> None:
    names = [n for n in fleet.processes_by_name if n.startswith(("router", "sidecar"))]
    after_start: list[float] = []
    after_return: list[float] = []
    for number in range(CHANGES):
        applied = _apply(fleet, 1000 + number)
        times = _times_in_force(fleet, names, applied.revision)
        after_start += [each - applied.started_at for each in times]
        after_return += [max(0.0, each - applied.returned_at) for each in times]
    expected = CHANGES * len(names)
    _report(f"{processes} processes, since apply began", after_start, expected)
    _report(f"{processes} processes, since apply returned", after_return, expected)
    _measure_calls(fleet, processes)
    _measure_start(fleet)


def _report(text: str, delays: list[float], expected: int) -> None:
    p50 = statistics.median(delays) * 1000
    print(
        f"{text}: in force p50 {p50:.0f} ms max {max(delays) * 1000:.0f} ms"
        f" ({len(delays)} of {expected})"
    )


def _apply(fleet: Fleet, tokens: int) -> Applied:
    document = yaml.safe_load(_run(fleet, "show", "--document"))
    document["defaults"]["models"][MODEL]["context_tokens"] = 32768 + tokens
    file = fleet.folder / "change.yaml"
    file.write_text(yaml.safe_dump(document), encoding="utf-8")
    command = _command(fleet, "apply", str(file))
    command += ["--author", "bench", "--reason", "measure"]
    environment = {**os.environ, "PYTHONUNBUFFERED": "1"}
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, text=True, env=environment
    ) as process:
        assert process.stdout is not None
        for line in process.stdout:
            found = ACCEPTED.match(line)
            if found is not None:
                returned_at = time.time()
                return Applied(int(found[1]), _accepted_at(fleet), returned_at)
    raise RuntimeError("the change wasn't accepted")


def _accepted_at(fleet: Fleet) -> float:
    answer = httpx.get(f"{fleet.url('platform')}/objects/configuration/fleet")
    moment = read_json(answer)["value"]["change"]["accepted_at"]
    return datetime.fromisoformat(moment).timestamp()


def _times_in_force(fleet: Fleet, names: list[str], revision: int) -> list[float]:
    deadline = time.monotonic() + SPREAD_TIMEOUT_S
    times: dict[str, float] = {}
    while len(times) < len(names) and time.monotonic() < deadline:
        for name in names:
            for moment, found in IN_FORCE.findall(fleet.log(name)):
                if int(found) == revision:
                    times[name] = datetime.fromisoformat(moment).timestamp()
        time.sleep(POLL_INTERVAL_S)
    return list(times.values())


def _measure_calls(fleet: Fleet, processes: int) -> None:
    before = _calls(fleet)
    time.sleep(CALLS_WINDOW_S)
    after = _calls(fleet)
    rates = {
        kind: (after[kind] - before.get(kind, 0)) / CALLS_WINDOW_S for kind in after
    }
    shown = ", ".join(f"{kind} {rate:.2f}" for kind, rate in sorted(rates.items()))
    print(f"{processes} processes: platform calls a second: {shown}")


def _measure_start(fleet: Fleet) -> None:
    set_faults(fleet, down=True)
    before = _calls(fleet)
    fleet.kill("router-0")
    # The program ships compiled; the first start only fills the cache.
    os.environ["PYTHONPYCACHEPREFIX"] = str(fleet.folder / "compiled")
    os.environ.pop("PYTHONDONTWRITEBYTECODE", None)
    fleet.restart("router-0")
    fleet.wait_ready("router-0")
    fleet.kill("router-0")
    body = {"model": MODEL, "prompt": "who sang?", "max_tokens": 1}
    headers = {"Authorization": f"Bearer {ARCHIVE_KEY}"}
    url = f"{fleet.url('router-0')}/v1/completions"
    with httpx.Client(headers=headers) as client:
        started_at = time.monotonic()
        fleet.restart("router-0")
        while time.monotonic() < started_at + MAX_START_S:
            with contextlib.suppress(httpx.HTTPError):
                if client.post(url, json=body).is_success:
                    break
            time.sleep(0.005)
        elapsed = time.monotonic() - started_at
    calls = sum(_calls(fleet).values()) - sum(before.values())
    print(
        f"router started with the platform down: first answer after"
        f" {elapsed * 1000:.0f} ms, {calls} calls by the whole fleet meanwhile"
    )
    set_faults(fleet, down=False)


def _calls(fleet: Fleet) -> dict[str, int]:
    return read_json(httpx.get(f"{fleet.url('platform')}/calls"))


def _run(fleet: Fleet, *arguments: str) -> str:
    command = _command(fleet, *arguments)
    run = subprocess.run(command, capture_output=True, text=True, check=True)
    return run.stdout


def _command(fleet: Fleet, *arguments: str) -> list[str]:
    command = [sys.executable, "-m", "agatehoist", *arguments]
    return [*command, "--platform", fleet.url("platform")]


if __name__ == "__main__":
    main()
