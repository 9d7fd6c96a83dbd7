"""KV caches of the stand-ins, which remember the weights that computed each part."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class StaleUse:
    """Record a run that used cache made under another version than its own.

    `source` is "part" for a part in memory, or "copy" for the copy of a moved run.
    """

    request_id: str
    source: str
    made_under: int
    used_on: int


class PartMemory:
    """Hold the weights version under which each part was computed, by salt and id.

    A KV store keeps the first copy of a part; an engine replaces it.
    """

    def __init__(self) -> None:
        self.version_by_part: dict[tuple[str, str], int] = {}

    def fetch(self, source: PartMemory, salt: str, part_ids: list[str]) -> None:
        """Copy the parts that are missing here from another memory."""
        for part_id in part_ids:
            key = (salt, part_id)
            if key in source.version_by_part:
                self.version_by_part.setdefault(key, source.version_by_part[key])

    def read(self, salt: str, part_ids: list[str], version: int) -> set[int]:
        """Compute what is missing; return the versions of the parts that were used.

        A part is used if all parts before it are in memory too.
        """
        used: set[int] = set()
        missing = False
        for part_id in part_ids:
            key = (salt, part_id)
            missing = missing or key not in self.version_by_part
            if missing:
                self.version_by_part[key] = version
            else:
                used.add(self.version_by_part[key])
        return used


@dataclass
class KvNetwork:
    """Connect the caches of engines and KV stores by address, HOST:PORT.

    A receiver takes the copy of a run: its name, HOST:PORT/HANDLE of the source, the
    version that made it, and whether the run was stopped.
    """

    parts_by_address: dict[str, PartMemory] = field(default_factory=dict)
    receivers_by_address: dict[str, Callable[[str, int, bool], Awaitable[None]]] = (
        field(default_factory=dict)
    )
    stale_uses: list[StaleUse] = field(default_factory=list)

    def fetch(
        self, memory: PartMemory, address: str, salt: str, part_ids: list[str]
    ) -> None:
        """Copy the parts that a memory lacks from what has an address."""
        source = self.parts_by_address.get(address)
        if source is not None:
            memory.fetch(source, salt, part_ids)

    def save(
        self, memory: PartMemory, address: str, salt: str, part_ids: list[str]
    ) -> None:
        """Copy the parts of a memory that the KV store with an address lacks."""
        store = self.parts_by_address.get(address)
        if store is not None:
            store.fetch(memory, salt, part_ids)

    def note_use(
        self, request_id: str, source: str, made_under: int, used_on: int
    ) -> None:
        """Record the use of cache if it was made under another version."""
        if made_under != used_on:
            self.stale_uses.append(StaleUse(request_id, source, made_under, used_on))
