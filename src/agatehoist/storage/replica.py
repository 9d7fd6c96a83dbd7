"""Copy of the stored objects of one kind, with their recent changes."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from agatehoist.storage.objects import Changes, Listing
from agatehoist.storage.revisions import NO_REVISION

if TYPE_CHECKING:
    from agatehoist.storage.objects import ObjectChange, StoredValue
    from agatehoist.storage.revisions import Revision

# A reader that is further behind gets a whole list.
MAX_RECENT_CHANGES = 512


class Replica:
    """Follow one kind of object from lists and changes, and pass changes on."""

    def __init__(self) -> None:
        self.revision = NO_REVISION
        self._values_by_name: dict[str, StoredValue] = {}
        # Changes with the revision of the update that brought them.
        self._recent: deque[tuple[Revision, ObjectChange]] = deque(
            maxlen=MAX_RECENT_CHANGES
        )
        # Changes up to this revision have been dropped.
        self._complete_from = NO_REVISION

    def apply(self, update: Listing | Changes) -> None:
        """Apply an update that follows the last one."""
        if isinstance(update, Listing):
            self._values_by_name = {each.name: each for each in update.values}
            self._recent.clear()
            self._complete_from = update.revision
        else:
            for each in update.changes:
                self._apply_change(each, update.revision)
        self.revision = max(self.revision, update.revision)

    def since(self, revision: Revision) -> Listing | Changes | None:
        """Return what has changed after a revision, or None if nothing has."""
        if revision >= self.revision:
            return None
        if revision < self._complete_from:
            return Listing(tuple(self._values_by_name.values()), self.revision)
        changes = tuple(change for at, change in self._recent if at > revision)
        return Changes(changes, self.revision) if changes else None

    def _apply_change(self, change: ObjectChange, revision: Revision) -> None:
        if len(self._recent) == MAX_RECENT_CHANGES:
            self._complete_from = self._recent[0][0]
        self._recent.append((revision, change))
        if change.removed:
            self._values_by_name.pop(change.value.name, None)
        else:
            self._values_by_name[change.value.name] = change.value
