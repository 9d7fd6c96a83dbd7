"""Base of the tests that strike the processes of a fleet with faults."""

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
RUN_S = 0.3
WAIT_S = 15.0
# The sidecar stays silent for longer than a link waits for a sign of life.
THAW_AFTER_S = {SERVICE_SIDECAR: 4.5, "platform": 1.0}


class FailureTestCase(FleetTestCase):
    """Reach every sidecar through a relay and undo each fault at the end."""

    sizes = {
        "routers": 2,
        "engines": 2,
        "engine_options": ("--decode", "50", "--answer", str(ANSWER_TOKENS)),
    }
    relays_by_host: ClassVar[dict[str, Relay]] = {}

    @classmethod
    def setUpClass(cls) -> None:
        if FailureTestCase.relays_by_host:
            return
        # One fleet serves both classes of this module.
        folder = unittest.enterModuleContext(tempfile.TemporaryDirectory())
        fleet = unittest.enterModuleContext(run_fleet(Path(folder), **cls.sizes))
        FailureTestCase.fleet = fleet
        for entry in read_json(httpx.get(f"{fleet.url('platform')}/hosts")):
            relay = Relay(entry["port"])
            unittest.addModuleCleanup(relay.close)
            cls.relays_by_host[entry["host"]] = relay
            relayed = {**entry, "port": relay.port}
            put_object(fleet, "hosts", entry["host"], relayed, version=1)
        # Routers read the host list once a second.
        time.sleep(1.2)

    def strike(self, fault: str, name: str) -> None:
        """Let a fault happen and undo it when the test ends."""
        getattr(self, f"_{fault}")(name)

    def _kill(self, name: str) -> None:
        self.fleet.kill(name)
        start = threading.Timer(0.5, self._start_again, [name])
        start.start()
        self.addCleanup(start.join)

    def _freeze(self, name: str) -> None:
        self.fleet.suspend(name)
        self.addCleanup(self.fleet.resume, name)
        if name in THAW_AFTER_S:
            threading.Timer(THAW_AFTER_S[name], self.fleet.resume, [name]).start()

    def _cut(self, name: str) -> None:
        self.relays_by_host[name].disconnect()

    def _lose_answers(self, name: str) -> None:
        relay = self.relays_by_host[name]
        relay.drop_answers()
        disconnect = threading.Timer(2 * RUN_S, relay.disconnect)
        disconnect.start()
        self.addCleanup(disconnect.join)

    def _platform_down(self, _name: str) -> None:
        self._set_platform(down=True)
        up = threading.Timer(2 * RUN_S, self._set_platform)
        up.start()
        self.addCleanup(up.join)

    def _set_platform(self, **faults: Any) -> None:
        httpx.post(f"{self.fleet.url('platform')}/faults", json=faults)

    def _start_again(self, name: str) -> None:
        self.fleet.restart(name)
        paths = {"engine": "/status", "service": "/runs"}
        self.fleet.wait_ready(name, paths.get(name.partition("-")[0], "/readyz"))

    def runs(self, reference: str) -> int:
        """Return how often the service has run a booking."""
        file = self.fleet.folder / JOURNAL_FILE
        return file.read_text().split().count(reference) if file.exists() else 0

    def wait_for_run(self, reference: str) -> None:
        """Wait until the service has begun a booking."""
        deadline = time.monotonic() + WAIT_S
        while not self.runs(reference):
            self.assertLess(time.monotonic(), deadline, "the booking didn't start")
            time.sleep(0.02)


def expected_text(text: str) -> str:
    """Return what the engine stand-in answers to a prompt."""
    engine = Engine(MODEL, 1, Speed())
    return "".join(engine.token(text, index) for index in range(ANSWER_TOKENS))
