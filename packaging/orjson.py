"""Stand for the compiled orjson inside the binary, on the standard library.

A zip archive can't hold compiled modules, and aioprometheus needs only this much.
"""

from __future__ import annotations

import json
from typing import Any

OPT_NON_STR_KEYS = 4
OPT_SORT_KEYS = 32

loads = json.loads


def dumps(value: Any, default: Any = None, option: int = 0) -> bytes:
    """Return the value as JSON."""
    text = json.dumps(
        value,
        default=default,
        sort_keys=bool(option & OPT_SORT_KEYS),
        separators=(",", ":"),
        ensure_ascii=False,
    )
    return text.encode()
