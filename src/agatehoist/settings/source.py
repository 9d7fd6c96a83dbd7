"""Parsed YAML with the position of each value in the file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import yaml

from agatehoist.core.yaml_text import MAX_CHARACTERS, BoundedLoader, marked_error
from agatehoist.settings.errors import Finding, InvalidFileError

MAX_PROBLEM_CHARACTERS = 200
STRING_TAG = "tag:yaml.org,2002:str"

# Keys and list indexes that lead from the root of a document to a value.
Path = tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class Position:
    """Hold a position in a file; line and column are counted from 1."""

    line: int
    column: int


@dataclass(frozen=True, slots=True)
class Source:
    """Hold the value of a YAML file and the positions of its parts."""

    file: str
    value: Any
    positions_by_path: dict[Path, Position]

    def finding(self, path: Path, text: str) -> Finding:
        """Return a finding at the path or its nearest parent with a known position."""
        while path and path not in self.positions_by_path:
            path = path[:-1]
        position = self.positions_by_path.get(path, Position(1, 1))
        return Finding(self.file, position.line, position.column, text)


def parse_source(file: str, text: str) -> Source:
    """Parse YAML text.

    Raises InvalidFileError if it isn't valid YAML, is too large or repeats a key.
    """
    if len(text) > MAX_CHARACTERS:
        finding = Finding(file, 1, 1, f"file is over {MAX_CHARACTERS} characters")
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
            _collect_positions(node, (), source, findings)
    except yaml.MarkedYAMLError as error:
        raise InvalidFileError((_syntax_finding(file, error),)) from error
    except (yaml.YAMLError, ValueError, OverflowError) as error:
        raise InvalidFileError((Finding(file, 1, 1, _short_text(error)),)) from error
    return source, findings


class _Loader(BoundedLoader):
    """Reject aliases, which can expand without bound."""

    def compose_node(self, parent: yaml.Node | None, index: Any) -> yaml.Node | None:
        event = self.peek_event()
        if isinstance(event, yaml.AliasEvent):
            raise marked_error("aliases are not allowed", event)
        return super().compose_node(parent, index)


def _short_text(error: Exception) -> str:
    return str(error)[:MAX_PROBLEM_CHARACTERS]


def _syntax_finding(file: str, error: yaml.MarkedYAMLError) -> Finding:
    mark = error.problem_mark
    text = error.problem or "not YAML"
    if mark is None:
        return Finding(file, 1, 1, text)
    return Finding(file, mark.line + 1, mark.column + 1, text)


def _collect_positions(
    node: yaml.Node, path: Path, source: Source, findings: list[Finding]
) -> None:
    if path in source.positions_by_path:
        findings.append(_node_finding(source.file, node, f"key {path[-1]!r} repeated"))
    mark = node.start_mark
    source.positions_by_path[path] = Position(mark.line + 1, mark.column + 1)
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.tag != STRING_TAG:
                findings.append(_node_finding(source.file, key, "key is not a string"))
            _collect_positions(value, (*path, str(key.value)), source, findings)
    elif isinstance(node, yaml.SequenceNode):
        for index, value in enumerate(node.value):
            _collect_positions(value, (*path, index), source, findings)


def _node_finding(file: str, node: yaml.Node, text: str) -> Finding:
    mark = node.start_mark
    return Finding(file, mark.line + 1, mark.column + 1, text)
