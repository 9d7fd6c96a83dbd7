"""Conversion of the content of stored objects."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import cattrs

from agatehoist.storage.errors import UnreadableObjectError

if TYPE_CHECKING:
    from agatehoist.storage.types import StoredObject

Content = TypeVar("Content")
MAX_REASON_CHARACTERS = 200


def read_content(
    found: StoredObject, target: type[Content], converter: Any = cattrs
) -> Content:
    """Return the content of a stored object as an instance of the target class.

    Raises UnreadableObjectError.
    """
    try:
        content: Content = converter.structure(found.value, target)
    except Exception as error:
        reason = f"{error!r}"[:MAX_REASON_CHARACTERS]
        raise UnreadableObjectError(
            f"{found.kind}/{found.name:.80} can't be read: {reason}"
        ) from error
    return content
