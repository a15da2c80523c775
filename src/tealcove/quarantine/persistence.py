"""Storage of records in the platform's table, where they survive a full restart."""

from __future__ import annotations

import asyncio
import time
from typing import Any, Generic, TypeVar

import logbook
import msgspec

from tealcove import clock, decoding, errors, ids
from tealcove.quarantine import ledger, marks, parts
from tealcove.storage import table

log = logbook.Logger("quarantine")

Record = TypeVar("Record")

MARKS_TABLE = "quarantine"
PARTS_TABLE = "quarantine_parts"
# Seconds between two transactions, and from a failed one to the next, and the maximum
# of records in one. They limit each instance that detects crashes to two writes a
# second.
WRITE_INTERVAL = 0.5
RETRY_INTERVAL = 2.0
WRITE_RECORDS = 32
# The maximum of rows that are read.
MAX_ROWS = 1000
# The maximum of records that wait to be written; further ones are known to the peers.
MAX_PENDING = 256


class StoredRecord(msgspec.Struct, Generic[Record], frozen=True):
    """A record as stored in a row; `ends` is in seconds of the wall clock.

    Monotonic clocks of different instances can't be compared. An instance whose wall
    clock is off by some seconds ends the record early or late by as much, which is
    harmless.
    """

    mark: Record
    ends: float


class RecordStore:
    """Loads the stored records once, and writes those that change here."""

    def __init__(
        self,
        rows: table.TableService,
        name: str,
        held: ledger.Ledger,
        record_type: type,
    ) -> None:
        self.rows = rows
        self.table = name
        self.ledger = held
        self.decoder = decoding.Decoder(
            msgspec.msgpack.Decoder(StoredRecord[record_type])
        )
        # Keys to write, in the order in which the records changed.
        self.pending: dict[str, None] = {}
        self.loaded = False

    def add(self, key: str) -> None:
        """Queue a changed record to be written."""
        if len(self.pending) < MAX_PENDING:
            self.pending[key] = None

    async def run(self) -> None:
        """Load and write records periodically, until cancelled."""
        while True:
            pause = WRITE_INTERVAL
            try:
                await self.step(clock.now(), time.time())
            except errors.PlatformError as error:
                log.debug("records can't be stored: {}", error)
                pause = RETRY_INTERVAL
            await asyncio.sleep(pause)

    async def step(self, now: ids.Instant, wall: float) -> None:
        """Load the records unless that is done, and write some queued changes.

        Raises errors.PlatformError; changes that weren't written stay queued.
        """
        if not self.loaded:
            await self.load(now, wall)
            self.loaded = True
        keys = list(self.pending)[:WRITE_RECORDS]
        shared = [(key, self.ledger.shared(key, now)) for key in keys]
        writes = tuple(self.put(k, one, wall) for k, one in shared if one is not None)
        # Taken out first: a record that changes meanwhile is queued again.
        for key in keys:
            self.pending.pop(key, None)
        if not writes:
            return
        try:
            await self.rows.commit(table.Transaction((), writes))
        except errors.PlatformError:
            self.pending = dict.fromkeys(keys) | self.pending
            raise

    async def load(self, now: ids.Instant, wall: float) -> None:
        """Merge the records of all rows, and delete rows whose record has ended."""
        ended = []
        for row in await self.rows.scan(self.table, limit=MAX_ROWS):
            try:
                stored = self.decoder.decode(row.value)
            except msgspec.MsgspecError as error:
                log.warning("row {} of {} is ignored: {}", row.key, self.table, error)
                continue
            longest = stored.mark.remaining
            remaining = min(stored.ends - wall, longest)
            if remaining <= 0.0:
                ended.append(table.Delete(self.table, row.key))
                continue
            self.ledger.merge(self.ledger.aged(stored.mark, longest - remaining), now)
        if ended:
            await self.rows.commit(table.Transaction((), tuple(ended)))

    def put(self, key: str, record: Any, wall: float) -> table.Put:
        """Return the write that stores a record."""
        stored = StoredRecord(record, wall + record.remaining)
        return table.Put(self.table, key, msgspec.msgpack.encode(stored))


def store_of_marks(rows: table.TableService, held: marks.Marks) -> RecordStore:
    """Return the store of marks against whole requests."""
    return RecordStore(rows, MARKS_TABLE, held, marks.SharedMark)


def store_of_parts(rows: table.TableService, held: ledger.Ledger) -> RecordStore:
    """Return the store of records of parts."""
    return RecordStore(rows, PARTS_TABLE, held, parts.SharedPart)
