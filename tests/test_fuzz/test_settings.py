"""Fuzz tests of the settings loader."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

import yaml
from hypothesis import given
from hypothesis import strategies as st
from parameterized import parameterized

from agatehoist.settings import InvalidFileError, load_file
from agatehoist.settings.load import convert_source
from agatehoist.settings.source import parse_source
from agatehoist.settings.types import SidecarSettings

NESTED_ALIASES = "a0: &a0 [x]\n" + "".join(
    f"a{i}: &a{i} [{', '.join([f'*a{i - 1}'] * 10)}]\n" for i in range(1, 9)
)

INVALID_TEXTS = [
    ("aliases_that_multiply", NESTED_ALIASES),
    ("alias_of_itself", "peers: &a [*a]\n"),
    ("nested_deeply", "node: " + "[" * 5000),
    ("nested_blocks", "".join(" " * i + "a:\n" for i in range(900))),
    ("number_of_many_digits", "node: " + "9" * 5000),
    ("date_that_is_none", "node: 2026-99-99"),
    ("keys_of_many_types", "1: a\nx: b\n2026-01-01: c\n~: d\n"),
    ("bytes_for_text", "node: !!binary x\n"),
    ("key_is_a_list", "? [a]\n: b\n"),
    ("key_is_a_mapping", "? {a: b}\n: c\n"),
    ("control_character", "node: \x07\n"),
    ("python_object", "node: !!python/object:os.system {}\n"),
    ("set", "node: !!set {a, b}\n"),
    ("merge", "node: {<<: [1]}\n"),
]

KEYS = st.sampled_from(
    ["node", "inner", "http", "platform", "endpoint", "peers", "name", "host", "port"]
)
YAML_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(KEYS | st.text(max_size=4) | st.integers(), inner, max_size=4)
    ),
    max_leaves=10,
)


def load(text: str) -> None:
    """Load settings from text; any error except InvalidFileError propagates."""
    try:
        convert_source(parse_source("file", text), SidecarSettings)
    except InvalidFileError:
        return


class SettingsFuzzTests(unittest.TestCase):
    @given(st.text(max_size=60))
    def test_random_text_loads_or_fails_as_invalid(self, text: str) -> None:
        load(text)

    @given(st.text(alphabet="[]{}:,-&*!?|>'\"%@`#~ \n\tab01.<=", max_size=60))
    def test_random_yaml_syntax_loads_or_fails_as_invalid(self, text: str) -> None:
        load(text)

    @given(YAML_VALUES)
    def test_random_value_loads_or_fails_as_invalid(self, value: object) -> None:
        load(yaml.safe_dump(value))

    @given(st.binary(max_size=60))
    def test_random_file_is_invalid(self, data: bytes) -> None:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "settings.yaml"
            file.write_bytes(data)
            with self.assertRaises(InvalidFileError):
                load_file(str(file), SidecarSettings)

    @parameterized.expand(INVALID_TEXTS)
    def test_invalid_text_is_refused(self, _name: str, text: str) -> None:
        with self.assertRaises(InvalidFileError):
            convert_source(parse_source("file", text), SidecarSettings)
