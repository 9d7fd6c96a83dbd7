"""Reading of JSON that other programs have written."""

from __future__ import annotations

import json
import re
from typing import Any

import msgpack

from agatehoist.errors import InvalidInputError

# Deeper values are dropped from a text that the parser can't take.
MAX_NESTING_LEVELS = 500

# A run of opening or of closing brackets, or the end, after anything without brackets
# and strings, which may hold them.
_BRACKETS = re.compile(
    r"""(?:[^"\[\]{}]++|"(?:[^"\\]++|\\.)*+"?)*+([\[{]++|[\]}]++|\Z)""", re.DOTALL
)
# Stands for a value nested too deep, and is parsed as one that can't be read.
_UNREADABLE_TEXT = "NaN"


class InvalidJsonError(InvalidInputError, ValueError):
    """Report bytes that aren't JSON, or JSON with a value that can't be read."""


class UnreadableValue:
    """Stand for a value that JSON doesn't have or that the parser can't take."""


UNREADABLE = UnreadableValue()


def read_json(data: bytes) -> Any:
    """Return the value of a JSON text, checked by `find_fault`.

    Raises InvalidJsonError.
    """
    value = read_json_of_many(data)
    fault = find_fault(value)
    if fault:
        raise InvalidJsonError(f"unreadable value in JSON: {fault}")
    return value


def read_json_of_many(data: bytes) -> Any:
    """Return the value of a JSON text that holds the objects of many writers.

    An odd object doesn't keep the others from being read. The caller checks each with
    `find_fault`.

    Raises InvalidJsonError.
    """
    # Bytes that aren't UTF-8 become unpaired surrogates.
    text = data.decode("utf-8", "surrogateescape")
    try:
        return _DECODER.decode(text)
    except (ValueError, RecursionError):
        # Values may be nested too deep, or have too many digits, for the parser.
        text = _without_deep_values(text)
    try:
        return _TOLERANT_DECODER.decode(text)
    except (ValueError, RecursionError) as error:
        raise InvalidJsonError(f"not JSON: {error}") from error


def find_fault(value: Any) -> str:
    """Return why a value can't be read or passed on to other processes, or ""."""
    try:
        # Messages between processes hold a value at such a depth.
        _PACKER.pack([[[[[[[[value]]]]]]]])
    except (ValueError, OverflowError, TypeError) as error:
        return str(error)
    return ""


def _without_deep_values(text: str) -> str:
    """Return the text without the values that are nested too deep."""
    kept: list[str] = []
    start = depth = 0
    for found in _BRACKETS.finditer(text):
        first, end = found.span(1)
        if text[first:end][:1] in ("[", "{"):
            if depth <= MAX_NESTING_LEVELS < depth + end - first:
                cut = first + MAX_NESTING_LEVELS - depth
                kept += (text[start:cut], _UNREADABLE_TEXT)
                # Nothing more is kept until the value is closed.
                start = len(text)
            depth += end - first
        else:
            if depth - (end - first) <= MAX_NESTING_LEVELS < depth:
                start = first + depth - MAX_NESTING_LEVELS
            depth -= end - first
    kept.append(text[start:])
    return "".join(kept)


def _read_constant(_name: str) -> UnreadableValue:
    """Read NaN, Infinity or -Infinity."""
    return UNREADABLE


def _read_integer(digits: str) -> int | UnreadableValue:
    try:
        return int(digits)
    except ValueError:
        return UNREADABLE


# Made once, as each takes longer than a short text.
_DECODER = json.JSONDecoder(strict=False, parse_constant=_read_constant)
_TOLERANT_DECODER = json.JSONDecoder(
    strict=False, parse_constant=_read_constant, parse_int=_read_integer
)
_PACKER = msgpack.Packer()
