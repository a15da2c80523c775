"""The records that this instance keeps for others."""

from __future__ import annotations

import collections

import msgspec

from tealcove import ids
from tealcove.witness import messages

# About 1 kB each. The oldest goes first: a request that was sent again finds no
# record then, and runs a second time as it would without any.
MOST_RECORDS = 20_000


class Kept(msgspec.Struct, frozen=True):
    """A record and when it's of no more use."""

    record: messages.Record
    until: ids.Instant


class Records:
    """Records by place, bounded in number and in time."""

    def __init__(self) -> None:
        self.kept: collections.OrderedDict[messages.Place, Kept] = (
            collections.OrderedDict()
        )

    def keep(self, left: messages.Left, now: ids.Instant) -> None:
        """Keep a record in place of an older one."""
        self.kept.pop(left.place, None)
        self.kept[left.place] = Kept(left.record, ids.Instant(now + left.seconds))
        if len(self.kept) > MOST_RECORDS:
            self.kept.popitem(last=False)

    def drop(self, dropped: messages.Dropped) -> None:
        """Forget a record, unless another run has taken its place."""
        found = self.kept.get(dropped.place)
        if found is not None and found.record.request_id == dropped.request_id:
            del self.kept[dropped.place]

    def find(self, place: messages.Place, now: ids.Instant) -> messages.Record | None:
        """Return the record of a place, if one is kept and not too old."""
        found = self.kept.get(place)
        if found is None:
            return None
        if now >= found.until:
            del self.kept[place]
            return None
        return found.record
