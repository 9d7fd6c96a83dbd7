"""Checks for entries that never match, or of which only one counts."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from agatehoist.preview.types import CHECKS, Place, PlacedFinding, Section, Severity

if TYPE_CHECKING:
    from collections.abc import Iterator

    from agatehoist.preview.types import Draft
    from agatehoist.routing.types import Route


@CHECKS.register("repeated names")
def find_repeated_names(draft: Draft) -> Iterator[PlacedFinding]:
    """Yield an error for each name that several entries of a section have."""
    names_by_section = {
        Section.ROUTES: [each.name for each in draft.routes],
        Section.SERVICES: [each.name for each in draft.services],
        Section.ORGANISATIONS: [each.organisation.name for each in draft.key_holders],
    }
    for section, names in names_by_section.items():
        for name, count in collections.Counter(names).items():
            if count > 1:
                text = f"{count} entries have this name"
                yield PlacedFinding(Severity.ERROR, Place(section, name), text)


@CHECKS.register("hidden routes")
def find_hidden_routes(draft: Draft) -> Iterator[PlacedFinding]:
    """Yield a warning for each route whose host and prefix an earlier one has."""
    earlier: dict[tuple[str, str], Route] = {}
    for route in draft.routes:
        first = earlier.setdefault((route.host, route.path_prefix), route)
        if first is not route:
            text = f"never matches: route {first.name!r} has this host and prefix"
            place = Place(Section.ROUTES, route.name, "path_prefix")
            yield PlacedFinding(Severity.WARNING, place, text)


@CHECKS.register("traffic splits")
def find_empty_splits(draft: Draft) -> Iterator[PlacedFinding]:
    """Yield what is wrong with the services and weights of each route."""
    for route in draft.routes:
        place = Place(Section.ROUTES, route.name, "services")
        if not route.services:
            text = "empty: all requests of the route are refused"
            yield PlacedFinding(Severity.ERROR, place, text)
        elif not any(each.weight for each in route.services):
            text = "all weights are 0: the last service gets all requests"
            yield PlacedFinding(Severity.ERROR, place, text)
        else:
            for each in route.services:
                if not each.weight:
                    text = f"service {each.service!r} has the weight 0"
                    yield PlacedFinding(Severity.WARNING, place, text)


@CHECKS.register("unlisted services")
def find_unlisted_services(draft: Draft) -> Iterator[PlacedFinding]:
    """Yield a warning for each service of a route that isn't listed.

    Gateways call endpoints of such a service, but without engine figures.
    """
    for route in draft.routes:
        for each in route.services:
            if each.service not in draft.table.services_by_name:
                place = Place(Section.ROUTES, route.name, "services")
                text = f"service {each.service!r} isn't listed"
                yield PlacedFinding(Severity.WARNING, place, text)


@CHECKS.register("unused services")
def find_unused_services(draft: Draft) -> Iterator[PlacedFinding]:
    """Yield a warning for each service that no route names."""
    used = {each.service for route in draft.routes for each in route.services}
    for service in draft.services:
        if service.name not in used:
            place = Place(Section.SERVICES, service.name)
            yield PlacedFinding(Severity.WARNING, place, "no route names it")


@CHECKS.register("shared keys")
def find_shared_keys(draft: Draft) -> Iterator[PlacedFinding]:
    """Yield an error for each key that an earlier organisation holds; no key is shown.

    Gateways take the caller for the last organisation that lists the key.
    """
    first_by_key: dict[bytes, str] = {}
    for holder in draft.key_holders:
        name = holder.organisation.name
        for index, key in enumerate(holder.keys):
            first = first_by_key.setdefault(key, name)
            if first != name:
                place = Place(Section.ORGANISATIONS, name, "keys", index)
                text = f"organisation {first!r} holds this key too"
                yield PlacedFinding(Severity.ERROR, place, text)
