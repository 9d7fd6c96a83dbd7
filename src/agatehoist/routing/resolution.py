"""Resolution of the route, the organisation and the deadline of a request."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from agatehoist.refusals.kinds import MissingKey, NoEndpoint, UnknownKey, UnknownRoute
from agatehoist.routing.types import RoutedRequest

if TYPE_CHECKING:
    from agatehoist.routing.types import (
        Envelope,
        Organisation,
        Route,
        RoutingTable,
    )

HASH_BYTES = 8


def resolve(table: RoutingTable, envelope: Envelope) -> RoutedRequest:
    """Return the request with its route, service, organisation and deadline.

    Raises RequestRefusedError.
    """
    route = find_route(table, envelope.host, envelope.path)
    if route is None:
        raise UnknownRoute.refuse(
            f"no route for host {envelope.host!r} and path {envelope.path!r}"
        )
    organisation = _authenticate(table, route, envelope)
    deadline = envelope.received_at + route.timeout_s
    if envelope.caller_deadline is not None:
        deadline = min(deadline, envelope.caller_deadline)
    service = pick_service(route, envelope)
    return RoutedRequest(
        envelope, route, service, organisation, deadline, table.version
    )


def find_route(table: RoutingTable, host: str, path: str) -> Route | None:
    """Return the route of the host with the longest prefix of the path."""
    routes = table.routes_by_host.get(host, ())
    matching = [each for each in routes if path.startswith(each.path_prefix)]
    return max(matching, key=lambda each: len(each.path_prefix), default=None)


def pick_service(route: Route, envelope: Envelope) -> str:
    """Return a service of the route, chosen by weight and a hash of the request id.

    On a sticky route the hash is that of the shared prompt, if there is one, so that
    all requests with this prompt get the same service.

    Raises RequestRefusedError if the route has no service.
    """
    if not route.services:
        raise NoEndpoint.refuse(f"route {route.name!r} has no service")
    if len(route.services) == 1:
        return route.services[0].service
    total = sum(each.weight for each in route.services)
    point = _hash_to_fraction(_selection_key(route, envelope)) * total
    for each in route.services:
        point -= each.weight
        if point < 0:
            return each.service
    return route.services[-1].service


def _authenticate(
    table: RoutingTable, route: Route, envelope: Envelope
) -> Organisation | None:
    if not table.keys_required:
        return None
    if route.public:
        return None
    if len(envelope.keys) != 1:
        raise MissingKey.refuse(
            f"the request carries {len(envelope.keys)} API keys instead of one"
        )
    organisation = table.organisations_by_key.get(envelope.keys[0])
    if organisation is None:
        raise UnknownKey.refuse(
            f"no organisation has the key in configuration version {table.version}"
        )
    return organisation


def _selection_key(route: Route, envelope: Envelope) -> str:
    prompt = envelope.prompt
    if route.sticky and prompt is not None and prompt.shared_parts:
        return prompt.shared_parts[-1].part_id
    return envelope.request_id


def _hash_to_fraction(key: str) -> float:
    digest = hashlib.blake2b(key.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big") / float(1 << (8 * HASH_BYTES))
