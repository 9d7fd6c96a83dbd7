"""Conversion between plain values and frozen data classes."""

from __future__ import annotations

import dataclasses
import enum
from datetime import datetime
from typing import TYPE_CHECKING, Any

from cattrs import Converter
from cattrs.errors import (
    AttributeValidationNote,
    ForbiddenExtraKeysError,
    IterableValidationNote,
)
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn, override

from agatehoist.core.document_reader import describe
from agatehoist.core.json_text import find_fault
from agatehoist.core.numbers import MAX_INTEGER
from agatehoist.settings.types import MIN_SECRET_CHARACTERS, Secret

if TYPE_CHECKING:
    from collections.abc import Iterator

    from agatehoist.settings.source import Path

KEYED_FIELD_INFIX = "_by_"

_PLAIN_TYPES = (str, int, float, bool)


def make_converter() -> Converter:
    """Return a converter that rejects unknown keys and values of a wrong type."""
    converter = Converter(forbid_extra_keys=True)
    for plain in _PLAIN_TYPES:
        converter.register_structure_hook(plain, _structure_plain)
    converter.register_structure_hook(Secret, _structure_secret)
    # Without its own hook, a string enumeration would use the one for str.
    converter.register_structure_hook(enum.StrEnum, _structure_enum)
    converter.register_unstructure_hook(enum.StrEnum, str)
    converter.register_structure_hook(datetime, _structure_datetime)
    converter.register_unstructure_hook(datetime, datetime.isoformat)
    converter.register_structure_hook_factory(
        dataclasses.is_dataclass,
        lambda cls: make_dict_structure_fn(
            cls,
            converter,
            _cattrs_forbid_extra_keys=True,
            **_overrides(cls),
        ),
    )
    converter.register_unstructure_hook_factory(
        dataclasses.is_dataclass,
        lambda cls: make_dict_unstructure_fn(cls, converter, **_overrides(cls)),
    )
    return converter


def conversion_findings(
    error: BaseException, path: Path = ()
) -> Iterator[tuple[Path, str]]:
    """Yield the path and the message of each fault in a conversion error."""
    if isinstance(error, BaseExceptionGroup):
        for each in error.exceptions:
            yield from conversion_findings(each, path + _subpath(each))
    elif isinstance(error, ForbiddenExtraKeysError):
        for key in sorted(error.extra_fields):
            yield (*path, key), f"unknown key {key!r}"
    elif isinstance(error, KeyError):
        yield path, f"missing key {error.args[0]!r}"
    else:
        yield path, str(error)


def yaml_name(field_name: str) -> str:
    """Return the YAML key of a field: its name without the ``_by_`` suffix."""
    return field_name.partition(KEYED_FIELD_INFIX)[0]


def _overrides(cls: type) -> dict[str, Any]:
    return {
        field.name: override(rename=yaml_name(field.name))
        for field in dataclasses.fields(cls)
        if KEYED_FIELD_INFIX in field.name
    }


def _subpath(error: BaseException) -> Path:
    for note in getattr(error, "__notes__", ()):
        if isinstance(note, IterableValidationNote):
            return (note.index,)
        if isinstance(note, AttributeValidationNote) and not _is_missing(error):
            return (yaml_name(note.name),)
    return ()


def _is_missing(error: BaseException) -> bool:
    # A missing key has no position, so the path ends at the mapping that lacks it.
    return isinstance(error, KeyError)


def _structure_plain(value: Any, target: type) -> Any:
    if type(value) is int and abs(value) > MAX_INTEGER:
        raise ValueError(f"{describe(value)} is out of range")
    if target is float and type(value) is int:
        return float(value)
    if type(value) is not target:
        raise TypeError(f"{_shown(value)} is not of type {target.__name__}")
    # A value that no reader takes would keep the whole document from being read.
    if find_fault(value):
        raise ValueError(f"{describe(value)} can't be encoded")
    return value


def _shown(value: Any) -> str:
    # A container may be nested too deep to be shown.
    return type(value).__name__ if isinstance(value, list | dict) else f"{value!r:.80}"


def _structure_enum(value: Any, target: type[enum.StrEnum]) -> enum.StrEnum:
    try:
        return target(value)
    except ValueError:
        known = ", ".join(target)
        raise ValueError(f"{_shown(value)} is not one of: {known}") from None


def _structure_datetime(value: Any, _target: type) -> datetime:
    moment = datetime.fromisoformat(value) if isinstance(value, str) else value
    if not isinstance(moment, datetime):
        raise TypeError(f"{value!r} is not a date with a time")
    if moment.tzinfo is None:
        raise ValueError(f"{value!r} has no time zone")
    return moment


def _structure_secret(value: Any, _target: type) -> Secret:
    # The error message must not contain the key.
    if not isinstance(value, str) or len(value) < MIN_SECRET_CHARACTERS:
        raise ValueError(f"must be text of {MIN_SECRET_CHARACTERS} characters or more")
    return Secret(value)
