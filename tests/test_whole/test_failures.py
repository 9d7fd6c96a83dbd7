"""Failure table on processes: component, moment and fault."""

from __future__ import annotations

import json
import signal
import threading
import time
from typing import Any

import httpx
from parameterized import parameterized

from agatehoist.frontend.resume_point import RESUME_HEADER
from standins.fleet import SERVICE, read_json
from tests.test_whole.faults import (
    RUN_S,
    SERVICE_SIDECAR,
    WAIT_S,
    FailureTestCase,
    expected_text,
)
from tests.test_whole.support import prompt

BOOKINGS = f"/services/{SERVICE}/bookings"

# Fault, whether the call itself is answered, and what a retry with its key gets.
BOOKING_FAULTS = [
    ("kill", "router-0", False, 201),
    ("kill", SERVICE_SIDECAR, False, 409),
    ("kill", "service-0", False, 502),
    ("freeze", "router-0", False, 201),
    ("freeze", SERVICE_SIDECAR, True, 201),
    ("freeze", "platform", True, 201),
    ("cut", SERVICE_SIDECAR, True, 201),
    ("lose_answers", SERVICE_SIDECAR, True, 201),
    ("platform_down", "platform", True, 201),
]

UNKEYED_FAULTS = [
    ("kill", "service-0"),
    ("cut", SERVICE_SIDECAR),
]

# The engine's host is known only once the stream has begun.
STREAM_FAULTS = [
    ("kill", "engine"),
    ("kill", "sidecar"),
    ("kill", "router"),
    ("freeze", "engine"),
    ("freeze", "sidecar"),
    ("cut", "sidecar"),
]


class BookingTests(FailureTestCase):
    @parameterized.expand([(f"{f}_{n}", f, n, a, r) for f, n, a, r in BOOKING_FAULTS])
    def test_keyed_booking(
        self, name: str, fault: str, component: str, answered: bool, retry: int
    ) -> None:
        headers = {"Idempotency-Key": name}
        first = self._book_in_background(name, headers)
        self.wait_for_run(name)
        self.strike(fault, component)
        if component == "router-0":
            answers = [None]
        else:
            first.join(WAIT_S)
            answers = self._answers
        self._check_first(answers[0], answered)
        again = self._book_until_claimed(name, headers)
        self.assertEqual(again.status_code, retry, again.text)
        if retry == 201:
            self.assertEqual(again.json(), {"reference": name, "runs": 1})
        else:
            self.assertEqual(again.json()["error"]["run"], "unknown")
        self.assertEqual(self.runs(name), 1)

    @parameterized.expand([(f"unkeyed_{f}_{n}", f, n) for f, n in UNKEYED_FAULTS])
    def test_unkeyed_booking(self, name: str, fault: str, component: str) -> None:
        first = self._book_in_background(name, {})
        self.wait_for_run(name)
        self.strike(fault, component)
        first.join(WAIT_S)
        self._check_first(self._answers[0], fault == "cut")
        self.assertEqual(self.runs(name), 1)

    def test_another_body_under_the_key(self) -> None:
        headers = {"Idempotency-Key": "one-key"}
        self.assertEqual(self._book(0, "body-1", headers).status_code, 201)
        refused = self._book(1, "body-2", headers)
        self.assertEqual(refused.status_code, 422)
        self.assertEqual(refused.json()["error"]["run"], "no")
        self.assertEqual(self.runs("body-2"), 0)

    def test_platform_down_before_the_dispatch(self) -> None:
        self._set_platform(down=True)
        self.addCleanup(self._set_platform)
        refused = self._book(0, "down", {"Idempotency-Key": "down"})
        error = refused.json()["error"]
        self.assertEqual((error["code"], error["run"]), ("claim_unavailable", "no"))
        self.assertIn("retry-after", refused.headers)
        self.assertEqual(self.runs("down"), 0)

    def test_lost_answer_of_the_claim(self) -> None:
        self._set_platform(lost_answers=1)
        answer = self._book(0, "lost", {"Idempotency-Key": "lost"})
        self.assertEqual((answer.status_code, self.runs("lost")), (201, 1))

    def test_racing_callers(self) -> None:
        racers = [
            self._book_in_background("race", {"Idempotency-Key": "race"}, router)
            for router in (0, 1, 0, 1)
        ]
        for each in racers:
            each.join(WAIT_S)
        bodies = [each.json() for each in self._answers]
        self.assertEqual(bodies, [{"reference": "race", "runs": 1}] * 4)
        self.assertEqual(self.runs("race"), 1)

    def setUp(self) -> None:
        self._answers: list[Any] = []

    def _book(
        self, router: int, reference: str, headers: dict[str, str]
    ) -> httpx.Response:
        body = {"reference": reference, "delay": RUN_S}
        return self.client(router).post(BOOKINGS, json=body, headers=headers)

    def _book_until_claimed(
        self, reference: str, headers: dict[str, str]
    ) -> httpx.Response:
        deadline = time.monotonic() + WAIT_S
        while True:
            answer = self._book(1, reference, headers)
            error = answer.json().get("error", {})
            if error.get("code") != "claim_unavailable":
                return answer
            self.assertLess(time.monotonic(), deadline, "the platform stays away")
            time.sleep(0.2)

    def _book_in_background(
        self, reference: str, headers: dict[str, str], router: int = 0
    ) -> threading.Thread:
        def book() -> None:
            try:
                self._answers.append(self._book(router, reference, headers))
            except httpx.HTTPError:
                self._answers.append(None)

        thread = threading.Thread(target=book)
        thread.start()
        self.addCleanup(thread.join)
        return thread

    def _check_first(self, answer: httpx.Response | None, answered: bool) -> None:
        if answered:
            assert answer is not None
            self.assertEqual(answer.status_code, 201, answer.text)
        elif answer is not None:
            self.assertEqual(answer.json()["error"]["run"], "unknown")


class StreamTests(FailureTestCase):
    @parameterized.expand([(f"{f}_{n}", f, n) for f, n in STREAM_FAULTS])
    def test_stream_arrives_whole(self, name: str, fault: str, part: str) -> None:
        text, resume_point, router = "", "", 0
        struck = False
        done = False
        while not done:
            headers = {RESUME_HEADER: resume_point} if resume_point else {}
            try:
                for host, event_id, piece in self._stream(router, name, headers):
                    done = piece is None
                    text += piece or ""
                    resume_point = event_id or resume_point
                    if not struck and text.count(" ") >= 4:
                        struck = True
                        self.strike(fault, self._component(part, host))
            except httpx.HTTPError:
                self.assertEqual(part, "router")
                router = 1
        self.assertEqual(text, expected_text(name))

    def test_resume_by_another_organisation(self) -> None:
        with self.client().stream(
            "POST", "/v1/completions", json=prompt("ours", stream=True)
        ) as answer:
            point = answer.headers[RESUME_HEADER]
        theirs = self.client(1, key="cooperative-key").post(
            "/v1/completions", json=prompt("ours"), headers={RESUME_HEADER: point}
        )
        self.assertEqual(theirs.json()["error"]["code"], "answer_not_kept")

    def test_half_the_fleet_restarts(self) -> None:
        texts_by_name: dict[str, str] = {}
        begun = threading.Barrier(9)

        def read(name: str, router: int) -> None:
            text = ""
            for _, _, piece in self._stream(router, name, {}):
                if not text:
                    begun.wait(WAIT_S)
                text += piece or ""
                done = piece is None
            texts_by_name[name] = text if done else "cut off"

        readers = [
            threading.Thread(target=read, args=(f"restart {index}", index % 2))
            for index in range(8)
        ]
        for each in readers:
            each.start()
        begun.wait(WAIT_S)
        leaving = ["router-1", "sidecar-engine-0"]
        for name in leaving:
            self.fleet.processes_by_name[name].send_signal(signal.SIGTERM)
        late = self.client(0).post("/v1/completions", json=prompt("late"))
        self.assertEqual(late.json()["choices"][0]["text"], expected_text("late"))
        statuses = [self.fleet.wait(name) for name in leaving]
        for each in readers:
            each.join(WAIT_S)
        for name in leaving:
            self._start_again(name)
        self.assertEqual(statuses, [0, 0])
        expected = {f"restart {i}": expected_text(f"restart {i}") for i in range(8)}
        self.assertEqual(texts_by_name, expected)

    def test_caller_that_leaves_frees_the_engine(self) -> None:
        for stream in (True, False):
            cancelled = self._total("cancelled")
            body = prompt(f"leaver {stream}", stream=stream)
            try:
                with self.client().stream(
                    "POST", "/v1/completions", json=body, timeout=0.3
                ) as answer:
                    next(answer.iter_lines())
            except httpx.ReadTimeout:
                pass
            left_at = time.monotonic()
            while self._total("cancelled") == cancelled:
                self.assertLess(time.monotonic() - left_at, 1.0, f"stream {stream}")
                time.sleep(0.02)
            self.assertEqual(self._total("running"), 0)

    def _component(self, part: str, host: str) -> str:
        names = {"engine": host.removeprefix("sidecar-"), "router": "router-0"}
        return names.get(part, host)

    def _stream(self, router: int, text: str, headers: dict[str, str]) -> Any:
        """Yield the host, the event id and each piece, then None at a good end."""
        with self.client(router).stream(
            "POST", "/v1/completions", json=prompt(text, stream=True), headers=headers
        ) as answer:
            host = answer.headers["x-agatehoist-endpoint"]
            event_id = ""
            for line in answer.iter_lines():
                key, _, value = line.partition(": ")
                if key == "id":
                    event_id = value
                elif value == "[DONE]":
                    yield host, event_id, None
                elif key == "data":
                    event = json.loads(value)
                    self.assertNotIn("error", event)
                    yield host, event_id, event["choices"][0]["text"]

    def _total(self, field: str) -> int:
        urls = [self.fleet.url(f"engine-{index}") for index in range(2)]
        return sum(read_json(httpx.get(f"{url}/status"))[field] for url in urls)
