"""Replay of recorded sessions against a fleet."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Any

import yaml

if TYPE_CHECKING:
    import httpx

GOLDEN_FOLDER = Path("tests/golden/sessions")

TEXTS_BY_NAME = {
    "SONGBOOK": "The cannery whistle blew at dawn and all the crew sang out. " * 200,
    "HISTORY": "1987: size 39, left heel rubbed. 1991: size 39.5, wide. " * 200,
}

# Fields of a response body that differ between runs.
VOLATILE_FIELDS = frozenset({"id", "created"})


def read_session(name: str) -> dict[str, Any]:
    """Read a session: its organisation key and the requests of its steps."""
    text = (GOLDEN_FOLDER / f"{name}.yaml").read_text(encoding="utf-8")
    session: dict[str, Any] = yaml.safe_load(text)
    return session


def golden_file(name: str) -> Path:
    """Return the path of the file with a session's expected outcomes."""
    return GOLDEN_FOLDER / f"{name}.json"


def replay_session(
    client: httpx.Client, session: dict[str, Any]
) -> list[dict[str, Any]]:
    """Send the request of each step in order and return the outcomes."""
    return [
        {"name": step["name"], **_send(client, step["request"])}
        for step in session["steps"]
    ]


def _send(client: httpx.Client, request: dict[str, Any]) -> dict[str, Any]:
    response = client.request(
        request["method"],
        request["path"],
        json=_expand_texts(request.get("body")),
        headers=request.get("headers"),
    )
    outcome: dict[str, Any] = {
        "status": response.status_code,
        "endpoint": response.headers.get("x-agatehoist-endpoint"),
    }
    if response.headers.get("content-type", "").startswith("text/event-stream"):
        return {**outcome, **_join_stream(response.text)}
    try:
        return {**outcome, "body": _without_volatile_fields(response.json())}
    except ValueError:
        return {**outcome, "text": response.text}


def _expand_texts(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _expand_texts(each) for key, each in value.items()}
    if isinstance(value, list):
        return [_expand_texts(each) for each in value]
    return TEXTS_BY_NAME.get(value, value) if isinstance(value, str) else value


def _join_stream(text: str) -> dict[str, Any]:
    payloads = [
        line.removeprefix("data: ")
        for line in text.splitlines()
        if line.startswith("data: ")
    ]
    events = [json.loads(each) for each in payloads if each != "[DONE]"]
    choices = [choice for event in events for choice in event.get("choices", ())]
    return {
        "joined": "".join(
            choice.get("text", "") + choice.get("delta", {}).get("content", "")
            for choice in choices
        ),
        "finish_reason": choices[-1]["finish_reason"],
        "usage": next((each["usage"] for each in events if "usage" in each), None),
        "done": payloads[-1] == "[DONE]",
    }


def _without_volatile_fields(value: Any) -> Any:
    if isinstance(value, dict):
        # An entry with owned_by is a model, whose id is the same in each replay.
        return {
            key: _without_volatile_fields(each)
            for key, each in value.items()
            if key not in VOLATILE_FIELDS or key == "id" and "owned_by" in value
        }
    if isinstance(value, list):
        return [_without_volatile_fields(each) for each in value]
    return value
