"""Fuzz tests of every parser of external input, on generated data."""

from __future__ import annotations

import os

import hypothesis

CI_EXAMPLE_COUNT = 150

hypothesis.settings.register_profile(
    "ci",
    max_examples=CI_EXAMPLE_COUNT,
    phases=[hypothesis.Phase.generate],
    derandomize=True,
    deadline=None,
    database=None,
)
hypothesis.settings.register_profile(
    "long",
    max_examples=int(os.environ.get("FUZZ_EXAMPLES", "20000")),
    deadline=None,
    database=None,
)
hypothesis.settings.load_profile(os.environ.get("FUZZ_PROFILE", "ci"))
