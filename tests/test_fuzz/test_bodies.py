"""Generated bodies of completions."""

from __future__ import annotations

import json
import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from parameterized import parameterized

from agatehoist.configuration import FleetConfiguration, Model
from agatehoist.frontend.completion_parser import (
    PARTS_READERS_BY_PATH,
    parse_completion,
)
from agatehoist.frontend.responses import render_refusal
from agatehoist.refusals import RequestRefusedError

CONFIGURATION = FleetConfiguration(models_by_name={"m": Model(4096)})
PATHS = list(PARTS_READERS_BY_PATH)
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["m", "user", "\ud800"]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["role", "content", "text", "include_usage"]), inner
        )
    ),
    max_leaves=8,
)
MODELS = st.just("m") | VALUES
MESSAGES = st.lists(st.fixed_dictionaries({"role": VALUES, "content": VALUES})) | VALUES
FIELDS = st.fixed_dictionaries(
    {"model": MODELS, "prompt": VALUES, "messages": MESSAGES},
    optional={
        "max_tokens": VALUES,
        "max_completion_tokens": VALUES,
        "n": VALUES,
        "stream": VALUES,
        "stream_options": VALUES,
    },
)


def read(path: str, body: bytes) -> RequestRefusedError | None:
    """Decode a body as a router does; only the typed error may come."""
    try:
        decoded = parse_completion(path, body, "archive", CONFIGURATION, 1.0)
    except RequestRefusedError as error:
        render_refusal(error.refusal, 0.0)
        return error
    # A sidecar encodes the body again for the engine.
    encoded = json.dumps(json.loads(decoded.request.work.body), ensure_ascii=False)
    json.dumps(json.loads(encoded), allow_nan=False).encode()
    "".join(decoded.request.parts).encode()
    return None


def body(**fields: Any) -> bytes:
    """Return a body that is good but for the fields."""
    return json.dumps({"model": "m", "prompt": "x", **fields}).encode()


REFUSED = [
    ("surrogate_in_the_prompt", body(prompt="\ud800")),
    ("surrogate_in_the_model", body(model="\ud800")),
    ("surrogate_in_a_key", body(**{"\ud800": 1})),
    ("stream_options_is_a_list", body(stream_options=[1])),
    ("stream_is_a_number", body(stream=2)),
    ("not_a_number", body(temperature=float("nan"))),
    ("infinite", body(temperature=float("inf"))),
    ("nested_deeply", body(user="@").replace(b'"@"', b"[" * 500 + b"]" * 500)),
    ("nested_too_deeply", b"[" * 100_000),
    ("number_of_many_digits", body(n="@").replace(b'"@"', b"9" * 5000)),
    ("many_values", body(user=[[]] * 200_000)),
    ("exponent", body(temperature="@").replace(b'"@"', b"1e999")),
    ("no_utf_8", b'{"model": "m", "prompt": "\xff"}'),
    ("utf_16", json.dumps({"model": "m", "prompt": "x"}).encode("utf-16")),
]


class BodyFuzzTests(unittest.TestCase):
    @given(st.sampled_from(PATHS), st.binary(max_size=100))
    def test_any_bytes(self, path: str, data: bytes) -> None:
        read(path, data)

    @given(st.sampled_from(PATHS), FIELDS)
    def test_any_fields(self, path: str, fields: dict[str, Any]) -> None:
        read(path, json.dumps(fields).encode())

    @parameterized.expand(REFUSED)
    def test_refused_body(self, _name: str, data: bytes) -> None:
        error = read("/v1/completions", data)
        assert error is not None
        self.assertIn(error.refusal.code, ("malformed_body", "invalid_parameter"))
        self.assertLess(len(error.refusal.detail), 500)
