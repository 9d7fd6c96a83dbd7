"""Text of findings and differences, in the names and units of the configuration."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any

from agatehoist.configuration.diff import compare_values
from agatehoist.core.units import MS_PER_S
from agatehoist.preview.review import lowered_allotments
from agatehoist.preview.types import Section

if TYPE_CHECKING:
    from collections.abc import Iterator

    from agatehoist.preview.types import Draft, Place, PlacedFinding
    from agatehoist.routing.types import Organisation, Route, Service

SECTION_NAMES = {
    Section.ROUTES: "Routes",
    Section.SERVICES: "Services",
    Section.ORGANISATIONS: "Tenants",
    Section.LIMITS: "Limits",
    Section.VERSION: "Version",
}
ROUTE_NAMES = {
    "host": "Host",
    "path_prefix": "PathPrefix",
    "kind": "Kind",
    "timeout_s": "TimeoutMs",
    "objective_s": "TargetLatencyMs",
    "gap_objective_s": "TargetGapMs",
    "priority": "Priority",
    "max_runs": "MaxAttempts",
    "public": "Public",
    "sticky": "Sticky",
    "resumable": "Resumable",
}
ENGINE_NAMES = {
    "models": "Engine.Models",
    "move_runs": "Engine.Moves",
    "memory_tokens": "Engine.KvCapacity",
    "link_mbps": "Engine.LinkMbps",
    "slots": "Engine.Slots",
    "stride": "Engine.Stride",
    "token_bytes": "Engine.KvTokenBytes",
}
ORGANISATION_NAMES = {"priority": "Priority", "isolated": "Isolated"}
ALLOTMENT_NAMES = {
    "rate_per_s": "RatePerS",
    "burst": "Burst",
    "unit": "Unit",
    "uncounted_tokens": "UncachedTokens",
}
LIMIT_NAMES = {
    "max_header_bytes": "MaxHeaderBytes",
    "max_body_bytes": "MaxBodyBytes",
    "header_timeout_s": "HeaderTimeoutMs",
    "idle_timeout_s": "IdleTimeoutMs",
}
SPLIT_NAME = "TrafficSplit"
KEYS_NAME = "ApiKeys"
NAMES_BY_SECTION = {
    Section.ROUTES: {**ROUTE_NAMES, "services": SPLIT_NAME},
    Section.SERVICES: ENGINE_NAMES,
    Section.ORGANISATIONS: {
        **ORGANISATION_NAMES,
        **ALLOTMENT_NAMES,
        "keys": KEYS_NAME,
    },
    Section.LIMITS: LIMIT_NAMES,
}
# Tells keys apart in a difference without showing them.
KEY_DIGEST_CHARACTERS = 8
# Hides the error of the conversion from milliseconds to seconds and back.
TIME_DIGITS = 6
LOWERED_TEXT = (
    "lowered: binding one QuotaWindowS (8 s unless set) after all gateways have known "
    "it for ConfigApplyMs (3 s unless set) past its acknowledgement"
)


def finding_text(finding: PlacedFinding) -> str:
    """Return the line that shows a finding."""
    return f"{finding.severity}: {_place_text(finding.place)}: {finding.detail}"


def difference_lines(before: Draft, after: Draft) -> Iterator[str]:
    """Yield a line for each difference and for each lowered allotment."""
    for each in compare_values("", _draft_value(before), _draft_value(after)):
        yield str(each)
    for name in lowered_allotments(before, after):
        yield f"note: {SECTION_NAMES[Section.ORGANISATIONS]}.{name}: {LOWERED_TEXT}"


def _place_text(place: Place) -> str:
    field = NAMES_BY_SECTION[place.section][place.field] if place.field else ""
    parts = (SECTION_NAMES[place.section], place.name, field)
    index = "" if place.index is None else f"[{place.index}]"
    return ".".join(each for each in parts if each) + index


def _draft_value(draft: Draft) -> dict[str, Any]:
    value: dict[str, Any] = {
        "Version": draft.table.version,
        "Routes": {each.name: _route_value(each) for each in draft.routes},
        "Services": {each.name: _service_value(each) for each in draft.services},
        "KvStoreAddr": {
            each.address: {"Zone": each.data_centre, "LinkMbps": each.link_mbps}
            for each in draft.table.kv_stores
        },
        "Limits": _fields(draft.table.limits, LIMIT_NAMES),
    }
    # An empty list isn't the same as none: with it all callers need a key.
    if draft.table.keys_required:
        value["Tenants"] = {
            each.organisation.name: {
                **_organisation_value(each.organisation),
                KEYS_NAME: sorted(map(_key_digest, each.keys)),
            }
            for each in draft.key_holders
        }
    return value


def _route_value(route: Route) -> dict[str, Any]:
    # A list, as a service may be in the split more than once.
    split = [f"{each.service} {each.weight:.15g}" for each in route.services]
    return {**_fields(route, ROUTE_NAMES), SPLIT_NAME: split}


def _service_value(service: Service) -> dict[str, Any]:
    return _fields(service.engines, ENGINE_NAMES) if service.engines else {}


def _organisation_value(organisation: Organisation) -> dict[str, Any]:
    value = _fields(organisation, ORGANISATION_NAMES)
    if organisation.allotment is not None:
        value |= _fields(organisation.allotment, ALLOTMENT_NAMES)
    return value


def _fields(entry: object, names: dict[str, str]) -> dict[str, Any]:
    value = {name: getattr(entry, field) for field, name in names.items()}
    # Times are in seconds in the program and in milliseconds in the configuration.
    return {
        name: round(each * MS_PER_S, TIME_DIGITS) if name.endswith("Ms") else each
        for name, each in value.items()
    }


def _key_digest(key: bytes) -> str:
    return hashlib.sha256(key).hexdigest()[:KEY_DIGEST_CHARACTERS]
