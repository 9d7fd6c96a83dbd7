"""Limit on the bytes of all bodies that a process holds."""

from __future__ import annotations

from collections import Counter
from contextlib import contextmanager
from typing import TYPE_CHECKING

from agatehoist.core.clock import ManualClock
from agatehoist.errors import AgatehoistError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from agatehoist.core.clock import Clock

# An idle time of zero must not hide how much a buffer holds.
MIN_IDLE_S = 0.01


class ByteBudgetExceededError(AgatehoistError):
    """Report that a buffer would exceed the budget."""


class ByteBudget:
    """Limit the total size of the buffers that are counted against the budget.

    If a buffer doesn't fit, others may be evicted for it: of the group that holds most,
    the one that has been large and without progress for longest. Buffers of at most
    `small_bytes` always fit. Without a clock, idle times don't count.

    If more than `max_open` buffers can be evicted, one is: of the group that has most
    of them, the one that has cost most work for its data over its time.
    """

    def __init__(
        self,
        limit_bytes: int,
        small_bytes: int = 0,
        clock: Clock | None = None,
        max_open: int | None = None,
    ) -> None:
        self.limit_bytes = limit_bytes
        self._max_open = max_open
        self.small_bytes = small_bytes
        self.held_bytes = 0
        self._clock = clock or ManualClock()
        self._buffers: set[BufferUsage] = set()

    def open_buffer(
        self, group: str = "", evict: Callable[[], None] | None = None
    ) -> BufferUsage:
        """Return the usage of a new buffer; without `evict` it is never evicted."""
        usage = BufferUsage(self, group, evict)
        self._buffers.add(usage)
        if self._max_open is not None:
            self._close_most_costly(self._max_open)
        return usage

    @contextmanager
    def track_buffer(
        self, group: str = "", evict: Callable[[], None] | None = None
    ) -> Iterator[BufferUsage]:
        """Yield the usage of a new buffer; its bytes return to the budget on exit."""
        usage = self.open_buffer(group, evict)
        try:
            yield usage
        finally:
            usage.close()

    def now(self) -> float:
        """Return the current epoch time in seconds."""
        return self._clock.now()

    def make_room(self, usage: BufferUsage, count: int) -> None:
        """Evict buffers until a buffer can grow.

        Raises ByteBudgetExceededError if it is the one to be evicted.
        """
        if usage.held_bytes + count <= self.small_bytes:
            return
        while self.held_bytes + count > self.limit_bytes:
            victim = self._choose_victim(usage)
            if victim is usage:
                raise ByteBudgetExceededError(
                    f"buffered data would exceed {self.limit_bytes} bytes"
                )
            victim.evict()

    def forget(self, usage: BufferUsage) -> None:
        """Stop counting a buffer."""
        self._buffers.discard(usage)

    def _close_most_costly(self, max_open: int) -> None:
        evictable = [each for each in self._buffers if each.is_evictable]
        if len(evictable) <= max_open:
            return
        count_by_group = Counter(each.group for each in evictable)
        largest = max(count_by_group.values())
        now = self.now()
        max(
            (each for each in evictable if count_by_group[each.group] == largest),
            key=lambda each: each.work_per_byte * max(MIN_IDLE_S, now - each.opened_at),
        ).evict()

    def _choose_victim(self, usage: BufferUsage) -> BufferUsage:
        now = self.now()
        large = [
            each
            for each in self._buffers
            if each.is_evictable and each.held_bytes > self.small_bytes
        ]
        candidates = [*(each for each in large if each is not usage), usage]
        # A body of unknown length may have no end.
        unbounded = [each for each in candidates if not each.is_bounded]
        candidates = unbounded or candidates
        bytes_by_group = self._bytes_by_group(self._buffers)
        largest = max(candidates, key=lambda each: bytes_by_group.get(each.group, 0))
        return max(
            (each for each in candidates if each.group == largest.group),
            key=lambda each: each.held_bytes * max(MIN_IDLE_S, now - each.progress_at),
        )

    @staticmethod
    def _bytes_by_group(buffers: Iterable[BufferUsage]) -> dict[str, int]:
        bytes_by_group: dict[str, int] = {}
        for each in buffers:
            held_bytes = bytes_by_group.get(each.group, 0) + each.held_bytes
            bytes_by_group[each.group] = held_bytes
        return bytes_by_group


class BufferUsage:
    """Count the bytes of one buffer against a budget.

    `is_bounded` is set if the length of what is buffered is known.
    """

    def __init__(
        self, budget: ByteBudget, group: str, evict: Callable[[], None] | None
    ) -> None:
        self.group = group
        self.held_bytes = 0
        # Bytes that were processed but aren't held, as those of chunk sizes.
        self.framing_bytes = 0
        self.opened_at = budget.now()
        self.progress_at = 0.0
        self.is_bounded = False
        self.is_evicted = False
        self._budget = budget
        self._evict = evict
        self._is_closed = False

    @property
    def is_evictable(self) -> bool:
        """Return whether the buffer may be evicted for another one."""
        return self._evict is not None

    @property
    def work_per_byte(self) -> float:
        """Return how many bytes were processed for each that is held."""
        return 1 + self.framing_bytes / max(1, self.held_bytes)

    def now(self) -> float:
        """Return the current epoch time in seconds."""
        return self._budget.now()

    def add_bytes(self, count: int) -> None:
        """Count bytes that are added to the buffer, unless it has been closed.

        Raises ByteBudgetExceededError.
        """
        if not self._is_closed:
            self._budget.make_room(self, count)
            self._change(count)
        self.progress_at = self._budget.now()

    def set_bytes(self, count: int) -> None:
        """Count what the buffer holds now.

        Raises ByteBudgetExceededError.
        """
        if count > self.held_bytes:
            self.add_bytes(count - self.held_bytes)
        elif not self._is_closed:
            self._change(count - self.held_bytes)

    def keep(self) -> None:
        """Never evict the buffer, as its content is complete and in use."""
        self._evict = None

    def evict(self) -> None:
        """Return the bytes to the budget and have the buffer dropped."""
        evict, self._evict = self._evict, None
        self.is_evicted = True
        self.close()
        if evict is not None:
            evict()

    def close(self) -> None:
        """Return the bytes to the budget."""
        if not self._is_closed:
            self._change(-self.held_bytes)
            self._is_closed = True
            self._budget.forget(self)

    def _change(self, count: int) -> None:
        self.held_bytes += count
        self._budget.held_bytes += count
