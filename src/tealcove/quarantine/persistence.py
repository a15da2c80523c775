"""Marks in the platform's table, so that they outlast a restart of everything."""

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
# Seconds between two transactions, and the marks in one: at most two writes a
# second from each instance that sees crashes, whatever happens.
WRITE_INTERVAL = 0.5
WRITE_MARKS = 32
# Marks that wait for the platform at the most; peers know them all anyway.
MAX_PENDING = 256


class StoredMark(msgspec.Struct, frozen=True):
    """A mark as a row; `ends` is in seconds of the wall clock.

    The monotonic clock of one instance means nothing to another. An instance
    whose wall clock is wrong by some seconds ends the mark so much too early
    or too late, which does no harm.
    """

    mark: marks.SharedMark
    ends: float


class MarkStore:
    """Loads the marks once, and writes those that change here."""

    def __init__(self, rows: table.TableService, held: marks.Marks) -> None:
        self.rows = rows
        self.marks = held
        # Digests to write, in the order of their change.
        self.pending: dict[str, None] = {}
        self.loaded = False

    def add(self, digest: str) -> None:
        """Have a changed mark written soon."""
        if len(self.pending) < MAX_PENDING:
            self.pending[digest] = None

    async def run(self) -> None:
        """Load and write whenever the platform allows, until cancelled."""
        while True:
            try:
                await self.step(clock.now(), time.time())
            except errors.PlatformError as error:
                log.debug("marks can't be kept: {}", error)
            await asyncio.sleep(WRITE_INTERVAL)

    async def step(self, now: ids.Instant, wall: float) -> None:
        """Load if that is still to be done, and write some changes.

        Raises errors.PlatformError; what wasn't written is written later.
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
        """Merge all rows, and delete those whose mark has ended."""
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
    """Return the write of a mark."""
    stored = StoredMark(mark, wall + mark.remaining)
    return table.Put(TABLE, mark.digest, msgspec.msgpack.encode(stored))
