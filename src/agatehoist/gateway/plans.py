"""Serialisation of roll-out plans as stored objects."""

from __future__ import annotations

import dataclasses
from typing import Any

from agatehoist.core.document_reader import Finding, MappingReader, raise_findings
from agatehoist.core.numbers import MAX_INTEGER
from agatehoist.weights.types import Plan

PLAN_KIND = "agatehoist-plans"


def read_plan(spec: Any) -> Plan:
    """Parse a stored plan; fields of newer releases are ignored.

    Raises InvalidDocumentError.
    """
    findings: list[Finding] = []
    reader = MappingReader(spec, "", findings)
    plan = Plan(
        model=reader.text("model"),
        holder=reader.text("holder"),
        token=reader.integer("token"),
        target=reader.integer("target"),
        beat=reader.integer("beat"),
        changing=reader.texts("changing"),
        changed=reader.texts("changed"),
        released=reader.flag("released"),
        # Negative while orders of the previous holder may still arrive.
        idle_s=reader.number("idle_s", 0.0, least=-MAX_INTEGER),
        era=reader.integer("era", 0),
        orders_wait_s=(
            reader.number("orders_wait_s") if reader.has("orders_wait_s") else None
        ),
    )
    raise_findings("plan", findings)
    return plan


def write_plan(plan: Plan) -> dict[str, Any]:
    """Return the stored form of a plan."""
    return dataclasses.asdict(plan)
