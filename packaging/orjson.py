"""Replace the compiled orjson in the one-file program by the standard library.

Python can't import compiled modules from a zip archive. This module implements only
the part of orjson that aioprometheus uses.
"""

from __future__ import annotations

import json
from typing import Any

# aioprometheus sets both options. json.dumps accepts numbers as keys without one.
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
