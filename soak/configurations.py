"""Configurations that the soak puts in force one after the other."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from agatehoist.core.registry import Registry
from standins.users_platform.harness import (
    APPLICATION,
    ENGINES,
    MODEL,
    configuration,
    route,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

# Models that all engines have; requests are for the first one.
MODELS = (MODEL, "letters")
# Routes that all configurations have, and those that some have.
ROUTES = ("look", "find", "post", "trace", "credit")
PASSING_ROUTES = ("errand", "tale")
GET_ROUTES = frozenset({"look", "find", "overuse"})
STREAMED_ROUTES = frozenset({"trace", "credit", "tale"})
# Requests on these routes must run at most once.
AT_MOST_ONCE_ROUTES = frozenset({"post", "credit"})
ROUTE_TIMEOUT_MS = 6000
# Longer than the grace, so that long streams last to its end.
STREAM_TIMEOUT_MS = 15_000
# An organisation that some configurations don't have.
GUESTS = "guests"
GUESTS_KEY = "key-of-the-guests"
# An organisation that sends far more than its allotment, on a route of its own.
OVERUSER = "overuser"
OVERUSER_KEY = "key-of-the-overuser"
OVERUSER_ROUTE = "overuse"
OVERUSER_RATE_PER_S, OVERUSER_BURST = 20.0, 10.0

# Each changes a configuration in place.
CONFIGURATION_CHANGES: Registry[Callable[[dict[str, Any], random.Random], None]] = (
    Registry("change of the configuration")
)


def sound_configuration(version: int) -> dict[str, Any]:
    """Return a configuration with a path prefix of its own for the lookup route."""
    document = configuration(version, MODELS)
    document["Routes"][0]["PathPrefix"] = f"/look-{version}/"
    # A route whose path stays the same.
    document["Routes"].append(route("find", "idempotent", APPLICATION))
    document["Routes"].append(route(OVERUSER_ROUTE, "idempotent", APPLICATION))
    document["Tenants"].append(
        {
            "Name": OVERUSER,
            "ApiKeys": [OVERUSER_KEY],
            "RatePerS": OVERUSER_RATE_PER_S,
            "Burst": OVERUSER_BURST,
        }
    )
    _set_timeouts(document, ROUTE_TIMEOUT_MS, STREAM_TIMEOUT_MS)
    return document


def _set_timeouts(
    document: dict[str, Any], timeout_ms: int, stream_timeout_ms: int
) -> None:
    for each in document["Routes"]:
        is_stream = each["Name"] in STREAMED_ROUTES
        each["TimeoutMs"] = stream_timeout_ms if is_stream else timeout_ms


def changed_configuration(version: int, rng: random.Random) -> dict[str, Any]:
    """Return a configuration with some changes, each of which requests may meet."""
    document = sound_configuration(version)
    names = tuple(CONFIGURATION_CHANGES)
    for name in rng.sample(names, rng.randint(1, len(names))):
        CONFIGURATION_CHANGES[name](document, rng)
    return document


@CONFIGURATION_CHANGES.register("timeouts")
def _change_timeouts(document: dict[str, Any], rng: random.Random) -> None:
    _set_timeouts(
        document, rng.choice((4000, 5000, 8000)), rng.choice((10_000, 12_000, 20_000))
    )


@CONFIGURATION_CHANGES.register("limits")
def _change_limits(document: dict[str, Any], rng: random.Random) -> None:
    # All of them are above what the callers send.
    document["Limits"] = {
        "MaxHeaderBytes": rng.choice((2048, 4096)),
        "MaxBodyBytes": rng.choice((1024, 65536)),
        "HeaderTimeoutMs": rng.choice((300, 500)),
        "IdleTimeoutMs": rng.choice((200, 500, 1000, 3000)),
    }


@CONFIGURATION_CHANGES.register("tenants")
def _add_guests(document: dict[str, Any], rng: random.Random) -> None:
    guests = {"Name": GUESTS, "ApiKeys": [GUESTS_KEY], "Isolated": rng.random() < 0.5}
    document["Tenants"].append(guests)


@CONFIGURATION_CHANGES.register("routes")
def _add_routes(document: dict[str, Any], rng: random.Random) -> None:
    kind = rng.choice(("idempotent", "non_idempotent"))
    document["Routes"] += [
        route("errand", kind, APPLICATION, TimeoutMs=ROUTE_TIMEOUT_MS),
        route(
            "tale",
            "stream",
            ENGINES,
            TimeoutMs=STREAM_TIMEOUT_MS,
            Resumable=rng.random() < 0.5,
            MaxAttempts=rng.randint(1, 2),
        ),
    ]
