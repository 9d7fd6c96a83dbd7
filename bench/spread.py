"""Measure propagation of changes and a start without the platform on real processes."""

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

FLEET_SIZES = ((1, 4), (4, 16), (12, 28), (20, 40))
CHANGE_COUNT = 5
IN_FORCE_TIMEOUT_S = 30.0
CALLS_WINDOW_S = 20.0
SETTLE_S = 6.0
POLL_INTERVAL_S = 0.05
START_TIMEOUT_S = 20.0
ACCEPTED_PATTERN = re.compile(r"accepted as revision (\d+)")
IN_FORCE_PATTERN = re.compile(
    r"timestamp='([^']+)'.*configuration in force' revision=(\d+)"
)


@dataclass(frozen=True)
class AppliedChange:
    """Hold the revision of an applied change and its times in epoch seconds.

    started_at is the accepted_at time of the stored change, returned_at when the
    command reported the change as accepted.
    """

    revision: int
    started_at: float
    returned_at: float


def main() -> None:
    """Print propagation delays, platform call rates and start times by fleet size."""
    for routers, sidecars in FLEET_SIZES:
        with (
            tempfile.TemporaryDirectory() as folder,
            run_fleet(Path(folder), routers, sidecars - 1, 1) as fleet,
        ):
            time.sleep(SETTLE_S)
            _measure_fleet(fleet, routers + sidecars)


def _measure_fleet(fleet: Fleet, processes: int) -> None:
    process_names = [
        n for n in fleet.processes_by_name if n.startswith(("router", "sidecar"))
    ]
    delays_since_start: list[float] = []
    delays_since_return: list[float] = []
    for number in range(CHANGE_COUNT):
        applied = _apply_change(fleet, 1000 + number)
        times = _times_in_force(fleet, process_names, applied.revision)
        delays_since_start += [each - applied.started_at for each in times]
        delays_since_return += [max(0.0, each - applied.returned_at) for each in times]
    expected = CHANGE_COUNT * len(process_names)
    _report(f"{processes} processes, since apply began", delays_since_start, expected)
    _report(
        f"{processes} processes, since apply returned", delays_since_return, expected
    )
    _measure_calls(fleet, processes)
    _measure_start_without_platform(fleet)


def _report(text: str, delays: list[float], expected: int) -> None:
    p50 = statistics.median(delays) * 1000
    print(
        f"{text}: in force p50 {p50:.0f} ms max {max(delays) * 1000:.0f} ms"
        f" ({len(delays)} of {expected})"
    )


def _apply_change(fleet: Fleet, tokens: int) -> AppliedChange:
    document = yaml.safe_load(_run_command(fleet, "show", "--document"))
    document["defaults"]["models"][MODEL]["context_tokens"] = 32768 + tokens
    file = fleet.folder / "change.yaml"
    file.write_text(yaml.safe_dump(document), encoding="utf-8")
    command = _agatehoist_command(fleet, "apply", str(file))
    command += ["--author", "bench", "--reason", "measure"]
    environment = {**os.environ, "PYTHONUNBUFFERED": "1"}
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, text=True, env=environment
    ) as process:
        assert process.stdout is not None
        for line in process.stdout:
            accepted = ACCEPTED_PATTERN.match(line)
            if accepted is not None:
                returned_at = time.time()
                return AppliedChange(int(accepted[1]), _accepted_at(fleet), returned_at)
    raise RuntimeError("agatehoist apply ended without accepting the change")


def _accepted_at(fleet: Fleet) -> float:
    response = httpx.get(f"{fleet.url('platform')}/objects/configuration/fleet")
    accepted_at = read_json(response)["value"]["change"]["accepted_at"]
    return datetime.fromisoformat(accepted_at).timestamp()


def _times_in_force(
    fleet: Fleet, process_names: list[str], revision: int
) -> list[float]:
    deadline = time.monotonic() + IN_FORCE_TIMEOUT_S
    times: dict[str, float] = {}
    while len(times) < len(process_names) and time.monotonic() < deadline:
        for name in process_names:
            for logged_at, found_revision in IN_FORCE_PATTERN.findall(fleet.log(name)):
                if int(found_revision) == revision:
                    times[name] = datetime.fromisoformat(logged_at).timestamp()
        time.sleep(POLL_INTERVAL_S)
    return list(times.values())


def _measure_calls(fleet: Fleet, processes: int) -> None:
    earlier_calls = _platform_calls(fleet)
    time.sleep(CALLS_WINDOW_S)
    later_calls = _platform_calls(fleet)
    rates = {
        kind: (later_calls[kind] - earlier_calls.get(kind, 0)) / CALLS_WINDOW_S
        for kind in later_calls
    }
    rates_text = ", ".join(f"{kind} {rate:.2f}" for kind, rate in sorted(rates.items()))
    print(f"{processes} processes: platform calls a second: {rates_text}")


def _measure_start_without_platform(fleet: Fleet) -> None:
    set_faults(fleet, down=True)
    earlier_calls = _platform_calls(fleet)
    fleet.kill("router-0")
    # Releases ship compiled bytecode, so the first start only fills the bytecode cache.
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
        while time.monotonic() < started_at + START_TIMEOUT_S:
            with contextlib.suppress(httpx.HTTPError):
                if client.post(url, json=body).is_success:
                    break
            time.sleep(0.005)
        elapsed = time.monotonic() - started_at
    calls = sum(_platform_calls(fleet).values()) - sum(earlier_calls.values())
    print(
        f"router started with the platform down: first answer after"
        f" {elapsed * 1000:.0f} ms, {calls} calls by the whole fleet meanwhile"
    )
    set_faults(fleet, down=False)


def _platform_calls(fleet: Fleet) -> dict[str, int]:
    return read_json(httpx.get(f"{fleet.url('platform')}/calls"))


def _run_command(fleet: Fleet, *arguments: str) -> str:
    command = _agatehoist_command(fleet, *arguments)
    run = subprocess.run(command, capture_output=True, text=True, check=True)
    return run.stdout


def _agatehoist_command(fleet: Fleet, *arguments: str) -> list[str]:
    command = [sys.executable, "-m", "agatehoist", *arguments]
    return [*command, "--platform", fleet.url("platform")]


if __name__ == "__main__":
    main()
