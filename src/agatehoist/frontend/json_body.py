"""Parsing of JSON bodies, with limits on their depth and number of values."""

from __future__ import annotations

import json
import math
import re
from typing import Any

from agatehoist.refusals.kinds import MalformedBody

MAX_DEPTH = 32
MAX_VALUES = 100_000

_SURROGATE = re.compile(rb"\\u[dD][89a-fA-F]")


def load_json_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object of a body, checked so that it can be encoded again.

    Raises RequestRefusedError.
    """
    try:
        fields = json.loads(
            body.decode(),
            parse_constant=_reject_nan_or_infinity,
            parse_float=_read_float,
        )
        _check_surrogates(body, fields)
    except (ValueError, RecursionError) as error:
        raise MalformedBody.refuse(f"body is not valid JSON: {error}") from error
    if not isinstance(fields, dict):
        raise MalformedBody.refuse("body is not a JSON object")
    _check_size(fields)
    return fields


def _reject_nan_or_infinity(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")


def _read_float(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError("a number is out of range")
    return value


def _check_surrogates(body: bytes, fields: Any) -> None:
    # The parser accepts an unpaired surrogate, which can't be encoded as UTF-8.
    if not _SURROGATE.search(body):
        return
    try:
        json.dumps(fields, ensure_ascii=False).encode()
    except UnicodeEncodeError as error:
        raise ValueError("a string contains an unpaired surrogate") from error


def _check_size(fields: dict[str, Any]) -> None:
    count = 0
    containers: list[Any] = [fields]
    for _ in range(MAX_DEPTH):
        children = [child for each in containers for child in _child_values(each)]
        count += len(children)
        if count > MAX_VALUES:
            raise MalformedBody.refuse(f"body has more than {MAX_VALUES} values")
        containers = [each for each in children if isinstance(each, dict | list)]
        if not containers:
            return
    raise MalformedBody.refuse(f"body is nested more than {MAX_DEPTH} levels deep")


def _child_values(value: dict[str, Any] | list[Any]) -> list[Any]:
    return list(value.values()) if isinstance(value, dict) else value
