"""Gateways as separate processes, with settings files in the platform's format."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import yaml

from standins.fleet import PROGRAM_MODULE, free_ports
from standins.users_platform.loopback import HOST

if TYPE_CHECKING:
    from pathlib import Path

    from standins.fleet import Fleet

# Fields of the settings file's Bounds section that a gateway reads; RetrySlack is a
# number of retries, QuotaSlack one of requests or tokens.
BOUNDS = {
    "GraceS": 8,
    "LeaseMs": 3000,
    "VersionMs": 8000,
    "RetrySlack": 56,
    "QuotaWindowS": 8,
    "QuotaOverage": 0.1,
    "QuotaSlack": 5,
}


def start_gateway(
    fleet: Fleet, name: str, store_port: int, limits: dict[str, Any] | None = None
) -> None:
    """Start a gateway process, which the fleet holds under its name.

    The limits are those of its machine, as in the settings file.
    """
    path = write_settings(fleet, name, store_port, limits)
    fleet.start(name, PROGRAM_MODULE, "gateway", "--settings", str(path))


def ready_name(name: str) -> str:
    """Return the name under which the fleet holds a gateway's readiness port."""
    return f"{name}-ready"


def write_settings(
    fleet: Fleet, name: str, store_port: int, limits: dict[str, Any] | None = None
) -> Path:
    """Write or replace a gateway's settings file and return its path."""
    if name not in fleet.ports_by_name:
        front, ready, inner = free_ports(3)
        fleet.ports_by_name[name] = front
        fleet.ports_by_name[ready_name(name)] = ready
        fleet.inner_ports_by_name[name] = inner
    path = fleet.folder / f"{name}.yaml"
    document = {
        "NodeName": name,
        "Ip": HOST,
        "Zone": "z1",
        "Listen": {
            "Front": f"{HOST}:{fleet.ports_by_name[name]}",
            "Ready": f"{HOST}:{fleet.ports_by_name[ready_name(name)]}",
        },
        "InternalPorts": [fleet.inner_ports_by_name[name]],
        "Seeds": [],
        "Bounds": BOUNDS,
        "Platform": {"Address": f"{HOST}:{store_port}"},
    }
    if limits is not None:
        document["Limits"] = limits
    path.write_text(yaml.safe_dump(document), encoding="utf-8")
    return path
