"""Storage of marks in the platform's table, where they survive a full restart."""

from __future__ import annotations

import asyncio
import time

import logbook
import msgspec

from tealcove import clock, errors, ids
from tealcove.quarantine import marks
from tealcove.storage import table

log = logbook.Logger("quarantine")

TABLE = "quarantine"
# Seconds between two transactions, and the maximum of marks in one. They limit each
# instance that detects crashes to two writes a second.
WRITE_INTERVAL = 0.5
WRITE_MARKS = 32
# The maximum of marks that wait to be written; further ones are known to the peers.
MAX_PENDING = 256


class StoredMark(msgspec.Struct, frozen=True):
    """A mark as stored in a row; `ends` is in seconds of the wall clock.

    Monotonic clocks of different instances can't be compared. An instance whose wall
    clock is off by some seconds ends the mark early or late by as much, which is
    harmless.
    """

    mark: marks.SharedMark
    ends: float


class MarkStore:
    """Loads the stored marks once, and writes those that change here."""

    def __init__(self, rows: table.TableService, held: marks.Marks) -> None:
        self.rows = rows
        self.marks = held
        # Digests to write, in the order in which they changed.
        self.pending: dict[str, None] = {}
        self.loaded = False

    def add(self, digest: str) -> None:
        """Queue a changed mark to be written."""
        if len(self.pending) < MAX_PENDING:
            self.pending[digest] = None

    async def run(self) -> None:
        """Load and write marks periodically, until cancelled."""
        while True:
            try:
                await self.step(clock.now(), time.time())
            except errors.PlatformError as error:
                log.debug("marks can't be stored: {}", error)
            await asyncio.sleep(WRITE_INTERVAL)

    async def step(self, now: ids.Instant, wall: float) -> None:
        """Load the marks unless that is done, and write some queued changes.

        Raises errors.PlatformError; changes that weren't written stay queued.
        """
        if not self.loaded:
            await self.load(now, wall)
            self.loaded = True
        digests = list(self.pending)[:WRITE_MARKS]
        shared = [self.marks.shared(digest, now) for digest in digests]
        writes = tuple(put(mark, wall) for mark in shared if mark is not None)
        if writes:
            await self.rows.commit(table.Transaction((), writes))
        for digest in digests:
            self.pending.pop(digest, None)

    async def load(self, now: ids.Instant, wall: float) -> None:
        """Merge the marks of all rows, and delete rows whose mark has ended."""
        ended = []
        for row in await self.rows.scan(TABLE, limit=marks.MAX_MARKS):
            stored = msgspec.msgpack.decode(row.value, type=StoredMark)
            remaining = min(stored.ends - wall, self.marks.quarantine_seconds)
            if remaining <= 0.0:
                ended.append(table.Delete(TABLE, row.key))
                continue
            mark = msgspec.structs.replace(stored.mark, remaining=remaining)
            self.marks.merge(mark, now)
        if ended:
            await self.rows.commit(table.Transaction((), tuple(ended)))


def put(mark: marks.SharedMark, wall: float) -> table.Put:
    """Return the write that stores a mark."""
    stored = StoredMark(mark, wall + mark.remaining)
    return table.Put(TABLE, mark.digest, msgspec.msgpack.encode(stored))
