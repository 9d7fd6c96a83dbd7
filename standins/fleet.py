"""Small fleet of local processes on loopback, for the demo and the tests."""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

import httpx
import yaml

from agatehoist.configuration.keys import digest_key

if TYPE_CHECKING:
    from collections.abc import Iterator

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.02
PROGRAM_MODULE = "agatehoist"
BINARY_VARIABLE = "AGATEHOIST_BINARY"
MODEL = "songs-8b"
SERVICE = "ledger"
# The service stand-ins append a line to it for each booking that they run.
JOURNAL_FILE = "runs.txt"
ARCHIVE_KEY = "archive-key"
COOPERATIVE_KEY = "cooperative-key"
OPERATOR_KEY = "operator-key"


# The kernel assigns ports from 32768 on to outgoing connections, so only lower ones are
# used. Their order is random, so that fleets running at the same time rarely choose the
# same port.
FIRST_PORT = 10_240
END_PORT = 32_767
_RANDOM_PORTS = itertools.cycle(
    random.SystemRandom().sample(range(FIRST_PORT, END_PORT), END_PORT - FIRST_PORT)
)


class FleetError(Exception):
    """Report a process that ended during its start or took too long."""


@dataclass
class Fleet:
    """Hold the processes of a fleet, with their ports and commands."""

    folder: Path
    processes_by_name: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    ports_by_name: dict[str, int] = field(default_factory=dict)
    # Ports of the inner protocol between routers and sidecars.
    inner_ports_by_name: dict[str, int] = field(default_factory=dict)
    commands_by_name: dict[str, list[str]] = field(default_factory=dict)
    settings: dict[str, Any] = field(default_factory=dict)

    def url(self, name: str) -> str:
        """Return the base URL of a process."""
        return f"http://127.0.0.1:{self.ports_by_name[name]}"

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Run a module as a process that logs to a file in the folder."""
        self.commands_by_name[name] = [module, *arguments]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes_by_name[name] = subprocess.Popen(
                [*_program_command(module), *arguments],
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def restart(self, name: str) -> None:
        """Start a process with the command of its previous start."""
        self.start(name, *self.commands_by_name[name])

    def stop(self, name: str) -> int:
        """Send SIGTERM to a process and return its exit status."""
        self.processes_by_name[name].send_signal(signal.SIGTERM)
        return self.wait(name)

    def wait(self, name: str) -> int:
        """Wait for a process that is stopping and return its exit status."""
        return self.processes_by_name.pop(name).wait(STOP_TIMEOUT_S)

    def kill(self, name: str) -> None:
        """Send SIGKILL to a process and wait for its end."""
        process = self.processes_by_name.pop(name)
        process.kill()
        process.wait(STOP_TIMEOUT_S)

    def suspend(self, name: str) -> None:
        """Suspend a process by SIGSTOP."""
        self.processes_by_name[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process by SIGCONT."""
        self.processes_by_name[name].send_signal(signal.SIGCONT)

    def stop_all(self) -> dict[str, int]:
        """Stop routers, then sidecars, then the rest; return their exit statuses."""
        statuses_by_name = {}
        for prefix in ("router", "sidecar", ""):
            names = [n for n in self.processes_by_name if n.startswith(prefix)]
            for name in names:
                self.processes_by_name[name].send_signal(signal.SIGTERM)
            for name in names:
                statuses_by_name[name] = self.wait(name)
        return statuses_by_name

    def kill_all(self) -> None:
        """Kill every process that still runs."""
        for name in tuple(self.processes_by_name):
            self.kill(name)

    def log(self, name: str) -> str:
        """Return the logged output of a process."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def wait_ready(self, name: str, path: str = "/readyz") -> None:
        """Wait until a GET request to a process succeeds.

        Raises FleetError if it ends or takes too long.
        """
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            process = self.processes_by_name[name]
            if process.poll() is not None:
                raise FleetError(f"{name} ended during its start: {self.log(name)}")
            with contextlib.suppress(httpx.HTTPError):
                if httpx.get(self.url(name) + path).is_success:
                    return
            time.sleep(POLL_INTERVAL_S)
        raise FleetError(f"{name} wasn't ready in time: {self.log(name)}")


def free_ports(count: int) -> list[int]:
    """Return free ports outside the range of outgoing connections."""
    found: list[int] = []
    while len(found) < count:
        port = next(_RANDOM_PORTS)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            found.append(port)
    return found


def default_configuration() -> dict[str, Any]:
    """Return the default section of a configuration for the stand-ins."""
    return {
        "organisations": {
            "archive": {"key_digests": [digest_key(ARCHIVE_KEY)]},
            "cooperative": {"key_digests": [digest_key(COOPERATIVE_KEY)]},
        },
        "models": {MODEL: {"context_tokens": 32768}},
        "services": {SERVICE: {}},
    }


def accepted_record(
    defaults: dict[str, Any], change_id: str = "first"
) -> dict[str, Any]:
    """Return the stored record of an accepted configuration with these defaults."""
    change = {
        "id": change_id,
        "author": "stand-in",
        "reason": "a fleet for tests",
        "accepted_at": "2026-01-01T12:00:00+00:00",
    }
    return {"change": change, "document": {"defaults": defaults}}


@contextlib.contextmanager
def run_fleet(
    folder: Path,
    routers: int = 1,
    engines: int = 1,
    services: int = 1,
    engine_options: tuple[str, ...] = (),
    settings: dict[str, Any] | None = None,
    organisations: dict[str, dict[str, Any]] | None = None,
    endpoint_settings: dict[str, Any] | None = None,
) -> Iterator[Fleet]:
    """Run a fleet while the context is open, and kill its processes at the end.

    The settings are added to those of every router and sidecar.
    """
    fleet = Fleet(folder, settings=settings or {})
    try:
        _start_standins(fleet, engines, services, engine_options)
        _put_configuration(fleet, organisations or {})
        _start_sidecars(fleet, engines, services, endpoint_settings or {})
        _start_routers(fleet, routers)
        yield fleet
    finally:
        fleet.kill_all()


def put_object(
    fleet: Fleet, kind: str, name: str, value: Any, version: int = 0
) -> None:
    """Write an object to the platform stand-in if it is at the version.

    Raises httpx.HTTPError.
    """
    answer = httpx.put(
        f"{fleet.url('platform')}/objects/{kind}/{name}",
        json={"value": value},
        headers={"If-Match": str(version)},
    )
    answer.raise_for_status()


def set_faults(fleet: Fleet, **faults: Any) -> None:
    """Replace the injected faults of the platform stand-in; no argument clears them.

    Raises httpx.HTTPError.
    """
    httpx.post(f"{fleet.url('platform')}/faults", json=faults).raise_for_status()


def _start_standins(
    fleet: Fleet, engines: int, services: int, engine_options: tuple[str, ...]
) -> None:
    names = ["platform"]
    names += [f"engine-{index}" for index in range(engines)]
    names += [f"service-{index}" for index in range(services)]
    fleet.ports_by_name.update(zip(names, free_ports(len(names)), strict=True))
    for name in names:
        port = str(fleet.ports_by_name[name])
        kind = name.partition("-")[0]
        weights_options = ("--weights", fleet.url("platform"))
        options_by_kind = {
            "engine": ("--model", MODEL, *weights_options, *engine_options),
            "service": ("--journal", str(fleet.folder / JOURNAL_FILE)),
        }
        options = options_by_kind.get(kind, ())
        fleet.start(name, f"standins.{kind}", "--port", port, *options)
    for name in names:
        paths_by_kind = {"platform": "/calls", "engine": "/status", "service": "/runs"}
        fleet.wait_ready(name, paths_by_kind[name.partition("-")[0]])


def _put_configuration(fleet: Fleet, organisations: dict[str, dict[str, Any]]) -> None:
    defaults = default_configuration()
    for name, values in organisations.items():
        defaults["organisations"][name].update(values)
    put_object(fleet, "configuration", "fleet", accepted_record(defaults))


def _start_sidecars(
    fleet: Fleet, engines: int, services: int, endpoint_settings: dict[str, Any]
) -> None:
    endpoints = [(f"engine-{index}", "engine", MODEL) for index in range(engines)]
    endpoints += [(f"service-{index}", "service", SERVICE) for index in range(services)]
    for endpoint, kind, serves in endpoints:
        name = f"sidecar-{endpoint}"
        fleet.ports_by_name[name], inner_port = free_ports(2)
        fleet.inner_ports_by_name[name] = inner_port
        settings = {
            **_common_settings(fleet, name),
            "inner": {"host": "127.0.0.1", "port": inner_port},
            "endpoint": {
                "kind": kind,
                "url": fleet.url(endpoint),
                "serves": serves,
                **endpoint_settings,
            },
        }
        _start_process(fleet, name, "sidecar", settings)
        entry = {
            "host": name,
            "address": "127.0.0.1",
            "port": inner_port,
            "data_centre": "dc1",
            "region": "coast",
            "kind": kind,
            "serves": serves,
            "state": "live",
        }
        put_object(fleet, "hosts", name, entry)
    for endpoint, _, _ in endpoints:
        fleet.wait_ready(f"sidecar-{endpoint}")


def _start_routers(fleet: Fleet, routers: int) -> None:
    names = [f"router-{index}" for index in range(routers)]
    ports = free_ports(2 * routers)
    fleet.ports_by_name.update(zip(names, ports[:routers], strict=True))
    for name, inner_port in zip(names, ports[routers:], strict=True):
        settings = {
            **_common_settings(fleet, name),
            "operator_key_digests": [digest_key(OPERATOR_KEY)],
            "inner": {"host": "127.0.0.1", "port": inner_port},
            "peers": [
                {"host": "127.0.0.1", "port": port}
                for port in fleet.inner_ports_by_name.values()
            ],
        }
        _start_process(fleet, name, "router", settings)
    for name in names:
        fleet.wait_ready(name)


def _common_settings(fleet: Fleet, name: str) -> dict[str, Any]:
    return {
        "node": {"name": name, "data_centre": "dc1", "region": "coast"},
        "http": {"host": "127.0.0.1", "port": fleet.ports_by_name[name]},
        "platform": {"url": fleet.url("platform")},
        **fleet.settings,
    }


def _start_process(
    fleet: Fleet, name: str, command: str, settings: dict[str, Any]
) -> None:
    file = fleet.folder / f"{name}.yaml"
    file.write_text(yaml.safe_dump(settings), encoding="utf-8")
    fleet.start(name, PROGRAM_MODULE, command, str(file))


def _program_command(module: str) -> list[str]:
    binary = os.environ.get(BINARY_VARIABLE)
    if module == PROGRAM_MODULE and binary:
        return [binary]
    return [sys.executable, "-m", module]


def read_json(answer: httpx.Response) -> Any:
    """Return the JSON body of a successful response.

    Raises httpx.HTTPError.
    """
    answer.raise_for_status()
    return json.loads(answer.content)
