"""Loading of a checked YAML file into a frozen data class."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

from agatehoist.settings.convert import conversion_faults, make_converter
from agatehoist.settings.errors import Finding, InvalidFileError
from agatehoist.settings.source import parse_source

if TYPE_CHECKING:
    from agatehoist.settings.source import Source

Target = TypeVar("Target")

_converter = make_converter()


def load_file(file: str, target: type[Target]) -> Target:
    """Read the file as the target.

    Raises InvalidFileError with every finding.
    """
    return convert_source(read_source(file), target)


def read_source(file: str) -> Source:
    """Read and parse a file.

    Raises InvalidFileError with every finding.
    """
    try:
        text = Path(file).read_text(encoding="utf-8")
    except OSError as error:
        finding = Finding(file, 1, 1, f"can't be read: {error.strerror}")
        raise InvalidFileError((finding,)) from error
    except UnicodeDecodeError as error:
        raise InvalidFileError((Finding(file, 1, 1, "is no UTF-8"),)) from error
    return parse_source(file, text)


def convert_source(source: Source, target: type[Target]) -> Target:
    """Convert parsed YAML to the target.

    Raises InvalidFileError with every finding.
    """
    if not isinstance(source.value, dict):
        raise InvalidFileError((source.finding((), "must be a mapping"),))
    try:
        return _converter.structure(source.value, target)
    except Exception as error:
        found = [source.finding(path, text) for path, text in conversion_faults(error)]
        raise InvalidFileError(tuple(sorted(found))) from error
