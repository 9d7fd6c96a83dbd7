"""Configuration documents: defaults and exceptions to them."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any

from agatehoist.configuration.types import (
    EndpointRules,
    Model,
    Orders,
    Organisation,
    Service,
)
from agatehoist.reports.objectives import default_objectives
from agatehoist.reports.types import Objective


class DeadlineRule(enum.StrEnum):
    """Select what happens to an exception at its deadline."""

    # Stays in force and is listed as due for review by an operator.
    REVIEW = "review"
    # Ceases to be in force.
    LAPSE = "lapse"


@dataclass(frozen=True, slots=True)
class Target:
    """Identify the entry that an exception applies to."""

    kind: str
    name: str

    def __str__(self) -> str:
        return f"{self.kind} {self.name}"


@dataclass(frozen=True, slots=True)
class PolicyException:
    """Hold an operator's exception: values that replace the defaults of one target."""

    name: str
    target: Target
    values_by_field: dict[str, Any]
    reason: str
    author: str
    deadline: datetime | None = None
    at_deadline: DeadlineRule = DeadlineRule.REVIEW

    def is_due(self, now: datetime) -> bool:
        """Return whether the deadline has passed."""
        return self.deadline is not None and self.deadline <= now

    def is_in_force(self, now: datetime) -> bool:
        """Return whether the exception applies at a time."""
        return self.at_deadline is not DeadlineRule.LAPSE or not self.is_due(now)


@dataclass(frozen=True, slots=True)
class FleetDefaults:
    """Hold the values that apply where no exception overrides them."""

    organisations_by_name: dict[str, Organisation] = field(default_factory=dict)
    models_by_name: dict[str, Model] = field(default_factory=dict)
    services_by_name: dict[str, Service] = field(default_factory=dict)
    endpoint: EndpointRules = field(default_factory=EndpointRules)
    orders: Orders = field(default_factory=Orders)
    objectives_by_name: dict[str, Objective] = field(default_factory=default_objectives)


@dataclass(frozen=True, slots=True)
class Document:
    """Hold a configuration file; based_on is the revision that it was edited from."""

    defaults: FleetDefaults
    exceptions: tuple[PolicyException, ...] = ()
    based_on: int = 0


@dataclass(frozen=True, slots=True)
class Change:
    """Describe who changed the configuration, when and why."""

    id: str
    author: str
    reason: str
    accepted_at: datetime


@dataclass(frozen=True, slots=True)
class Record:
    """Hold one accepted document with its revision."""

    revision: int
    change: Change
    document: Document
