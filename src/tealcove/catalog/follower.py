"""The tasks that keep a copy up to date from the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import logbook

from tealcove import clock, errors, ids
from tealcove.catalog import copies
from tealcove.storage import feed

log = logbook.Logger("catalog")

# Seconds that the store may hold a question for changes. Each question is paid
# for, and a lost connection is noticed by keep-alive probes and not by this.
WAIT_SECONDS = 25.0
# Seconds between two tries while the store fails: short enough for a change to be
# in force well within the 2 s after an outage, and doubled so that an outage of
# 5 s costs some ten calls for each instance.
FIRST_PAUSE = 0.2
LONGEST_PAUSE = 0.8
# Seconds after a change before the next question, for tables whose changes come in
# groups: what changes meanwhile is one answer. With 33 servers that start within 4 s,
# each of 63 instances asked 33 times, 2,079 of the 2,644 calls of a quiet day.
GATHER_SECONDS = 0.25


def no_pause() -> float:
    """Return the pause of a table whose changes must be known at once."""
    return 0.0


class Follower:
    """Reads one table whole, then follows its changes."""

    def __init__(
        self,
        source: feed.Feed,
        table: str,
        copy: copies.Copy,
        gathers: Callable[[], float] = no_pause,
    ) -> None:
        self.source = source
        self.table = table
        self.copy = copy
        # Returns the seconds after a change before the next question.
        self.gathers = gathers
        # The version to go on from; absent: the table must be read whole.
        self.version: int | None = None
        self.failing_since: ids.Instant | None = None
        self.pause = FIRST_PAUSE

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self.step()
            except feed.HistoryLostError as error:
                log.info("{}", error)
                self.version = None
            except errors.PlatformError as error:
                self.note_failure(error, clock.now())
                await asyncio.sleep(self.pause)
                self.pause = min(LONGEST_PAUSE, 2 * self.pause)

    async def step(self) -> None:
        """Read once; raises PlatformError."""
        if self.version is None:
            page = await self.source.read_all(self.table)
            self.note_success(clock.now())
            self.copy.replace(page, clock.now())
        else:
            wait = WAIT_SECONDS if self.failing_since is None else 0.0
            page = await self.source.wait_for_changes(self.table, self.version, wait)
            self.note_success(clock.now())
            self.copy.apply(page, clock.now())
            self.version = page.version
            if page.entries:
                await asyncio.sleep(self.gathers())
            return
        self.version = page.version

    def note_failure(self, error: errors.PlatformError, now: ids.Instant) -> None:
        """Remember since when the store is out of reach."""
        if self.failing_since is None:
            self.failing_since = now
            log.warning("the store is lost for {}: {}", self.table, error)

    def note_success(self, now: ids.Instant) -> None:
        """Note that the store answers, and after an outage tell the copy."""
        self.pause = FIRST_PAUSE
        if self.failing_since is None:
            return
        seconds = now - self.failing_since
        log.info("the store is back for {} after {:.1f} s", self.table, seconds)
        self.failing_since = None
        if isinstance(self.copy, copies.ServersCopy):
            self.copy.note_outage_ended(now)
