"""YAML text with the place of each value."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import yaml

from agatehoist.settings.errors import Finding, InvalidFileError

MAX_FILE_BYTES = 1024 * 1024

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
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        value = yaml.safe_load(text)
    except yaml.MarkedYAMLError as error:
        raise InvalidFileError((_syntax_finding(file, error),)) from error
    except yaml.YAMLError as error:
        raise InvalidFileError((Finding(file, 1, 1, str(error)),)) from error
    source = Source(file, value, {})
    repeated: list[Finding] = []
    if node is not None:
        _collect(node, (), source, repeated)
    if repeated:
        raise InvalidFileError(tuple(repeated))
    return source


def _syntax_finding(file: str, error: yaml.MarkedYAMLError) -> Finding:
    mark = error.problem_mark
    text = error.problem or "not YAML"
    if mark is None:
        return Finding(file, 1, 1, text)
    return Finding(file, mark.line + 1, mark.column + 1, text)


def _collect(
    node: yaml.Node, path: Path, source: Source, repeated: list[Finding]
) -> None:
    if path in source.places_by_path:
        repeated.append(_place_finding(source.file, node, f"key {path[-1]!r} repeated"))
    mark = node.start_mark
    source.places_by_path[path] = Place(mark.line + 1, mark.column + 1)
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            _collect(value, (*path, str(key.value)), source, repeated)
    elif isinstance(node, yaml.SequenceNode):
        for index, value in enumerate(node.value):
            _collect(value, (*path, index), source, repeated)


def _place_finding(file: str, node: yaml.Node, text: str) -> Finding:
    mark = node.start_mark
    return Finding(file, mark.line + 1, mark.column + 1, text)
