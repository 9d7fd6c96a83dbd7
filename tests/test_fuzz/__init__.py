"""Generated inputs for everything that reads bytes from outside."""

from __future__ import annotations

import os

import hypothesis

CI_EXAMPLES = 150

hypothesis.settings.register_profile(
    "ci",
    max_examples=CI_EXAMPLES,
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
