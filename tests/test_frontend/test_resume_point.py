"""Tests of the encoding of resume points."""

from __future__ import annotations

import math
import unittest
from dataclasses import replace

from parameterized import parameterized

from agatehoist.attempts.types import Target
from agatehoist.core.identity import AttemptId
from agatehoist.frontend.resume_point import (
    ResumePoint,
    decode_resume_point,
    encode_resume_point,
)
from agatehoist.refusals import RequestRefusedError

POINT = ResumePoint(Target(AttemptId("r1", 7), "host-1", "s1"), 1234.5, 42)


class ResumePointTests(unittest.TestCase):
    def test_encoded_point_decodes_to_itself(self) -> None:
        self.assertEqual(decode_resume_point(encode_resume_point(POINT)), POINT)

    @parameterized.expand(
        [
            ("empty", ""),
            ("no_base64", "!!"),
            ("cut_off", encode_resume_point(POINT)[:-4]),
            ("longer", encode_resume_point(POINT) + "AAAA"),
            ("no_list", "AAAA"),
            ("wrong_types", "lgECAwQFBg"),
            ("too_long", "A" * 5000),
            ("no_time", encode_resume_point(replace(POINT, deadline=math.nan))),
            ("endless", encode_resume_point(replace(POINT, deadline=math.inf))),
        ]
    )
    def test_invalid_point_is_refused(self, _name: str, text: str) -> None:
        with self.assertRaises(RequestRefusedError) as caught:
            decode_resume_point(text)
        self.assertEqual(caught.exception.refusal.code, "invalid_parameter")
