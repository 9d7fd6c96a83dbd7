"""YAML text with the place of each value."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import yaml

from agatehoist.settings.errors import Finding, InvalidFileError

MAX_FILE_BYTES = 1024 * 1024
MAX_DEPTH = 32
MAX_PROBLEM_CHARACTERS = 200
TEXT_TAG = "tag:yaml.org,2002:str"

Path = tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class Place:
    """Point into a file; line and column count from one."""

    line: int
    column: int


@dataclass(frozen=True, slots=True)
class Source:
    """Hold the value of a YAML file and the places in it."""

    file: str
    value: Any
    places_by_path: dict[Path, Place]

    def finding(self, path: Path, text: str) -> Finding:
        """Return a finding at the path or at its nearest known parent."""
        while path and path not in self.places_by_path:
            path = path[:-1]
        place = self.places_by_path.get(path, Place(1, 1))
        return Finding(self.file, place.line, place.column, text)


def parse_source(file: str, text: str) -> Source:
    """Parse YAML text.

    Raises InvalidFileError if it is no YAML, too large or repeats a key.
    """
    if len(text) > MAX_FILE_BYTES:
        finding = Finding(file, 1, 1, f"file is over {MAX_FILE_BYTES} bytes")
        raise InvalidFileError((finding,))
    source, findings = _parse(file, text)
    if findings:
        raise InvalidFileError(tuple(findings))
    return source


def _parse(file: str, text: str) -> tuple[Source, list[Finding]]:
    findings: list[Finding] = []
    try:
        loader = _Loader(text)
        node = loader.get_single_node()
        source = Source(file, None, {})
        if node is not None:
            value = loader.construct_document(node)
            source = Source(file, value, {})
            _collect(node, (), source, findings)
    except yaml.MarkedYAMLError as error:
        raise InvalidFileError((_syntax_finding(file, error),)) from error
    except (yaml.YAMLError, ValueError) as error:
        raise InvalidFileError((Finding(file, 1, 1, _short(error)),)) from error
    return source, findings


class _Loader(yaml.SafeLoader):
    """Load YAML without aliases, which multiply, and without deep nesting."""

    def __init__(self, text: str) -> None:
        super().__init__(text)
        self._depth = 0

    def compose_node(self, parent: yaml.Node | None, index: Any) -> yaml.Node | None:
        event = self.peek_event()
        if isinstance(event, yaml.AliasEvent):
            raise _refused("aliases are not taken", event)
        if self._depth == MAX_DEPTH:
            raise _refused(f"nested over {MAX_DEPTH} deep", event)
        self._depth += 1
        node = super().compose_node(parent, index)
        self._depth -= 1
        return node


def _refused(problem: str, event: Any) -> yaml.MarkedYAMLError:
    return yaml.MarkedYAMLError(problem=problem, problem_mark=event.start_mark)


def _short(error: Exception) -> str:
    return str(error)[:MAX_PROBLEM_CHARACTERS]


def _syntax_finding(file: str, error: yaml.MarkedYAMLError) -> Finding:
    mark = error.problem_mark
    text = error.problem or "not YAML"
    if mark is None:
        return Finding(file, 1, 1, text)
    return Finding(file, mark.line + 1, mark.column + 1, text)


def _collect(
    node: yaml.Node, path: Path, source: Source, findings: list[Finding]
) -> None:
    if path in source.places_by_path:
        findings.append(_place_finding(source.file, node, f"key {path[-1]!r} repeated"))
    mark = node.start_mark
    source.places_by_path[path] = Place(mark.line + 1, mark.column + 1)
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.tag != TEXT_TAG:
                findings.append(_place_finding(source.file, key, "key is no text"))
            _collect(value, (*path, str(key.value)), source, findings)
    elif isinstance(node, yaml.SequenceNode):
        for index, value in enumerate(node.value):
            _collect(value, (*path, index), source, findings)


def _place_finding(file: str, node: yaml.Node, text: str) -> Finding:
    mark = node.start_mark
    return Finding(file, mark.line + 1, mark.column + 1, text)
