"""Loading of validated YAML files into frozen data classes."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

from agatehoist.settings.convert import conversion_findings, make_converter
from agatehoist.settings.errors import Finding, InvalidFileError
from agatehoist.settings.source import parse_source

if TYPE_CHECKING:
    from agatehoist.settings.source import Source

Target = TypeVar("Target")

_converter = make_converter()


def load_file(file: str, target: type[Target]) -> Target:
    """Read a YAML file and convert it to the target class.

    Raises InvalidFileError with every finding.
    """
    return convert_source(read_source(file), target)


def read_source(file: str) -> Source:
    """Read and parse a YAML file.

    Raises InvalidFileError with every finding.
    """
    try:
        text = Path(file).read_text(encoding="utf-8")
    except OSError as error:
        finding = Finding(file, 1, 1, f"can't be read: {error.strerror}")
        raise InvalidFileError((finding,)) from error
    except UnicodeDecodeError as error:
        raise InvalidFileError((Finding(file, 1, 1, "is not UTF-8 text"),)) from error
    return parse_source(file, text)


def convert_source(source: Source, target: type[Target]) -> Target:
    """Convert parsed YAML to the target class.

    Raises InvalidFileError with every finding.
    """
    if not isinstance(source.value, dict):
        raise InvalidFileError((source.finding((), "must be a mapping"),))
    try:
        return _converter.structure(source.value, target)
    except Exception as error:
        findings = [
            source.finding(path, text) for path, text in conversion_findings(error)
        ]
        raise InvalidFileError(tuple(sorted(findings))) from error
