"""HTTP routes of the engine stand-in, in the format of the OpenAI API."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import anyio
from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from standins.engine.cache_routes import cache_routes
from standins.engine.orders import order_routes

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from starlette.requests import Request

    from standins.engine.events import Epoch
    from standins.engine.model import Engine
    from standins.engine.orders import OrderHandler


class EngineApp:
    """Handle the requests to an engine's API."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine

    async def status(self, _request: Request) -> Response:
        """Return incarnation, model, weights version and load."""
        return JSONResponse(
            {
                "incarnation": self.engine.incarnation,
                "weights_version": self.engine.weights_version,
                "model": self.engine.model,
                "running": self.engine.reported_load.report(),
                "cancelled": self.engine.cancelled,
            }
        )

    async def complete(self, request: Request) -> Response:
        """Return a completion, as one body or as a stream."""
        fields = await request.json()
        if fields["model"] != self.engine.model:
            return JSONResponse({"error": {"message": "no such model"}}, 404)
        if not self.engine.weights_version:
            return JSONResponse({"error": {"message": "no weights"}}, 503)
        if self._expects_other_weights(request):
            return JSONResponse({"error": {"message": "other weights"}}, 421)
        is_chat = request.url.path.endswith("/chat/completions")
        prompt = _render_chat(fields) if is_chat else fields["prompt"]
        events = self._generate(fields, prompt, is_chat)
        if fields.get("stream"):
            hidden = self.engine.feed.faults.state_no_epoch
            headers = {} if hidden else _epoch_headers(self.engine.epoch)
            return StreamingResponse(
                _encode(events), headers=headers, media_type="text/event-stream"
            )
        return JSONResponse(await _join(events, is_chat))

    def _expects_other_weights(self, request: Request) -> bool:
        if self.engine.feed.faults.ignore_expected_version:
            return False
        expected = request.headers.get("x-expected-weights-version")
        return expected not in (None, self.engine.weights_version)

    async def _generate(
        self, fields: dict[str, Any], prompt: str, is_chat: bool
    ) -> AsyncIterator[dict[str, Any]]:
        engine = self.engine
        limit = fields.get("max_completion_tokens") or fields.get("max_tokens")
        first, text = _read_continuation(fields)
        full_length = engine.answer_tokens
        end = min(first + limit if limit else full_length, full_length)
        engine.running += 1
        engine.reported_load.record(engine.running)
        ended = False
        try:
            prefill = await engine.prefill(prompt + text, fields.get("cache_salt", ""))
            for index in range(first, end):
                yield _event(_choice(engine.token(prompt, index), None, is_chat))
                await anyio.sleep(1 / engine.speed.decode)
            ended = True
            reason = "stop" if end == full_length else "length"
            yield _event(_choice("", reason, is_chat))
            yield {
                "choices": [],
                "usage": {
                    "prompt_tokens": prefill.prompt_tokens,
                    "completion_tokens": end - first,
                    "total_tokens": prefill.prompt_tokens + end - first,
                    "prompt_tokens_details": {
                        "cached_tokens": prefill.cached_tokens,
                        "block_hashes": prefill.block_hashes,
                    },
                },
            }
        finally:
            engine.running -= 1
            engine.reported_load.record(engine.running)
            engine.cancelled += not ended


def make_app(engine: Engine, orders: OrderHandler) -> Starlette:
    """Return the ASGI application of an engine."""
    app = EngineApp(engine)
    return Starlette(
        routes=[
            Route("/status", app.status),
            *order_routes(orders),
            *cache_routes(engine),
            Route("/v1/completions", app.complete, methods=["POST"]),
            Route("/v1/chat/completions", app.complete, methods=["POST"]),
        ]
    )


def _epoch_headers(epoch: Epoch) -> dict[str, str]:
    return {
        "x-engine-incarnation": epoch.incarnation,
        "x-weights-version": epoch.weights_version,
    }


def _read_continuation(fields: dict[str, Any]) -> tuple[int, str]:
    """Return the token index to continue an answer at, and the text before it.

    The field "continuation" holds "text", the part of the answer that another engine
    generated, and "tokens", its length; max_tokens counts only the tokens after it.
    """
    continuation = fields.get("continuation") or {"tokens": 0, "text": ""}
    return continuation["tokens"], continuation["text"]


def _render_chat(fields: dict[str, Any]) -> str:
    return "".join(
        f"{each['role']}: {each['content']}\n" for each in fields["messages"]
    )


def _choice(text: str, reason: str | None, is_chat: bool) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": reason}
    if is_chat:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    return choice


def _event(choice: dict[str, Any]) -> dict[str, Any]:
    return {"choices": [choice]}


async def _encode(events: AsyncIterator[dict[str, Any]]) -> AsyncIterator[bytes]:
    async for event in events:
        yield f"data: {json.dumps(event)}\n\n".encode()
    yield b"data: [DONE]\n\n"


async def _join(events: AsyncIterator[dict[str, Any]], is_chat: bool) -> dict[str, Any]:
    text = ""
    body: dict[str, Any] = {}
    async for event in events:
        for choice in event["choices"]:
            text += choice["delta"]["content"] if is_chat else choice["text"]
        body.update(event)
    body["choices"] = [_choice(text, "stop", is_chat)]
    return body
