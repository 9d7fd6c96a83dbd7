"""The configuration of a small deployment."""

from __future__ import annotations

from typing import Any

MODEL = "m-songs"
SONGS, ARCHIVE = "songs", "archive"
HOST = "a.example"


def _route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 1000,
        "TargetLatencyMs": 150,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 1,
        "Public": True,
        "Sticky": False,
        "Resumable": False,
        "TargetGapMs": 300,
        **fields,
    }


def configuration(models: tuple[str, ...] = (MODEL,)) -> dict[str, Any]:
    """Return a configuration with a route of each kind."""
    streams = {"TargetLatencyMs": 600, "Sticky": True}
    trace = {**streams, "TimeoutMs": 15000, "MaxAttempts": 2, "Resumable": True}
    return {
        "Version": 1,
        "Routes": [
            _route("credit", "stream", SONGS, **streams, TimeoutMs=6000),
            _route("trace", "stream", SONGS, **trace),
            _route("post", "non_idempotent", ARCHIVE),
            _route("look", "idempotent", ARCHIVE, MaxAttempts=2),
        ],
        "Services": [
            {
                "Name": SONGS,
                "Engine": {
                    "Slots": 64,
                    "KvCapacity": 104_000,
                    "Moves": True,
                    "Models": [{"Name": each} for each in models],
                },
            },
            {"Name": ARCHIVE},
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 5000,
            "IdleTimeoutMs": 10000,
        },
    }
