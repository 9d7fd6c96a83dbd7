"""Serialisation of roll-out plans as stored objects."""

from __future__ import annotations

import dataclasses
from typing import Any

from agatehoist.errors import AgatehoistError
from agatehoist.weights.types import Plan

PLAN_KIND = "agatehoist-plans"
_PLAN_FIELDS = {each.name for each in dataclasses.fields(Plan)}


class InvalidPlanError(AgatehoistError):
    """Report a stored plan that can't be parsed."""


def read_plan(spec: Any) -> Plan:
    """Parse a stored plan; fields of newer releases are ignored.

    Raises InvalidPlanError.
    """
    if not isinstance(spec, dict):
        raise InvalidPlanError(f"plan must be a mapping, not {type(spec).__name__}")
    known = {name: value for name, value in spec.items() if name in _PLAN_FIELDS}
    # Tuples are stored as lists.
    for name in ("changing", "changed"):
        known[name] = tuple(known.get(name) or ())
    try:
        return Plan(**known)
    except TypeError as error:
        raise InvalidPlanError(str(error)) from error


def write_plan(plan: Plan) -> dict[str, Any]:
    """Return the stored form of a plan."""
    return dataclasses.asdict(plan)
