"""Data types of the checks of a configuration."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

from agatehoist.core.registry import Registry
from agatehoist.routing.types import Organisation, Route, RoutingTable, Service

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator


class Severity(enum.StrEnum):
    """Tell whether a configuration with a finding may be sent."""

    ERROR = "error"
    WARNING = "warning"


class Section(enum.StrEnum):
    """Name the parts of a configuration."""

    ROUTES = "routes"
    SERVICES = "services"
    ORGANISATIONS = "organisations"
    LIMITS = "limits"
    VERSION = "version"


@dataclass(frozen=True, slots=True)
class Place:
    """Locate a field of a named entry; the field is an attribute of its type."""

    section: Section
    name: str = ""
    field: str = ""
    index: int | None = None


@dataclass(frozen=True, slots=True)
class PlacedFinding:
    """Hold what a check found and where."""

    severity: Severity
    place: Place
    detail: str


@dataclass(frozen=True, slots=True)
class KeyHolder:
    """Hold an organisation and its keys as they are listed."""

    organisation: Organisation
    keys: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Draft:
    """Hold a routing table and the lists that it was made from.

    The table has one entry for each key and service name, so that it doesn't show
    which of them were listed twice.
    """

    table: RoutingTable
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    key_holders: tuple[KeyHolder, ...]


CHECKS: Registry[Callable[[Draft], Iterator[PlacedFinding]]] = Registry("check")
