"""Reading of YAML that other programs have written."""

from __future__ import annotations

from typing import Any

import yaml

from agatehoist.errors import InvalidInputError

MAX_CHARACTERS = 1024 * 1024
MAX_DEPTH = 32


class InvalidYamlError(InvalidInputError):
    """Report text that isn't YAML, is too long or nested too deep."""


class BoundedLoader(yaml.SafeLoader):
    """Reject deep nesting."""

    def __init__(self, text: str) -> None:
        super().__init__(text)
        self._depth = 0

    def compose_node(self, parent: yaml.Node | None, index: Any) -> yaml.Node | None:
        """Return the next node of the document."""
        if self._depth == MAX_DEPTH:
            raise marked_error(
                f"nested more than {MAX_DEPTH} levels deep", self.peek_event()
            )
        self._depth += 1
        node = super().compose_node(parent, index)
        self._depth -= 1
        return node


def read_yaml(text: str) -> Any:
    """Return the value of YAML text.

    Raises InvalidYamlError.
    """
    if len(text) > MAX_CHARACTERS:
        raise InvalidYamlError(f"over {MAX_CHARACTERS} characters")
    try:
        return yaml.load(text, BoundedLoader)  # noqa: S506
    except (yaml.YAMLError, ValueError, OverflowError) as error:
        raise InvalidYamlError(f"invalid YAML: {error}") from error


def marked_error(problem: str, event: Any) -> yaml.MarkedYAMLError:
    """Return an error at the position of an event of the parser."""
    return yaml.MarkedYAMLError(problem=problem, problem_mark=event.start_mark)
