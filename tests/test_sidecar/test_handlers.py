"""Tests that an exception in an attempt becomes an unknown outcome of it."""

from __future__ import annotations

import unittest
from contextlib import ExitStack
from typing import Any, cast

import anyio
from parameterized import parameterized

from agatehoist.core.work import Run
from agatehoist.protocol.messages import Refused, SubmitCall
from agatehoist.sidecar import handlers
from agatehoist.sidecar.execution import Execution
from tests.test_protocol.test_codec import SAMPLES

SUBMIT = next(each for each in SAMPLES if isinstance(each, SubmitCall))

FAULTS = [
    ("wrong_kind_of_endpoint", AssertionError()),
    ("answer_of_another_shape", AttributeError("'list' object has no attribute 'get'")),
    ("body_nested_too_deep", RecursionError()),
]


class AttemptExceptionTests(unittest.TestCase):
    @parameterized.expand(FAULTS)
    def test_exception_becomes_an_unknown_outcome(
        self, _name: str, fault: Exception
    ) -> None:
        async def fail(*_arguments: Any) -> None:
            raise fault

        async def main() -> object:
            execution = Execution(60.0)
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(
                    handlers._run_and_report_exception,
                    cast("Any", None),
                    fail,
                    SUBMIT,
                    execution,
                    ExitStack(),
                )

            return execution.final_message

        final_message = anyio.run(main)
        assert isinstance(final_message, Refused)
        self.assertEqual(final_message.refusal.run, Run.UNKNOWN)
        self.assertEqual(final_message.attempt_id, SUBMIT.assignment.attempt_id)
