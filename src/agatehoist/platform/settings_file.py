"""Settings file that the platform writes for a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.core.address import Address, checked_address, read_address
from agatehoist.core.document_reader import (
    NO_ADDRESS,
    Finding,
    InvalidDocumentError,
    MappingReader,
    raise_findings,
)
from agatehoist.core.units import MS_PER_S
from agatehoist.core.yaml_text import InvalidYamlError, read_yaml
from agatehoist.gateway.settings import (
    GatewaySettings,
    MachineLimits,
    PlacementSettings,
    RetryBounds,
)
from agatehoist.limits.types import AllotmentBounds

if TYPE_CHECKING:
    from pathlib import Path

MAX_PROBLEM_CHARACTERS = 200


def load_settings(path: Path) -> GatewaySettings:
    """Read the settings of a process from its file.

    Raises InvalidDocumentError, or OSError if the file can't be read.
    """
    findings: list[Finding] = []
    try:
        value = read_yaml(path.read_text(encoding="utf-8"))
    except (InvalidYamlError, UnicodeDecodeError) as error:
        raise InvalidDocumentError(
            str(path), (Finding("file", f"{error}"[:MAX_PROBLEM_CHARACTERS]),)
        ) from error
    settings = _read(MappingReader(value, "", findings))
    raise_findings(str(path), findings)
    return settings


def _read(reader: MappingReader) -> GatewaySettings:
    # The gateway listens for other nodes on the first internal port.
    inner = _read_inner_address(reader)
    listen = reader.mapping("Listen")
    bounds = reader.mapping("Bounds")
    return GatewaySettings(
        node=reader.text("NodeName"),
        data_centre=reader.text("Zone"),
        front=listen.address("Front"),
        ready=listen.address("Ready"),
        inner=inner,
        store=reader.mapping("Platform").address("Address"),
        seeds=_read_seeds(reader, inner.port),
        stop_grace_s=bounds.number("GraceS", 8),
        # Least time between weights orders of two holders of a roll-out plan.
        order_turn_s=bounds.number("LeaseMs", 3000) / MS_PER_S,
        # Time after which no request begins on weights older than the target.
        weights_in_force_s=bounds.number("VersionMs", 8000) / MS_PER_S,
        retries=RetryBounds(
            ratio=bounds.number("RetryBudgetRatio", 0.2),
            slack=bounds.number("RetrySlack", 0),
            window_s=bounds.number("BudgetWindowS", 10),
        ),
        allotments=AllotmentBounds(
            window_s=bounds.number("QuotaWindowS", 8),
            overage=bounds.number("QuotaOverage", 0),
            slack=bounds.number("QuotaSlack", 0),
        ),
        machine=_read_machine_limits(reader),
        placement=_read_placement(reader),
    )


def _read_placement(reader: MappingReader) -> PlacementSettings:
    """Read how requests are placed; the platform itself writes no such section."""
    defaults = PlacementSettings()
    if not reader.has("Placement"):
        return defaults
    placement = reader.mapping("Placement")
    return PlacementSettings(
        placement.flag("ByFinish", defaults.by_finish),
        placement.flag("Spills", defaults.spills),
        placement.number("WaitMsPerMb", defaults.wait_s_per_mb * MS_PER_S) / MS_PER_S,
    )


def _read_machine_limits(reader: MappingReader) -> MachineLimits:
    if not reader.has("Limits"):
        return MachineLimits()
    limits = reader.mapping("Limits")
    return MachineLimits(
        limits.number("MemoryMb", 0),
        limits.integer("MaxFds", 0),
        limits.number("LinkMbps", 0),
    )


def _read_inner_address(reader: MappingReader) -> Address:
    host, port = reader.text("Ip"), reader.first_integer("InternalPorts")
    address = checked_address(host, port)
    if address is None:
        reader.add_finding("Ip", "with the first port no address")
        return NO_ADDRESS
    return address


def _read_seeds(reader: MappingReader, inner_port: int) -> tuple[Address, ...]:
    seeds = [read_address(each) for each in reader.texts("Seeds")]
    if None in seeds:
        reader.add_finding("Seeds", "a list of addresses IP:PORT expected")
    # The inner port is the same on all machines, so only a seed's host is used.
    return tuple(Address(each.host, inner_port) for each in seeds if each)
