"""Size limits and strict type checks for decoded messages."""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING, Any, TypeVar

from cattrs.preconf.msgpack import make_converter as make_msgpack_converter

if TYPE_CHECKING:
    from cattrs import Converter

# The unpacker allocates memory for as many items as an array header declares.
MAX_ARRAY_ITEMS = 4096
MAX_FRAME_ITEMS = 65536

Container = TypeVar("Container", list[Any], dict[Any, Any])


class ItemCount:
    """Count the items of a frame, up to a limit."""

    def __init__(self) -> None:
        self._count = 0

    def reset(self) -> None:
        """Start a new frame."""
        self._count = 0

    def add(self, container: Container) -> Container:
        """Count the items of a container and return it.

        Raises ValueError if the frame has too many.
        """
        self._count += 1 + len(container)
        if self._count > MAX_FRAME_ITEMS:
            raise ValueError(f"frame has more than {MAX_FRAME_ITEMS} items")
        return container


def make_converter() -> Converter:
    """Return a converter that rejects strings for numbers and numbers for strings."""
    converter = make_msgpack_converter()
    for exact_type in (bool, int, str, bytes):
        converter.register_structure_hook(exact_type, _structure_exact)
    converter.register_structure_hook(float, _structure_finite)
    return converter


def _structure_exact(value: Any, target: type) -> Any:
    if issubclass(target, enum.Enum):
        return target(value)
    if type(value) is not target:
        raise TypeError(f"expected {target.__name__}, not {type(value).__name__}")
    return value


def _structure_finite(value: Any, _target: type) -> float:
    if type(value) not in (int, float) or not math.isfinite(value):
        raise TypeError("value is not a finite number")
    return float(value)
