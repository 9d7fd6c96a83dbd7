"""Tests of requests through routers and sidecars, and of shutdown."""

from __future__ import annotations

import json
import socket
import threading
import time
from typing import Any

import httpx
import openai
from parameterized import parameterized

from standins.engine.model import Engine, Speed
from standins.fleet import ARCHIVE_KEY, COOPERATIVE_KEY, MODEL, SERVICE
from tests.test_whole.support import FleetTestCase, completion_body

TIMEOUT_S = 10.0
SHARED_PREFIX = "The cannery whistle blew at dawn. " * 100

BAD_REQUESTS: list[tuple[str, str, Any, int, str]] = [
    ("malformed", "/v1/completions", b"{", 400, "malformed_body"),
    ("no_object", "/v1/completions", b"[]", 400, "malformed_body"),
    ("no_model", "/v1/completions", b'{"prompt": "x"}', 400, "invalid_parameter"),
    (
        "unknown_model",
        "/v1/completions",
        json.dumps({"model": "nothing", "prompt": "x"}).encode(),
        404,
        "model_not_found",
    ),
    (
        "prompt_too_long",
        "/v1/completions",
        json.dumps(completion_body("x " * 100_000)).encode(),
        400,
        "context_length_exceeded",
    ),
    ("body_too_large", "/v1/completions", b"x" * 5_000_000, 413, "body_too_large"),
    (
        "no_messages",
        "/v1/chat/completions",
        json.dumps({"model": MODEL, "messages": []}).encode(),
        400,
        "invalid_parameter",
    ),
    ("unknown_service", "/services/nothing/x", b"", 404, "service_not_found"),
]


def expected_text(text: str, count: int = 24) -> str:
    """Return the completion that the engine stand-in generates for a prompt."""
    engine = Engine(MODEL, 1, Speed())
    return "".join(engine.token(text, index) for index in range(count))


class RequestTests(FleetTestCase):
    fleet_options = {"routers": 2, "engines": 2}

    @parameterized.expand([(0,), (1,)])
    def test_completion_text_and_finish_reason(self, router: int) -> None:
        response = self.client(router).post(
            "/v1/completions", json=completion_body("one verse")
        )
        body = response.json()
        self.assertEqual(body["choices"][0]["text"], expected_text("one verse"))
        self.assertEqual(body["choices"][0]["finish_reason"], "stop")

    def test_client_library_streams_a_chat(self) -> None:
        base_url = f"{self.fleet.url('router-0')}/v1"
        messages = [{"role": "user", "content": "who sang?"}]
        with openai.OpenAI(api_key=ARCHIVE_KEY, base_url=base_url) as client:
            stream = client.chat.completions.create(
                model=MODEL,
                messages=messages,  # type: ignore[arg-type]
                stream=True,
                stream_options={"include_usage": True},
            )
            chunks = list(stream)
        text = "".join(c.choices[0].delta.content or "" for c in chunks if c.choices)
        self.assertEqual(text, expected_text("user: who sang?\n"))
        self.assertEqual(chunks[-1].usage.completion_tokens, 24)

    @parameterized.expand(
        [
            ("unknown_key", "wrong", MODEL, openai.AuthenticationError),
            ("unknown_model", ARCHIVE_KEY, "nothing", openai.NotFoundError),
        ]
    )
    def test_client_library_raises_its_error_types(
        self, _name: str, key: str, model: str, error: type[Exception]
    ) -> None:
        base_url = f"{self.fleet.url('router-0')}/v1"
        with (
            openai.OpenAI(api_key=key, base_url=base_url, max_retries=0) as client,
            self.assertRaises(error),
        ):
            client.completions.create(model=model, prompt="x")

    @parameterized.expand([("HTTP/1.1", True, False), ("HTTP/2", False, True)])
    def test_http_1_1_and_http_2_are_served(
        self, version: str, http1: bool, http2: bool
    ) -> None:
        url = f"{self.fleet.url('router-0')}/v1/models"
        headers = {"Authorization": f"Bearer {ARCHIVE_KEY}"}
        with httpx.Client(http1=http1, http2=http2, headers=headers) as client:
            response = client.get(url)
        self.assertEqual((response.http_version, response.status_code), (version, 200))

    def test_client_library_lists_models(self) -> None:
        base_url = f"{self.fleet.url('router-0')}/v1"
        with openai.OpenAI(api_key=ARCHIVE_KEY, base_url=base_url) as client:
            self.assertEqual([each.id for each in client.models.list()], [MODEL])

    def test_shared_prefix_is_cached_across_routers(self) -> None:
        for router, question in enumerate(("who?", "where?")):
            client = self.client(router)
            response = client.post(
                "/v1/completions", json=completion_body(SHARED_PREFIX + question)
            )
        usage = response.json()["usage"]
        self.assertGreater(usage["prompt_tokens_details"]["cached_tokens"], 700)

    def test_cache_is_not_shared_across_organisations(self) -> None:
        text = "A hymn in three languages. " * 100
        for key in (ARCHIVE_KEY, COOPERATIVE_KEY):
            client = self.client(key=key)
            response = client.post("/v1/completions", json=completion_body(text))
            details = response.json()["usage"]["prompt_tokens_details"]
            self.assertEqual(details["cached_tokens"], 0)

    @parameterized.expand([("GET", "cards/7", 200), ("POST", "bookings", 201)])
    def test_service_call_status(self, method: str, path: str, status: int) -> None:
        client = self.client()
        response = client.request(
            method, f"/services/{SERVICE}/{path}", json={"reference": path}
        )
        self.assertEqual(response.status_code, status)

    @parameterized.expand(BAD_REQUESTS)
    def test_bad_request_status_and_error_code(
        self, _name: str, path: str, body: bytes, status: int, code: str
    ) -> None:
        response = self.client().post(path, content=body)
        self.assertEqual(response.status_code, status)
        error = response.json()["error"]
        self.assertEqual((error["code"], error["run"]), (code, "no"))

    @parameterized.expand(["/healthz", "/readyz", "/metrics"])
    def test_operator_routes_succeed(self, path: str) -> None:
        self.assertTrue(self.client().get(path).is_success)


class ShutdownTests(FleetTestCase):
    fleet_options = {"engine_options": ("--decode", "20")}

    # How long after the begin of the stop the last byte of a request is sent.
    @parameterized.expand(
        [
            ("at_once", 0.0),
            ("later", 2.0),
        ]
    )
    def test_request_being_read_at_the_stop_is_refused_as_not_run(
        self, _name: str, after_s: float
    ) -> None:
        """The router answers it though nothing else keeps the process running."""
        body = json.dumps(completion_body("late")).encode()
        lines = [
            b"POST /v1/completions HTTP/1.1",
            b"Host: router",
            b"Authorization: Bearer " + ARCHIVE_KEY.encode(),
            b"Content-Length: " + str(len(body)).encode(),
        ]
        request = b"\r\n".join([*lines, b"", body])
        address = ("127.0.0.1", self.fleet.ports_by_name["router-0"])
        with socket.create_connection(address, TIMEOUT_S) as caller:
            caller.sendall(request[:-1])
            time.sleep(0.3)
            stops = self._count_stops()
            self.fleet.processes_by_name["router-0"].terminate()
            while self._count_stops() == stops:
                time.sleep(0.02)
            time.sleep(after_s)
            caller.sendall(request[-1:])
            received = b"".join(iter(lambda: caller.recv(4096), b""))
        self.assertEqual(self.fleet.wait("router-0"), 0)
        self.fleet.restart("router-0")
        self.fleet.wait_ready("router-0")
        self.assertIn(b" 503 ", received.partition(b"\r\n")[0])
        self.assertIn(b'"run":"no"', received.replace(b" ", b""))

    def _count_stops(self) -> int:
        return self.fleet.log("router-0").count("router: leaving")

    @parameterized.expand(
        [
            ("router", ("router-0",), 1),
            ("sidecar", ("sidecar-engine-0",), 1),
            ("router_asked_twice", ("router-0",), 2),
            ("sidecar_asked_twice", ("sidecar-engine-0",), 2),
            ("both", ("router-0", "sidecar-engine-0"), 1),
            ("both_the_other_way", ("sidecar-engine-0", "router-0"), 1),
        ]
    )
    def test_stream_in_flight_finishes_before_exit(
        self, _name: str, names: tuple[str, ...], signals: int
    ) -> None:
        texts: list[str] = []
        started = threading.Event()

        def read_stream() -> None:
            body = completion_body("slow", stream=True)
            with self.client().stream("POST", "/v1/completions", json=body) as response:
                for line in response.iter_lines():
                    texts.append(line)
                    started.set()

        reader = threading.Thread(target=read_stream)
        reader.start()
        self.assertTrue(started.wait(10))
        stop_requested_at = time.monotonic()
        for _ in range(signals):
            for name in names:
                self.fleet.processes_by_name[name].terminate()
            time.sleep(0.1)
        for name in names:
            self.assertEqual(self.fleet.wait(name), 0)
        self.assertGreater(time.monotonic() - stop_requested_at, 0.3)
        reader.join(10)
        self.assertIn("data: [DONE]", texts)
        for name in names:
            self.fleet.restart(name)
            self.fleet.wait_ready(name)
