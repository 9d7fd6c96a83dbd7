"""Entries of endpoints that no gateway can use, as another writer may leave them."""

from __future__ import annotations

import json
from typing import Any

from standins.users_platform.store import RawJson

ENTRY: dict[str, Any] = {
    "Service": "engines",
    "Address": "127.0.0.1:8080",
    "Zone": "z1",
    "Version": "v1",
    "Slots": 64,
    "State": "ready",
    "ColdLeftMs": 0,
    "Models": [{"Name": "songs-large", "Version": 3, "Adapters": []}],
    "SeqNo": 4,
    "born": 1784186469033,
}
LEVELS = 200_000
DEEP_LIST = "[" * LEVELS + "]" * LEVELS
DEEP_MAPPING = '{"a":' * LEVELS + "0" + "}" * LEVELS
HUGE_INTEGER = "1" + "0" * 400
# More digits than Python converts to an integer.
ENDLESS_DIGITS = "9" * 5000


def with_field(name: str, text: str) -> RawJson:
    """Return the text of an entry, with a field that has this text as its value."""
    fields = {each: json.dumps(value) for each, value in ENTRY.items()}
    fields[name] = text
    text = ",".join(f'"{each}":{value}' for each, value in fields.items())
    return RawJson(f"{{{text}}}")


ODD_ADDRESSES = {
    "port_of_many_digits": f"127.0.0.1:{ENDLESS_DIGITS}",
    "port_zero": "127.0.0.1:0",
    "port_too_high": "127.0.0.1:65536",
    "negative_port": "127.0.0.1:-1",
    "port_in_other_digits": "127.0.0.1:١٢",
    "port_with_sign": "127.0.0.1:+80",
    "port_with_underscore": "127.0.0.1:8_0",
    "no_port": "127.0.0.1:",
    "host_of_no_ip": "engine-0.example:8080",
    "host_out_of_range": "127.0.0.256:8080",
    "host_of_many_digits": f"{ENDLESS_DIGITS}.0.0.1:8080",
    "host_with_space": " 127.0.0.1:8080",
    "host_with_nul": "127.0.0.1\0:8080",
    "host_with_line_break": "127.0.0.1\r\nA: b:8080",
    "host_with_surrogate": "127.0.0.1\ud800:8080",
    "host_of_a_megabyte": "1" * 2**20 + ":8080",
}
ODD_INTEGERS = {
    "of_many_digits": ENDLESS_DIGITS,
    "of_400_digits": HUGE_INTEGER,
    "of_31_digits": "1" + "0" * 30,
    "of_64_bits": str(2**63),
    "negative": "-1",
    "float": "1e400",
    "nan": "NaN",
    "infinity": "Infinity",
    "truth": "true",
    "text": '"7"',
    "deep": DEEP_LIST,
}
ODD_TEXTS = {
    "number": "7",
    "truth": "true",
    "list": "[]",
    "deep": DEEP_LIST,
    "surrogate": r'"\udc80"',
    "nul": r'"a\u0000"',
    "line_break": r'"a\r\nb: c"',
    "bytes_that_are_not_utf_8": '"\udcff"',
    "a_megabyte": '"%s"' % ("a" * 2**20),
}
ODD_SPECS = {
    "null": RawJson("null"),
    "number": RawJson(HUGE_INTEGER),
    "deep_list": RawJson(DEEP_LIST),
    "deep_mapping": RawJson(DEEP_MAPPING),
    "deep_unknown_field": with_field("Extra", DEEP_MAPPING),
    "endless_digits_in_unknown_field": with_field("Extra", ENDLESS_DIGITS),
    "huge_integer_in_unknown_field": with_field("Extra", HUGE_INTEGER),
    "surrogate_in_unknown_field": with_field("Extra", r'"\ud800"'),
    "deep_models": with_field("Models", DEEP_LIST),
    "deep_model": with_field("Models", f"[{DEEP_MAPPING}]"),
    **{
        f"address_{name}": with_field("Address", json.dumps(text))
        for name, text in ODD_ADDRESSES.items()
    },
    **{
        f"{field}_{name}": with_field(field, text)
        for field in ("Slots", "SeqNo", "born")
        for name, text in ODD_INTEGERS.items()
    },
    **{
        f"weights_{name}": with_field("Models", f'[{{"Name":"m","Version":{text}}}]')
        for name, text in ODD_INTEGERS.items()
    },
    **{
        f"{field}_{name}": with_field(field, text)
        for field in ("Service", "Zone", "State", "Version")
        for name, text in ODD_TEXTS.items()
    },
}
