"""Start a fleet with stand-ins, send requests through it and stop it."""

from __future__ import annotations

import json
import signal
import sys
import tempfile
import time
from pathlib import Path
from types import FrameType  # noqa: TC003
from typing import TYPE_CHECKING

import httpx

from standins.fleet import ARCHIVE_KEY, MODEL, SERVICE, FleetError, read_json, run_fleet

if TYPE_CHECKING:
    from standins.fleet import Fleet

SHARED_PROMPT = "The cannery whistle blew at dawn and all the crew sang out. " * 400
QUESTIONS = (
    "Who sang the first verse?",
    "Who sang the second verse?",
    "Where does the tune come from?",
)
HEADERS = {"Authorization": f"Bearer {ARCHIVE_KEY}"}


def main() -> int:
    """Run the demonstration and return the exit status."""
    # A shell may start a background process with SIGINT ignored.
    signal.signal(signal.SIGINT, _interrupt)
    signal.signal(signal.SIGTERM, _interrupt)
    try:
        with (
            tempfile.TemporaryDirectory() as folder,
            run_fleet(Path(folder), routers=2, engines=3) as fleet,
        ):
            return _run(fleet)
    except KeyboardInterrupt:
        print("interrupted; every process is stopped", file=sys.stderr)
        return 130
    except (FleetError, httpx.HTTPError) as error:
        print(f"demo: {error}", file=sys.stderr)
        return 1


def _interrupt(_signal: int, _frame: FrameType | None) -> None:
    raise KeyboardInterrupt


def _run(fleet: Fleet) -> int:
    print("two routers, three engines and one service run; the first prompt is cold")
    for index, question in enumerate(QUESTIONS):
        _ask_question(fleet.url(f"router-{index % 2}"), question)
    _call_service(fleet.url("router-0"), "GET", "cards/17")
    _call_service(
        fleet.url("router-1"), "POST", "bookings", {"reference": "licence-17"}
    )
    statuses_by_name = fleet.stop_all()
    failed = {name: status for name, status in statuses_by_name.items() if status}
    print(f"\nstopped {len(statuses_by_name)} processes, {len(failed)} with a failure")
    for name, status in failed.items():
        print(f"{name} ended with status {status}", file=sys.stderr)
    return 1 if failed else 0


def _ask_question(url: str, question: str) -> None:
    body = {
        "model": MODEL,
        "stream": True,
        "stream_options": {"include_usage": True},
        "messages": [
            {"role": "system", "content": SHARED_PROMPT},
            {"role": "user", "content": question},
        ],
    }
    sent_at = time.monotonic()
    ttft = 0.0
    text = ""
    usage = {}
    path = f"{url}/v1/chat/completions"
    with httpx.stream("POST", path, json=body, headers=HEADERS) as answer:
        answer.raise_for_status()
        for line in answer.iter_lines():
            payload = line.removeprefix("data: ")
            if payload in (line, "[DONE]"):
                continue
            ttft = ttft or time.monotonic() - sent_at
            event = json.loads(payload)
            usage = event.get("usage") or usage
            text += "".join(
                each["delta"].get("content", "") for each in event["choices"]
            )
    print(f"\n{question}\n  {text}")
    print(
        f"  endpoint {answer.headers['x-agatehoist-endpoint']}"
        f"  hit {usage['prompt_tokens_details']['cached_tokens']}"
        f" of {usage['prompt_tokens']} tokens  TTFT {ttft * 1000:.0f} ms"
    )


def _call_service(url: str, method: str, path: str, body: object = None) -> None:
    answer = httpx.request(
        method, f"{url}/services/{SERVICE}/{path}", json=body, headers=HEADERS
    )
    print(f"\n{method} {path}\n  {read_json(answer)}")
    print(f"  endpoint {answer.headers['x-agatehoist-endpoint']}")


if __name__ == "__main__":
    sys.exit(main())
