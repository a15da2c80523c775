"""The records that this instance holds for other instances."""

from __future__ import annotations

import collections

import msgspec

from tealcove import ids
from tealcove.witness import messages

# About 1 kB each. The oldest is evicted first; a retried request whose record is
# evicted runs a second time, as it would without a witness.
MAX_RECORDS = 20_000


class StoredRecord(msgspec.Struct, frozen=True):
    """A record and its time of expiry."""

    record: messages.Record
    expires_at: ids.Instant


class Records:
    """Records by request key, bounded in number and in age."""

    def __init__(self) -> None:
        self.by_key: collections.OrderedDict[messages.RequestKey, StoredRecord] = (
            collections.OrderedDict()
        )

    def store(self, sent: messages.StoreRecord, now: ids.Instant) -> None:
        """Store a record; replaces an older one of the same request key."""
        self.by_key.pop(sent.request_key, None)
        self.by_key[sent.request_key] = StoredRecord(
            sent.record, ids.Instant(now + sent.seconds)
        )
        if len(self.by_key) > MAX_RECORDS:
            self.by_key.popitem(last=False)

    def delete(self, deleted: messages.DeleteRecord) -> None:
        """Delete a record, unless another run has replaced it."""
        found = self.by_key.get(deleted.request_key)
        if found is not None and found.record.request_id == deleted.request_id:
            del self.by_key[deleted.request_key]

    def find(
        self, request_key: messages.RequestKey, now: ids.Instant
    ) -> messages.Record | None:
        """Return the record of a request key; None if absent or expired."""
        found = self.by_key.get(request_key)
        if found is None:
            return None
        if now >= found.expires_at:
            del self.by_key[request_key]
            return None
        return found.record
