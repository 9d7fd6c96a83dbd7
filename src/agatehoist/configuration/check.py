"""Validation of configuration files; all findings are reported together."""

from __future__ import annotations

import collections
import dataclasses
import math
import re
from typing import TYPE_CHECKING, Any, TypeVar

from agatehoist.configuration.document import (
    Document,
    FleetDefaults,
    PolicyException,
    Target,
)
from agatehoist.configuration.effective import replace_values
from agatehoist.configuration.encoding import MAX_DOCUMENT_BYTES, document_bytes
from agatehoist.configuration.targets import TARGET_KINDS
from agatehoist.placement.policies import POLICIES
from agatehoist.reports.objectives import OBJECTIVE_KINDS
from agatehoist.settings.convert import conversion_findings, make_converter, yaml_name
from agatehoist.settings.errors import Finding, InvalidFileError
from agatehoist.settings.load import read_source

if TYPE_CHECKING:
    from collections.abc import Iterator

    from agatehoist.settings.source import Path, Source

Converted = TypeVar("Converted")
# The path of an invalid value and what is wrong with it. Source.finding replaces the
# path by a position in the file.
PathFinding = tuple["Path", str]

DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")

_converter = make_converter()


def load_document(file: str) -> Document:
    """Read a configuration file.

    Raises InvalidFileError with every finding.
    """
    source = read_source(file)
    document, findings = check_source(source)
    if document is None:
        raise InvalidFileError(tuple(sorted(set(findings))))
    return document


def check_source(source: Source) -> tuple[Document | None, list[Finding]]:
    """Validate a configuration file and return its document, or None with findings."""
    value = source.value
    if not isinstance(value, dict):
        return None, [source.finding((), "must be a mapping")]
    path_findings = list(_check_keys(value))
    defaults = _convert(
        value.get("defaults"), FleetDefaults, ("defaults",), path_findings
    )
    exceptions = _convert_exceptions(value.get("exceptions", []), path_findings)
    based_on = _convert(value.get("based_on", 0), int, ("based_on",), path_findings)
    if defaults is not None:
        path_findings += _check_defaults(defaults)
        path_findings += _check_exceptions(defaults, exceptions)
    if path_findings or defaults is None:
        return None, [source.finding(path, text) for path, text in path_findings]
    document = Document(defaults, tuple(exceptions.values()), based_on or 0)
    size = document_bytes(document)
    if size > MAX_DOCUMENT_BYTES:
        text = (
            f"takes {size} bytes; the platform stores at most "
            f"{MAX_DOCUMENT_BYTES} bytes"
        )
        return None, [source.finding((), text)]
    return document, []


def _check_keys(value: dict[str, Any]) -> Iterator[PathFinding]:
    known = {yaml_name(field.name) for field in dataclasses.fields(Document)}
    for key in value:
        if key not in known:
            yield (str(key),), f"unknown key {key!r}"
    if "defaults" not in value:
        yield (), "missing key 'defaults'"


def _convert(
    value: Any, target: type[Converted], path: Path, path_findings: list[PathFinding]
) -> Converted | None:
    if value is None:
        return None
    if dataclasses.is_dataclass(target) and not isinstance(value, dict):
        path_findings.append((path, "must be a mapping"))
        return None
    try:
        return _converter.structure(value, target)
    except Exception as error:
        path_findings.extend(
            (path + subpath, text) for subpath, text in conversion_findings(error)
        )
        return None


def _convert_exceptions(
    value: Any, path_findings: list[PathFinding]
) -> dict[int, PolicyException]:
    if not isinstance(value, list):
        path_findings.append((("exceptions",), "must be a list"))
        return {}
    converted: dict[int, PolicyException] = {}
    for index, each in enumerate(value):
        exception = _convert(
            each, PolicyException, ("exceptions", index), path_findings
        )
        if exception is not None:
            converted[index] = exception
    return converted


def _check_defaults(defaults: FleetDefaults) -> Iterator[PathFinding]:
    for name, model in defaults.models_by_name.items():
        yield from _check_model(model, ("defaults", "models", name))
    yield from _check_orders(defaults.orders, ("defaults", "orders"))
    for name, objective in defaults.objectives_by_name.items():
        yield from _check_objective(objective, ("defaults", "objectives", name))
    owners_by_digest: dict[str, str] = {}
    for name, organisation in defaults.organisations_by_name.items():
        path: Path = ("defaults", "organisations", name, "key_digests")
        yield from _check_organisation(organisation, path[:-1])
        for index, digest in enumerate(organisation.key_digests):
            if not DIGEST_PATTERN.fullmatch(digest):
                yield (*path, index), "is not a SHA-256 digest in lower-case hex"
            owner = owners_by_digest.setdefault(digest, name)
            if owner != name:
                yield (*path, index), f"key belongs to organisation {owner!r} too"


def _check_organisation(organisation: Any, path: Path) -> Iterator[PathFinding]:
    for field in ("weight", "requests_per_s", "tokens_per_s"):
        value = getattr(organisation, field)
        if value is not None and not 0 < value < math.inf:
            yield (*path, field), "must be above zero and finite"


def _check_model(model: Any, path: Path) -> Iterator[PathFinding]:
    if model.placement not in POLICIES:
        known = ", ".join(str(name) for name in POLICIES.names())
        text = f"unknown placement policy {model.placement!r}; known: {known}"
        yield (*path, "placement"), text
    if model.context_tokens <= 0:
        yield (*path, "context_tokens"), "must be above zero"
    if not model.weights_version:
        yield (*path, "weights_version"), "must not be empty"
    if not 0 <= model.prefill_share <= 1:
        yield (*path, "prefill_share"), "must be a share from 0 to 1"


def _check_objective(objective: Any, path: Path) -> Iterator[PathFinding]:
    if objective.kind not in OBJECTIVE_KINDS:
        yield (*path, "kind"), f"unknown objective kind {objective.kind!r}"
    if not 0 < objective.target < 1:
        yield (*path, "target"), "must be above 0 and below 1"
    if objective.threshold_s < 0:
        yield (*path, "threshold_s"), "must not be below 0"


def _check_orders(orders: Any, path: Path) -> Iterator[PathFinding]:
    if orders.concurrent_loads < 1:
        yield (*path, "concurrent_loads"), "must be above zero"
    if not 0 <= orders.capacity_floor <= 1:
        yield (*path, "capacity_floor"), "must be a share from 0 to 1"


def _check_exceptions(
    defaults: FleetDefaults, exceptions: dict[int, PolicyException]
) -> Iterator[PathFinding]:
    counts_by_name = collections.Counter(each.name for each in exceptions.values())
    exception_names_by_field: dict[tuple[Target, str], str] = {}
    for index, each in exceptions.items():
        path: Path = ("exceptions", index)
        if counts_by_name[each.name] > 1:
            yield (*path, "name"), f"name {each.name!r} is used twice"
        for field in ("name", "reason", "author"):
            if not getattr(each, field).strip():
                yield (*path, field), "must not be empty"
        yield from _check_target(defaults, each, path)
        for field in each.values_by_field:
            earlier_name = exception_names_by_field.get((each.target, field))
            exception_names_by_field[each.target, field] = each.name
            if earlier_name is not None:
                text = f"exception {earlier_name!r} sets {field!r} of {each.target} too"
                yield (*path, "values", field), text


def _check_target(
    defaults: FleetDefaults, exception: PolicyException, path: Path
) -> Iterator[PathFinding]:
    target = exception.target
    if target.kind not in TARGET_KINDS:
        known = ", ".join(str(name) for name in TARGET_KINDS.names())
        yield (*path, "target", "kind"), f"unknown kind; known: {known}"
        return
    entry = TARGET_KINDS[target.kind].find(defaults, target.name)
    if entry is None:
        yield (*path, "target", "name"), f"unknown {target.kind} {target.name!r}"
        return
    if not exception.values_by_field:
        yield (*path, "values"), "must not be empty"
    try:
        changed = replace_values(entry, exception.values_by_field)
    except Exception as error:
        for subpath, text in conversion_findings(error):
            yield (*path, "values", *subpath), text
        return
    if target.kind == "model":
        yield from _check_model(changed, (*path, "values"))
    if target.kind == "organisation":
        yield from _check_organisation(changed, (*path, "values"))
