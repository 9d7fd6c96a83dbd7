"""Tests of processes while the platform is down, slow or returns old data."""

from __future__ import annotations

import re
import threading
import time
from typing import TYPE_CHECKING

import httpx
from parameterized import parameterized

from standins.fleet import (
    accepted_record,
    default_configuration,
    put_object,
    read_json,
    set_faults,
)
from tests.test_whole.support import FleetTestCase, completion_body

if TYPE_CHECKING:
    from collections.abc import Callable

ROUTERS = [f"router-{index}" for index in range(3)]
TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.02
# Covers six processes that retry with backoff while the platform is down.
MAX_PLATFORM_CALLS = 40


class PlatformFaultTests(FleetTestCase):
    fleet_options = {
        "routers": len(ROUTERS),
        "engines": 2,
        "engine_options": ("--decode", "20"),
    }

    def tearDown(self) -> None:
        set_faults(self.fleet)

    @parameterized.expand(
        [
            ("down", {"down": True}),
            ("slow", {"delay": 30.0}),
            ("old_reads", {"old_reads": 1}),
        ]
    )
    def test_routers_restart_with_configuration_from_peers(
        self, _name: str, faults: dict
    ) -> None:
        revision = self.accept_next_configuration()
        set_faults(self.fleet, **faults)
        calls_before = self.platform_call_count()
        for name in ROUTERS:
            self.fleet.kill(name)
        lengths = {name: len(self.fleet.log(name)) for name in ROUTERS}
        for name in ROUTERS:
            self.fleet.restart(name)
        for index, name in enumerate(ROUTERS):
            self.fleet.wait_ready(name)
            body = completion_body("who?", max_tokens=1)
            response = self.client(index).post("/v1/completions", json=body)
            self.assertEqual(response.status_code, 200)
            found = revisions_in_force(self.fleet.log(name)[lengths[name] :])
            self.assertEqual(found, [revision], "the router used an old revision")
        self.assertLess(self.platform_call_count() - calls_before, MAX_PLATFORM_CALLS)

    def test_stopping_endpoint_gets_no_requests_despite_stale_host_list(self) -> None:
        set_faults(self.fleet, list_lag=1000.0)
        stream = completion_body("a long ballad", stream=True)
        with self.client().stream("POST", "/v1/completions", json=stream) as response:
            host = response.headers["x-agatehoist-endpoint"]
            stopping = threading.Thread(target=self.fleet.stop, args=(host,))
            stopping.start()
            self.wait_until(lambda: "sidecar: leaving" in self.fleet.log(host))
            for index in range(8):
                body = completion_body(f"a new song {index}", max_tokens=1)
                other = self.client(index % 3).post("/v1/completions", json=body)
                self.assertEqual(other.status_code, 200)
                self.assertNotEqual(other.headers["x-agatehoist-endpoint"], host)
            self.assertIn("data: [DONE]", list(response.iter_lines()))
        stopping.join(TIMEOUT_S)
        self.fleet.restart(host)
        self.fleet.wait_ready(host)

    def accept_next_configuration(self) -> int:
        """Write the next configuration revision; wait until all processes use it."""
        url = f"{self.fleet.url('platform')}/objects/configuration/fleet"
        version = read_json(httpx.get(url))["version"]
        value = accepted_record(default_configuration(), f"change-{version}")
        put_object(self.fleet, "configuration", "fleet", value, version)
        # Routers and sidecars.
        names = [n for n in self.fleet.ports_by_name if n.startswith(("r", "sidecar"))]
        for name in names:
            self.wait_until(
                lambda name=name: (
                    version + 1 in revisions_in_force(self.fleet.log(name))
                )
            )
        return version + 1

    def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        deadline = time.monotonic() + TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline)
            time.sleep(POLL_INTERVAL_S)

    def platform_call_count(self) -> int:
        """Return the number of calls that the platform has received."""
        return sum(read_json(httpx.get(f"{self.fleet.url('platform')}/calls")).values())


def revisions_in_force(log: str) -> list[int]:
    """Return the configuration revisions that a process logged as in force."""
    found = re.findall(r"configuration in force' revision=(\d+)", log)
    return [int(each) for each in found]
