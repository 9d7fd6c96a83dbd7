"""Tests of what endpoints say of themselves in their answers."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from agatehoist.fleet.statements import (
    MAX_PAUSE_S,
    NOTICE_VALID_S,
    EndpointStatements,
    Notice,
    Statement,
)

ENDPOINT = b"engine"
NAMED_AT = 100.0
LIMITED = Statement(limit_per_s=2.0)
PLAIN = Statement()
LEAVING = Statement(leaving=True)


class NoteTests(unittest.TestCase):
    # Limits in the answers to two requests, the first of which is answered at NAMED_AT.
    @parameterized.expand(
        [
            ("goes_on", LIMITED, 101.0, 2.0),
            ("changed", Statement(limit_per_s=4.0), 101.0, 4.0),
            ("ended", PLAIN, 101.0, None),
            ("not_ended_by_an_earlier_request", PLAIN, 99.0, 2.0),
        ]
    )
    def test_limit_holds_until_a_later_answer_ends_it(
        self, _name: str, second: Statement, sent_at: float, limit: float | None
    ) -> None:
        statements = EndpointStatements()
        statements.note(ENDPOINT, LIMITED, 99.5, NAMED_AT)
        statements.note(ENDPOINT, second, sent_at, 102.0)
        self.assertEqual(statements.limit_per_s(ENDPOINT, 102.0), limit)

    def test_limit_of_an_endpoint_without_requests_expires(self) -> None:
        statements = EndpointStatements()
        statements.note(ENDPOINT, LIMITED, 99.5, NAMED_AT)
        later = NAMED_AT + NOTICE_VALID_S
        self.assertEqual(statements.limit_per_s(ENDPOINT, later - 0.1), 2.0)
        self.assertIsNone(statements.limit_per_s(ENDPOINT, later))

    # Whether other nodes are told of the second of two answers.
    @parameterized.expand(
        [
            ("same", Statement(limit_per_s=2.0), False),
            ("nearly_the_same", Statement(limit_per_s=2.1), False),
            ("lower", Statement(limit_per_s=1.0), True),
            ("ended", PLAIN, True),
            ("leaving", Statement(limit_per_s=2.0, leaving=True), True),
        ]
    )
    def test_only_changes_are_news(
        self, _name: str, second: Statement, is_news: bool
    ) -> None:
        statements = EndpointStatements()
        self.assertIsNotNone(statements.note(ENDPOINT, LIMITED, 99.5, NAMED_AT))
        notice = statements.note(ENDPOINT, second, 101.0, 102.0)
        self.assertEqual(notice is not None, is_news)

    def test_answer_that_states_nothing_takes_no_memory(self) -> None:
        statements = EndpointStatements()
        self.assertIsNone(statements.note(ENDPOINT, PLAIN, 99.5, NAMED_AT))
        self.assertEqual(statements.stated_since(0.0), ())


class AcceptTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("newer", 101.0, 1.0, False, 1.0, True),
            ("newer_end", 101.0, None, False, None, True),
            ("older", 99.0, None, False, 2.0, False),
            ("older_that_leaves", 99.0, None, True, 2.0, True),
            ("expired", NAMED_AT - NOTICE_VALID_S, None, True, 2.0, False),
        ]
    )
    def test_notice_of_a_peer_replaces_an_older_one(
        self,
        _name: str,
        stated_at: float,
        limit: float | None,
        leaving: bool,
        expected: float | None,
        is_news: bool,
    ) -> None:
        statements = EndpointStatements()
        statements.note(ENDPOINT, LIMITED, 99.5, NAMED_AT)
        notice = Notice(ENDPOINT, limit, leaving, stated_at)
        self.assertEqual(statements.accept(notice, 102.0), is_news)
        self.assertEqual(statements.limit_per_s(ENDPOINT, 102.0), expected)


class LeavingTests(unittest.TestCase):
    # What an endpoint says after it has said that it leaves, and when it is looked at.
    @parameterized.expand(
        [
            ("says_so_again", LEAVING, 101.0, True),
            ("says_nothing_more", PLAIN, 101.0, True),
            ("expired", PLAIN, NAMED_AT + NOTICE_VALID_S + 3.0, False),
        ]
    )
    def test_endpoint_that_leaves_does_not_return(
        self, _name: str, second: Statement, looked_at: float, leaving: bool
    ) -> None:
        statements = EndpointStatements()
        statements.note(ENDPOINT, LEAVING, 99.5, NAMED_AT)
        statements.note(ENDPOINT, second, 100.5, 101.0)
        self.assertEqual(statements.is_leaving(ENDPOINT, looked_at), leaving)


class PauseTests(unittest.TestCase):
    # The ends of two pauses that an endpoint asks for at 100 and 101, and what holds.
    @parameterized.expand(
        [
            ("longer", 102.0, 105.0, 105.0),
            ("shorter", 105.0, 102.0, 105.0),
            ("over", 100.5, 101.2, None),
            ("bounded", 1e9, 1e9, 101.0 + MAX_PAUSE_S),
        ]
    )
    def test_pause_holds_for_this_node_until_its_end(
        self, _name: str, first: float, second: float, expected: float | None
    ) -> None:
        statements = EndpointStatements()
        for at, until in ((100.0, first), (101.0, second)):
            notice = statements.note(
                ENDPOINT, Statement(paused_until=until), at - 0.1, at
            )
            self.assertIsNone(notice)
        self.assertEqual(statements.paused_until(ENDPOINT, 101.5), expected)
