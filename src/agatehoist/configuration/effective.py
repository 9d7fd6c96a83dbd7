"""Computation of the configuration in force from a document and a time."""

from __future__ import annotations

import dataclasses
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any

from agatehoist.configuration.document import DeadlineRule
from agatehoist.configuration.targets import TARGET_KINDS
from agatehoist.configuration.types import FleetConfiguration
from agatehoist.settings.convert import make_converter

if TYPE_CHECKING:
    from agatehoist.configuration.document import Document, PolicyException, Record

_converter = make_converter()


def effective_configuration(record: Record, now: float) -> FleetConfiguration:
    """Apply the exceptions of a record that are in force at a time in epoch seconds."""
    defaults = record.document.defaults
    entries_by_field: dict[str, dict[str, Any]] = {
        "organisations_by_name": dict(defaults.organisations_by_name),
        "models_by_name": dict(defaults.models_by_name),
        "services_by_name": dict(defaults.services_by_name),
        "endpoints_by_host": {},
    }
    moment = datetime.fromtimestamp(now, UTC)
    for each in record.document.exceptions:
        if each.is_in_force(moment):
            _apply_exception(record.document, each, entries_by_field)
    return FleetConfiguration(
        revision=record.revision,
        endpoint=defaults.endpoint,
        orders=defaults.orders,
        objectives_by_name=defaults.objectives_by_name,
        **entries_by_field,
    )


def next_lapse_at(document: Document, now: float) -> float | None:
    """Return when the next exception lapses, in epoch seconds, or None."""
    times = [
        each.deadline.timestamp()
        for each in document.exceptions
        if each.deadline is not None and each.at_deadline is DeadlineRule.LAPSE
    ]
    return min((time for time in times if time > now), default=None)


def replace_values(entry: Any, values_by_field: dict[str, Any]) -> Any:
    """Return the entry with some values replaced.

    Raises an exception group of conversion errors.
    """
    cls = type(entry)
    changed = _converter.structure({**_unstructure(entry), **values_by_field}, cls)
    assert dataclasses.is_dataclass(changed)
    return changed


def _apply_exception(
    document: Document, exception: PolicyException, entries_by_field: dict[str, Any]
) -> None:
    kind = TARGET_KINDS[exception.target.kind]
    entries_by_name = entries_by_field[kind.configuration_field]
    name = exception.target.name
    entry = entries_by_name.get(name) or kind.find(document.defaults, name)
    entries_by_name[name] = replace_values(entry, exception.values_by_field)


def _unstructure(entry: Any) -> dict[str, Any]:
    return _converter.unstructure(entry)
