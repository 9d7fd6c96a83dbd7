"""Reading of JSON bodies within limits on depth, count and numbers."""

from __future__ import annotations

import json
import math
import re
from typing import Any

from agatehoist.refusals.kinds import MalformedBody

MAX_DEPTH = 32
MAX_VALUES = 100_000

_SURROGATE = re.compile(rb"\\u[dD][89a-fA-F]")


def load_object(body: bytes) -> dict[str, Any]:
    """Return the object of a body that can be encoded again as it is.

    Raises RequestRefusedError.
    """
    try:
        fields = json.loads(
            body.decode(), parse_constant=_reject_constant, parse_float=_read_float
        )
        _check_texts(body, fields)
    except (ValueError, RecursionError) as error:
        raise MalformedBody.refuse(f"body is no JSON: {error}") from error
    if not isinstance(fields, dict):
        raise MalformedBody.refuse("body is no JSON object")
    _check_size(fields)
    return fields


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is no JSON number")


def _read_float(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError("a number is out of range")
    return value


def _check_texts(body: bytes, fields: Any) -> None:
    # Half of a surrogate pair passes the parser and fails when it is encoded.
    if not _SURROGATE.search(body):
        return
    try:
        json.dumps(fields, ensure_ascii=False).encode()
    except UnicodeEncodeError as error:
        raise ValueError("a text has half a surrogate pair") from error


def _check_size(fields: dict[str, Any]) -> None:
    count = 0
    level: list[Any] = [fields]
    for _ in range(MAX_DEPTH):
        children = [child for each in level for child in _children(each)]
        count += len(children)
        if count > MAX_VALUES:
            raise MalformedBody.refuse(f"body has over {MAX_VALUES} values")
        level = [each for each in children if isinstance(each, dict | list)]
        if not level:
            return
    raise MalformedBody.refuse(f"body is nested over {MAX_DEPTH} deep")


def _children(value: dict[str, Any] | list[Any]) -> list[Any]:
    return list(value.values()) if isinstance(value, dict) else value
