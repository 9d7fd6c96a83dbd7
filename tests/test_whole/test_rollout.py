"""Tests of roll-outs of weights over running processes."""

from __future__ import annotations

import re
import threading
import time
from typing import Any

import httpx

from standins.fleet import (
    MODEL,
    accepted_record,
    default_configuration,
    put_object,
    read_json,
)
from tests.test_whole.support import FleetTestCase, prompt

ENGINES = 4
TIMEOUT_S = 30.0
STEP = re.compile(r"timestamp='([^']*)'.*orders: (order due|work taken again)")


class RolloutTests(FleetTestCase):
    sizes = {"engines": ENGINES, "services": 0}

    def setUp(self) -> None:
        self.revision = 0
        self.statuses: list[int] = []
        self.refusals: list[str] = []
        self._stop = threading.Event()
        callers = [threading.Thread(target=self._call) for _ in range(3)]
        for each in callers:
            each.start()
            self.addCleanup(each.join, TIMEOUT_S)
        self.addCleanup(self._stop.set)

    def test_rollout_and_bad_version_under_load(self) -> None:
        self._configure("2", loads=2, floor=0.25)
        self._wait_for_versions(["2"] * ENGINES)
        self.assertLessEqual(self._weights()["peak"], 2)
        self._configure("3", loads=4, floor=0.75)
        self._wait_for_versions(["3"] * ENGINES)
        self.assertLessEqual(self._most_out(), 2)
        self.assertLessEqual(self._weights()["peak"], 2)
        self.assertEqual(self._weights()["total"], 2 * ENGINES)
        self._configure("bad-4", loads=2, floor=0.25)
        self._wait_for_versions(["", "3", "3", "3"])
        answered = len(self.statuses)
        self._wait(lambda: len(self.statuses) > answered + 50)
        self.assertEqual(self._weights()["total"], 2 * ENGINES + 1)
        self._configure("3", loads=2, floor=0.25)
        self._wait_for_versions(["3"] * ENGINES)
        self.assertEqual(self.refusals, [])
        self.assertEqual(sum(each["interrupted"] for each in self._counts()), 0)
        self.assertLessEqual(self._most_out(), 2)

    def _call(self) -> None:
        client = self.client()
        while not self._stop.is_set():
            body = prompt(f"verse {len(self.statuses)}", max_tokens=4)
            answer = client.post("/v1/completions", json=body)
            self.statuses.append(answer.status_code)
            if not answer.is_success:
                self.refusals.append(answer.text)

    def _configure(self, weights_version: str, loads: int, floor: float) -> None:
        self.revision += 1
        defaults = default_configuration()
        defaults["models"][MODEL]["weights_version"] = weights_version
        defaults["orders"] = {"concurrent_loads": loads, "capacity_floor": floor}
        value = accepted_record(defaults, f"change-{self.revision}")
        put_object(self.fleet, "configuration", "fleet", value, self.revision)

    def _counts(self) -> list[Any]:
        return [
            read_json(httpx.get(f"{self.fleet.url(f'engine-{index}')}/orders/counts"))
            for index in range(ENGINES)
        ]

    def _weights(self) -> Any:
        return read_json(httpx.get(f"{self.fleet.url('platform')}/weights"))

    def _versions(self) -> list[str]:
        answers = [
            read_json(httpx.get(f"{self.fleet.url(f'engine-{index}')}/orders"))
            for index in range(ENGINES)
        ]
        if any(each["loading"] for each in answers):
            return []
        return sorted(each["holding"]["weights_version"] for each in answers)

    def _wait_for_versions(self, expected: list[str]) -> None:
        self._wait(lambda: self._versions() == expected)

    def _wait(self, condition: Any) -> None:
        give_up_at = time.monotonic() + TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), give_up_at, self._versions())
            time.sleep(0.05)

    def _most_out(self) -> int:
        """Return how many endpoints took no work at once, by the logs."""
        steps = []
        for index in range(ENGINES):
            log = self.fleet.log(f"sidecar-engine-{index}")
            steps += [match.groups() for match in STEP.finditer(log)]
        out = most = 0
        for _, step in sorted(steps):
            out += 1 if step == "order due" else -1
            most = max(most, out)
        return most
