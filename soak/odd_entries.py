"""Entries that no sound endpoint writes, as JSON text."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from standins.users_platform.harness import APPLICATION
from standins.users_platform.loopback import HOST

if TYPE_CHECKING:
    import random

# Nothing listens there.
UNUSED_ADDRESS = f'"{HOST}:9"'
# Beyond the recursion limit of the interpreter, and beyond its digits of an integer.
NESTED = "[" * 100_000 + "]" * 100_000
MANY_DIGITS = "9" * 5_000
LONE_SURROGATE = '"\\ud800"'

# The field of an entry that is odd, and its value.
ODD_FIELDS = (
    ("Nested", NESTED),
    ("Address", f'"{HOST}:{MANY_DIGITS}"'),
    ("Address", f'"{HOST}:70000"'),
    ("Address", f'"{HOST}:-1"'),
    ("Address", '"\\ud800:80"'),
    ("Address", '"\\u0000:80"'),
    *((field, "1e400") for field in ("Slots", "SeqNo", "born")),
    *((field, "1" + "0" * 400) for field in ("Slots", "SeqNo", "born")),
    *((field, MANY_DIGITS) for field in ("Slots", "SeqNo", "born")),
    *((field, LONE_SURROGATE) for field in ("Zone", "Service", "Version", "State")),
    ("Models", f'[{{"Name": {LONE_SURROGATE}, "Version": {MANY_DIGITS}}}]'),
)


def make_odd_entry(rng: random.Random) -> str:
    """Return an entry with one odd field."""
    texts_by_field = {
        "Service": json.dumps(APPLICATION),
        "Address": UNUSED_ADDRESS,
        "Zone": '"z1"',
        "Version": '"v1"',
        "Slots": "8",
        "State": '"ready"',
        "ColdLeftMs": "0",
        "Models": "[]",
        "SeqNo": "0",
        "born": "1700000000000",
    }
    field, text = rng.choice(ODD_FIELDS)
    texts_by_field[field] = text
    return "{" + ", ".join(f'"{n}": {t}' for n, t in texts_by_field.items()) + "}"
