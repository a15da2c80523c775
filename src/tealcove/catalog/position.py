"""The order of the copies of one topic, on all instances."""

from __future__ import annotations

import msgspec

from tealcove import ids


class Position(msgspec.Struct, frozen=True):
    """Where a copy stands in the order of its writer and of the store."""

    # Of the newest row in the copy; see storage.revisions.
    revision: ids.Revision
    # The writer's own number, which also rises when the store returns from a copy with
    # older content; 0: none.
    version: int = 0

    def is_after(self, other: Position) -> bool:
        """Return whether this copy is newer; if only one has a version, by revision."""
        if self.version and other.version and self.version != other.version:
            return self.version > other.version
        return self.revision > other.revision
