"""Tests of component failures while bookings and streams are in flight."""

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
    BOOKING_RUN_S,
    SERVICE_SIDECAR,
    TIMEOUT_S,
    FailureTestCase,
    expected_text,
)
from tests.test_whole.support import completion_body

BOOKINGS = f"/services/{SERVICE}/bookings"

# Fault, component, whether the first call succeeds, and the status of a keyed retry.
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

# Components by role: the engine's host is known only once the stream has started.
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
    def test_keyed_booking_runs_once_despite_fault(
        self,
        name: str,
        fault: str,
        component: str,
        first_succeeds: bool,
        retry_status: int,
    ) -> None:
        headers = {"Idempotency-Key": name}
        first_call = self._book_in_background(name, headers)
        self.wait_for_run(name)
        self.inject_fault(fault, component)
        if component == "router-0":
            responses = [None]
        else:
            first_call.join(TIMEOUT_S)
            responses = self._responses
        self._check_first_response(responses[0], first_succeeds)
        retried = self._book_once_claims_available(name, headers)
        self.assertEqual(retried.status_code, retry_status, retried.text)
        if retry_status == 201:
            self.assertEqual(retried.json(), {"reference": name, "runs": 1})
        else:
            self.assertEqual(retried.json()["error"]["run"], "unknown")
        self.assertEqual(self.run_count(name), 1)

    @parameterized.expand([(f"unkeyed_{f}_{n}", f, n) for f, n in UNKEYED_FAULTS])
    def test_unkeyed_booking_runs_once_despite_fault(
        self, name: str, fault: str, component: str
    ) -> None:
        first_call = self._book_in_background(name, {})
        self.wait_for_run(name)
        self.inject_fault(fault, component)
        first_call.join(TIMEOUT_S)
        self._check_first_response(self._responses[0], fault == "cut")
        self.assertEqual(self.run_count(name), 1)

    def test_key_reused_with_another_body_is_refused(self) -> None:
        headers = {"Idempotency-Key": "one-key"}
        self.assertEqual(self._book(0, "body-1", headers).status_code, 201)
        refused = self._book(1, "body-2", headers)
        self.assertEqual(refused.status_code, 422)
        self.assertEqual(refused.json()["error"]["run"], "no")
        self.assertEqual(self.run_count("body-2"), 0)

    def test_keyed_booking_is_refused_while_platform_is_down(self) -> None:
        self._set_platform_faults(down=True)
        self.addCleanup(self._set_platform_faults)
        refused = self._book(0, "down", {"Idempotency-Key": "down"})
        error = refused.json()["error"]
        self.assertEqual((error["code"], error["run"]), ("claim_unavailable", "no"))
        self.assertIn("retry-after", refused.headers)
        self.assertEqual(self.run_count("down"), 0)

    def test_booking_survives_lost_response_to_claim(self) -> None:
        self._set_platform_faults(lost_answers=1)
        response = self._book(0, "lost", {"Idempotency-Key": "lost"})
        self.assertEqual((response.status_code, self.run_count("lost")), (201, 1))

    def test_concurrent_bookings_with_one_key_run_once(self) -> None:
        threads = [
            self._book_in_background("race", {"Idempotency-Key": "race"}, router)
            for router in (0, 1, 0, 1)
        ]
        for each in threads:
            each.join(TIMEOUT_S)
        bodies = [each.json() for each in self._responses]
        self.assertEqual(bodies, [{"reference": "race", "runs": 1}] * 4)
        self.assertEqual(self.run_count("race"), 1)

    def setUp(self) -> None:
        self._responses: list[Any] = []

    def _book(
        self, router: int, reference: str, headers: dict[str, str]
    ) -> httpx.Response:
        body = {"reference": reference, "delay": BOOKING_RUN_S}
        return self.client(router).post(BOOKINGS, json=body, headers=headers)

    def _book_once_claims_available(
        self, reference: str, headers: dict[str, str]
    ) -> httpx.Response:
        deadline = time.monotonic() + TIMEOUT_S
        while True:
            response = self._book(1, reference, headers)
            error = response.json().get("error", {})
            if error.get("code") != "claim_unavailable":
                return response
            self.assertLess(
                time.monotonic(), deadline, "the platform is still unavailable"
            )
            time.sleep(0.2)

    def _book_in_background(
        self, reference: str, headers: dict[str, str], router: int = 0
    ) -> threading.Thread:
        def book() -> None:
            try:
                self._responses.append(self._book(router, reference, headers))
            except httpx.HTTPError:
                self._responses.append(None)

        thread = threading.Thread(target=book)
        thread.start()
        self.addCleanup(thread.join)
        return thread

    def _check_first_response(
        self, response: httpx.Response | None, first_succeeds: bool
    ) -> None:
        if first_succeeds:
            assert response is not None
            self.assertEqual(response.status_code, 201, response.text)
        elif response is not None:
            self.assertEqual(response.json()["error"]["run"], "unknown")


class StreamTests(FailureTestCase):
    @parameterized.expand([(f"{f}_{n}", f, n) for f, n in STREAM_FAULTS])
    def test_stream_is_complete_despite_fault(
        self, name: str, fault: str, role: str
    ) -> None:
        text, resume_point, router = "", "", 0
        injected = False
        done = False
        while not done:
            headers = {RESUME_HEADER: resume_point} if resume_point else {}
            try:
                for host, event_id, piece in self._read_stream(router, name, headers):
                    done = piece is None
                    text += piece or ""
                    resume_point = event_id or resume_point
                    if not injected and text.count(" ") >= 4:
                        injected = True
                        self.inject_fault(fault, self._component_name(role, host))
            except httpx.HTTPError:
                self.assertEqual(role, "router")
                router = 1
        self.assertEqual(text, expected_text(name))

    def test_another_organisation_cannot_resume_stream(self) -> None:
        with self.client().stream(
            "POST", "/v1/completions", json=completion_body("ours", stream=True)
        ) as response:
            point = response.headers[RESUME_HEADER]
        refused_resume = self.client(1, key="cooperative-key").post(
            "/v1/completions",
            json=completion_body("ours"),
            headers={RESUME_HEADER: point},
        )
        self.assertEqual(refused_resume.json()["error"]["code"], "answer_not_kept")

    def test_streams_complete_while_half_the_fleet_stops(self) -> None:
        texts_by_name: dict[str, str] = {}
        # Eight readers and this thread wait at the barrier.
        all_started = threading.Barrier(9)

        def read_stream(name: str, router: int) -> None:
            text = ""
            for _, _, piece in self._read_stream(router, name, {}):
                if not text:
                    all_started.wait(TIMEOUT_S)
                text += piece or ""
                done = piece is None
            texts_by_name[name] = text if done else "cut off"

        readers = [
            threading.Thread(target=read_stream, args=(f"restart {index}", index % 2))
            for index in range(8)
        ]
        for each in readers:
            each.start()
        all_started.wait(TIMEOUT_S)
        stopping = ["router-1", "sidecar-engine-0"]
        for name in stopping:
            self.fleet.processes_by_name[name].send_signal(signal.SIGTERM)
        late = self.client(0).post("/v1/completions", json=completion_body("late"))
        self.assertEqual(late.json()["choices"][0]["text"], expected_text("late"))
        statuses = [self.fleet.wait(name) for name in stopping]
        for each in readers:
            each.join(TIMEOUT_S)
        for name in stopping:
            self._restart(name)
        self.assertEqual(statuses, [0, 0])
        expected = {f"restart {i}": expected_text(f"restart {i}") for i in range(8)}
        self.assertEqual(texts_by_name, expected)

    def test_caller_disconnect_cancels_engine_work(self) -> None:
        for stream in (True, False):
            cancelled_before = self._engine_total("cancelled")
            body = completion_body(f"leaver {stream}", stream=stream)
            try:
                with self.client().stream(
                    "POST", "/v1/completions", json=body, timeout=0.3
                ) as response:
                    next(response.iter_lines())
            except httpx.ReadTimeout:
                pass
            disconnected_at = time.monotonic()
            while self._engine_total("cancelled") == cancelled_before:
                self.assertLess(
                    time.monotonic() - disconnected_at, 1.0, f"stream {stream}"
                )
                time.sleep(0.02)
            self.assertEqual(self._engine_total("running"), 0)

    def _component_name(self, role: str, host: str) -> str:
        names = {"engine": host.removeprefix("sidecar-"), "router": "router-0"}
        return names.get(role, host)

    def _read_stream(self, router: int, text: str, headers: dict[str, str]) -> Any:
        """Yield host, event id and text of each event; the text is None for [DONE]."""
        with self.client(router).stream(
            "POST",
            "/v1/completions",
            json=completion_body(text, stream=True),
            headers=headers,
        ) as response:
            host = response.headers["x-agatehoist-endpoint"]
            event_id = ""
            for line in response.iter_lines():
                key, _, value = line.partition(": ")
                if key == "id":
                    event_id = value
                elif value == "[DONE]":
                    yield host, event_id, None
                elif key == "data":
                    event = json.loads(value)
                    self.assertNotIn("error", event)
                    yield host, event_id, event["choices"][0]["text"]

    def _engine_total(self, field: str) -> int:
        urls = [self.fleet.url(f"engine-{index}") for index in range(2)]
        return sum(read_json(httpx.get(f"{url}/status"))[field] for url in urls)
