"""Registries that decorators fill."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

from agatehoist.errors import UnknownNameError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

Entry = TypeVar("Entry")


class Registry(Generic[Entry]):
    """Map names to the entries that a decorator registered under them."""

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._by_name: dict[object, Entry] = {}

    def register(self, name: object) -> Callable[[Entry], Entry]:
        """Return a decorator that registers its argument under the name.

        Raises ValueError if the name is registered already.
        """

        def decorate(entry: Entry) -> Entry:
            if name in self._by_name:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self._by_name[name] = entry
            return entry

        return decorate

    def __getitem__(self, name: object) -> Entry:
        try:
            return self._by_name[name]
        except KeyError:
            raise UnknownNameError(self.kind, name, self.names()) from None

    def __contains__(self, name: object) -> bool:
        return name in self._by_name

    def __iter__(self) -> Iterator[object]:
        return iter(self._by_name)

    def names(self) -> tuple[object, ...]:
        """Return the registered names in the order of registration."""
        return tuple(self._by_name)
