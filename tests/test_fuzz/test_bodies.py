"""Fuzz tests of the parser of completion bodies."""

from __future__ import annotations

import json
import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from parameterized import parameterized

from agatehoist.configuration import FleetConfiguration, Model
from agatehoist.frontend.completion_parser import (
    PROMPT_READERS_BY_PATH,
    parse_completion,
)
from agatehoist.frontend.responses import render_refusal
from agatehoist.refusals import RequestRefusedError

CONFIGURATION = FleetConfiguration(models_by_name={"m": Model(4096)})
PATHS = list(PROMPT_READERS_BY_PATH)
JSON_VALUES = st.recursive(
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
MODEL_VALUES = st.just("m") | JSON_VALUES
MESSAGE_VALUES = (
    st.lists(st.fixed_dictionaries({"role": JSON_VALUES, "content": JSON_VALUES}))
    | JSON_VALUES
)
BODIES = st.fixed_dictionaries(
    {"model": MODEL_VALUES, "prompt": JSON_VALUES, "messages": MESSAGE_VALUES},
    optional={
        "max_tokens": JSON_VALUES,
        "max_completion_tokens": JSON_VALUES,
        "n": JSON_VALUES,
        "stream": JSON_VALUES,
        "stream_options": JSON_VALUES,
    },
)


def parse_body(path: str, body: bytes) -> RequestRefusedError | None:
    """Parse a body as a router does; return the refusal, let other errors propagate."""
    try:
        decoded = parse_completion(path, body, "archive", CONFIGURATION, 1.0)
    except RequestRefusedError as error:
        render_refusal(error.refusal, 0.0)
        return error
    # The sidecar re-encodes the body as JSON for the engine, so this must not fail.
    encoded = json.dumps(json.loads(decoded.request.work.body), ensure_ascii=False)
    json.dumps(json.loads(encoded), allow_nan=False).encode()
    "".join(decoded.request.parts).encode()
    return None


def make_body(**fields: Any) -> bytes:
    """Return a body that is valid except for the given fields."""
    return json.dumps({"model": "m", "prompt": "x", **fields}).encode()


# The text "@" is replaced by values that json.dumps can't write.
REFUSED_BODIES = [
    ("surrogate_in_the_prompt", make_body(prompt="\ud800")),
    ("surrogate_in_the_model", make_body(model="\ud800")),
    ("surrogate_in_a_key", make_body(**{"\ud800": 1})),
    ("stream_options_is_a_list", make_body(stream_options=[1])),
    ("stream_is_a_number", make_body(stream=2)),
    ("not_a_number", make_body(temperature=float("nan"))),
    ("infinite", make_body(temperature=float("inf"))),
    ("nested_deeply", make_body(user="@").replace(b'"@"', b"[" * 500 + b"]" * 500)),
    ("nested_too_deeply", b"[" * 100_000),
    ("number_of_many_digits", make_body(n="@").replace(b'"@"', b"9" * 5000)),
    ("many_values", make_body(user=[[]] * 200_000)),
    ("exponent", make_body(temperature="@").replace(b'"@"', b"1e999")),
    ("no_utf_8", b'{"model": "m", "prompt": "\xff"}'),
    ("utf_16", json.dumps({"model": "m", "prompt": "x"}).encode("utf-16")),
]


class BodyFuzzTests(unittest.TestCase):
    @given(st.sampled_from(PATHS), st.binary(max_size=100))
    def test_random_bytes_are_parsed_or_refused(self, path: str, data: bytes) -> None:
        parse_body(path, data)

    @given(st.sampled_from(PATHS), BODIES)
    def test_random_fields_are_parsed_or_refused(
        self, path: str, fields: dict[str, Any]
    ) -> None:
        parse_body(path, json.dumps(fields).encode())

    @parameterized.expand(REFUSED_BODIES)
    def test_invalid_body_is_refused(self, _name: str, data: bytes) -> None:
        error = parse_body("/v1/completions", data)
        assert error is not None
        self.assertIn(error.refusal.code, ("malformed_body", "invalid_parameter"))
        self.assertLess(len(error.refusal.detail), 500)
