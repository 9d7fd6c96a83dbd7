"""Tests of processes while the platform fails or lags."""

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
from tests.test_whole.support import FleetTestCase, prompt

if TYPE_CHECKING:
    from collections.abc import Callable

ROUTERS = [f"router-{index}" for index in range(3)]
TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.02
# Six processes try again with backoff while the platform is down.
MAX_HERD_CALLS = 40


class PlatformFaultTests(FleetTestCase):
    sizes = {
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
    def test_herd_starts_from_its_peers(self, _name: str, faults: dict) -> None:
        revision = self.accept_one_more()
        set_faults(self.fleet, **faults)
        before = self.calls()
        for name in ROUTERS:
            self.fleet.kill(name)
        lengths = {name: len(self.fleet.log(name)) for name in ROUTERS}
        for name in ROUTERS:
            self.fleet.restart(name)
        for index, name in enumerate(ROUTERS):
            self.fleet.wait_ready(name)
            body = prompt("who?", max_tokens=1)
            answer = self.client(index).post("/v1/completions", json=body)
            self.assertEqual(answer.status_code, 200)
            found = revisions(self.fleet.log(name)[lengths[name] :])
            self.assertEqual(found, [revision], "an old revision came in force")
        self.assertLess(self.calls() - before, MAX_HERD_CALLS)

    def test_leaving_endpoint_gets_nothing_while_the_list_lags(self) -> None:
        set_faults(self.fleet, list_lag=1000.0)
        stream = prompt("a long ballad", stream=True)
        with self.client().stream("POST", "/v1/completions", json=stream) as answer:
            host = answer.headers["x-agatehoist-endpoint"]
            stopping = threading.Thread(target=self.fleet.stop, args=(host,))
            stopping.start()
            self.wait(lambda: "sidecar: leaving" in self.fleet.log(host))
            for index in range(8):
                body = prompt(f"a new song {index}", max_tokens=1)
                other = self.client(index % 3).post("/v1/completions", json=body)
                self.assertEqual(other.status_code, 200)
                self.assertNotEqual(other.headers["x-agatehoist-endpoint"], host)
            self.assertIn("data: [DONE]", list(answer.iter_lines()))
        stopping.join(TIMEOUT_S)
        self.fleet.restart(host)
        self.fleet.wait_ready(host)

    def accept_one_more(self) -> int:
        """Accept a configuration and wait until it is in force everywhere."""
        url = f"{self.fleet.url('platform')}/objects/configuration/fleet"
        version = read_json(httpx.get(url))["version"]
        value = accepted_record(default_configuration(), f"change-{version}")
        put_object(self.fleet, "configuration", "fleet", value, version)
        names = [n for n in self.fleet.ports_by_name if n.startswith(("r", "sidecar"))]
        for name in names:
            self.wait(lambda name=name: version + 1 in revisions(self.fleet.log(name)))
        return version + 1

    def wait(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        deadline = time.monotonic() + TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline)
            time.sleep(POLL_INTERVAL_S)

    def calls(self) -> int:
        """Return the number of calls that the platform has had."""
        return sum(read_json(httpx.get(f"{self.fleet.url('platform')}/calls")).values())


def revisions(log: str) -> list[int]:
    """Return the revisions that came in force, by a process's log."""
    found = re.findall(r"configuration in force' revision=(\d+)", log)
    return [int(each) for each in found]
