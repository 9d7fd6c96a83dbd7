"""Tests of weights roll-outs to running engines under load."""

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
from tests.test_whole.support import FleetTestCase, completion_body

ENGINE_COUNT = 4
TIMEOUT_S = 30.0
AVAILABILITY_CHANGE = re.compile(
    r"timestamp='([^']*)'.*orders: (order due|work taken again)"
)


class RolloutTests(FleetTestCase):
    fleet_options = {"engines": ENGINE_COUNT, "services": 0}

    def setUp(self) -> None:
        self.revision = 0
        self.statuses: list[int] = []
        self.refusals: list[str] = []
        self._stop = threading.Event()
        callers = [threading.Thread(target=self._send_requests) for _ in range(3)]
        for each in callers:
            each.start()
            self.addCleanup(each.join, TIMEOUT_S)
        self.addCleanup(self._stop.set)

    def test_rollout_and_bad_version_under_load(self) -> None:
        self._put_configuration("2", concurrent_loads=2, capacity_floor=0.25)
        self._wait_for_versions(["2"] * ENGINE_COUNT)
        self.assertLessEqual(self._load_counts()["peak"], 2)
        self._put_configuration("3", concurrent_loads=4, capacity_floor=0.75)
        self._wait_for_versions(["3"] * ENGINE_COUNT)
        self.assertLessEqual(self._max_unavailable(), 2)
        self.assertLessEqual(self._load_counts()["peak"], 2)
        self.assertEqual(self._load_counts()["total"], 2 * ENGINE_COUNT)
        # The weight store fails loads of versions that begin with BAD_VERSION_PREFIX.
        self._put_configuration("bad-4", concurrent_loads=2, capacity_floor=0.25)
        self._wait_for_versions(["", "3", "3", "3"])
        response_count = len(self.statuses)
        self._wait_until(lambda: len(self.statuses) > response_count + 50)
        # The roll-out stops after the first failed load.
        self.assertEqual(self._load_counts()["total"], 2 * ENGINE_COUNT + 1)
        self._put_configuration("3", concurrent_loads=2, capacity_floor=0.25)
        self._wait_for_versions(["3"] * ENGINE_COUNT)
        self.assertEqual(self.refusals, [])
        self.assertEqual(sum(each["interrupted"] for each in self._order_counts()), 0)
        self.assertLessEqual(self._max_unavailable(), 2)

    def _send_requests(self) -> None:
        client = self.client()
        while not self._stop.is_set():
            body = completion_body(f"verse {len(self.statuses)}", max_tokens=4)
            response = client.post("/v1/completions", json=body)
            self.statuses.append(response.status_code)
            if not response.is_success:
                self.refusals.append(response.text)

    def _put_configuration(
        self, weights_version: str, concurrent_loads: int, capacity_floor: float
    ) -> None:
        self.revision += 1
        defaults = default_configuration()
        defaults["models"][MODEL]["weights_version"] = weights_version
        defaults["orders"] = {
            "concurrent_loads": concurrent_loads,
            "capacity_floor": capacity_floor,
        }
        value = accepted_record(defaults, f"change-{self.revision}")
        put_object(self.fleet, "configuration", "fleet", value, self.revision)

    def _order_counts(self) -> list[Any]:
        return [
            read_json(httpx.get(f"{self.fleet.url(f'engine-{index}')}/orders/counts"))
            for index in range(ENGINE_COUNT)
        ]

    def _load_counts(self) -> Any:
        return read_json(httpx.get(f"{self.fleet.url('platform')}/weights"))

    def _versions(self) -> list[str]:
        responses = [
            read_json(httpx.get(f"{self.fleet.url(f'engine-{index}')}/orders"))
            for index in range(ENGINE_COUNT)
        ]
        if any(each["loading"] for each in responses):
            return []
        return sorted(each["holding"]["weights_version"] for each in responses)

    def _wait_for_versions(self, expected: list[str]) -> None:
        self._wait_until(lambda: self._versions() == expected)

    def _wait_until(self, condition: Any) -> None:
        deadline = time.monotonic() + TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline, self._versions())
            time.sleep(0.05)

    def _max_unavailable(self) -> int:
        """Return the peak number of endpoints that took no work, from sidecar logs."""
        steps = []
        for index in range(ENGINE_COUNT):
            log = self.fleet.log(f"sidecar-engine-{index}")
            steps += [match.groups() for match in AVAILABILITY_CHANGE.finditer(log)]
        unavailable = maximum = 0
        for _, step in sorted(steps):
            unavailable += 1 if step == "order due" else -1
            maximum = max(maximum, unavailable)
        return maximum
