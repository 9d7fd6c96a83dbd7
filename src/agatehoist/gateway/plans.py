"""Plans of roll-outs as objects of the store."""

from __future__ import annotations

import dataclasses
from typing import Any

from agatehoist.errors import AgatehoistError
from agatehoist.weights.types import Plan

PLAN_KIND = "agatehoist-plans"
_FIELDS = {each.name for each in dataclasses.fields(Plan)}


class InvalidPlanError(AgatehoistError):
    """Report a plan that can't be read."""


def read_plan(spec: Any) -> Plan:
    """Return the plan that an object holds; fields of newer releases are ignored.

    Raises InvalidPlanError.
    """
    if not isinstance(spec, dict):
        raise InvalidPlanError(f"a plan is a table, not {type(spec).__name__}")
    known = {name: value for name, value in spec.items() if name in _FIELDS}
    for name in ("changing", "changed"):
        known[name] = tuple(known.get(name) or ())
    try:
        return Plan(**known)
    except TypeError as error:
        raise InvalidPlanError(str(error)) from error


def write_plan(plan: Plan) -> dict[str, Any]:
    """Return the object that holds a plan."""
    return dataclasses.asdict(plan)
