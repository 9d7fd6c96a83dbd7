"""Base class of tests that inject faults into the processes of a fleet."""

from __future__ import annotations

import tempfile
import threading
import time
import unittest
from pathlib import Path
from typing import Any, ClassVar

import httpx

from standins.engine.model import Engine, Speed
from standins.fleet import JOURNAL_FILE, MODEL, put_object, read_json, run_fleet
from standins.relay import Relay
from tests.test_whole.support import FleetTestCase

ANSWER_TOKENS = 40
SERVICE_SIDECAR = "sidecar-service-0"
BOOKING_RUN_S = 0.3
TIMEOUT_S = 15.0
# The sidecar stays suspended for longer than a link waits for the reply to a ping.
RESUME_DELAYS_S = {SERVICE_SIDECAR: 4.5, "platform": 1.0}


class FailureTestCase(FleetTestCase):
    """Connect routers to sidecars through relays; undo each fault after its test."""

    fleet_options = {
        "routers": 2,
        "engines": 2,
        "engine_options": ("--decode", "50", "--answer", str(ANSWER_TOKENS)),
    }
    relays_by_host: ClassVar[dict[str, Relay]] = {}

    @classmethod
    def setUpClass(cls) -> None:
        if FailureTestCase.relays_by_host:
            return
        # Both test classes of a module share one fleet.
        folder = unittest.enterModuleContext(tempfile.TemporaryDirectory())
        fleet = unittest.enterModuleContext(
            run_fleet(Path(folder), **cls.fleet_options)
        )
        FailureTestCase.fleet = fleet
        for entry in read_json(httpx.get(f"{fleet.url('platform')}/hosts")):
            relay = Relay(entry["port"])
            unittest.addModuleCleanup(relay.close)
            cls.relays_by_host[entry["host"]] = relay
            relayed = {**entry, "port": relay.port}
            put_object(fleet, "hosts", entry["host"], relayed, version=1)
        # Routers read the host list once a second.
        time.sleep(1.2)

    def inject_fault(self, fault: str, name: str) -> None:
        """Inject a fault into a process; it is undone by the end of the test."""
        getattr(self, f"_{fault}")(name)

    def _kill(self, name: str) -> None:
        self.fleet.kill(name)
        restart_timer = threading.Timer(0.5, self._restart, [name])
        restart_timer.start()
        self.addCleanup(restart_timer.join)

    def _freeze(self, name: str) -> None:
        self.fleet.suspend(name)
        self.addCleanup(self.fleet.resume, name)
        if name in RESUME_DELAYS_S:
            threading.Timer(RESUME_DELAYS_S[name], self.fleet.resume, [name]).start()

    def _cut(self, name: str) -> None:
        self.relays_by_host[name].disconnect()

    def _lose_answers(self, name: str) -> None:
        relay = self.relays_by_host[name]
        relay.drop_answers()
        cut_timer = threading.Timer(2 * BOOKING_RUN_S, relay.disconnect)
        cut_timer.start()
        self.addCleanup(cut_timer.join)

    def _platform_down(self, _name: str) -> None:
        self._set_platform_faults(down=True)
        recovery_timer = threading.Timer(2 * BOOKING_RUN_S, self._set_platform_faults)
        recovery_timer.start()
        self.addCleanup(recovery_timer.join)

    def _set_platform_faults(self, **faults: Any) -> None:
        httpx.post(f"{self.fleet.url('platform')}/faults", json=faults)

    def _restart(self, name: str) -> None:
        self.fleet.restart(name)
        paths = {"engine": "/status", "service": "/runs"}
        self.fleet.wait_ready(name, paths.get(name.partition("-")[0], "/readyz"))

    def run_count(self, reference: str) -> int:
        """Return how often the service has run a booking with a reference."""
        file = self.fleet.folder / JOURNAL_FILE
        return file.read_text().split().count(reference) if file.exists() else 0

    def wait_for_run(self, reference: str) -> None:
        """Wait until the service has started to run a booking."""
        deadline = time.monotonic() + TIMEOUT_S
        while not self.run_count(reference):
            self.assertLess(
                time.monotonic(), deadline, "the service didn't start the booking"
            )
            time.sleep(0.02)


def expected_text(text: str) -> str:
    """Return the completion that the engine stand-in generates for a prompt."""
    engine = Engine(MODEL, 1, Speed())
    return "".join(engine.token(text, index) for index in range(ANSWER_TOKENS))
