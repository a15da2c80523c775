"""The tasks that keep a copy up to date from the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import logbook
import msgspec

from tealcove import clock, errors, ids
from tealcove.catalog import copies, serverlist
from tealcove.storage import feed

log = logbook.Logger("catalog")

# Seconds from the beginning of one try to the next while the store fails: short enough
# for a change to be in force well within the 2 s after an outage, and doubled so that
# an outage of 5 s costs some ten calls for each instance. The next try doesn't wait for
# longer because the one before it hung.
FIRST_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 0.8
# Seconds between a failure and the next try at the least.
MIN_PAUSE = 0.05
# Seconds for which the store has to fail before others follow it in this instance's
# place: two tries.
STORE_LOST_SECONDS = 0.4
# Seconds for which an answer may be on its way before it's no longer counted on.
RECEIVING_SECONDS = 2.0


class Pace(msgspec.Struct, frozen=True):
    """How often one table is asked for; in seconds."""

    # For how long the store may hold a question. Each one is paid for; it's also how
    # long a store stays unnoticed that takes questions and never answers.
    wait: float
    # After a change before the next question, for tables whose changes come in groups:
    # what changes meanwhile is one answer.
    gather: float = 0.0


class Follower:
    """Reads one table whole, then follows its changes."""

    def __init__(
        self,
        source: feed.Feed,
        table: str,
        copy: copies.Copy,
        pace: Callable[[], Pace],
    ) -> None:
        self.source = source
        self.table = table
        self.copy = copy
        self.pace = pace
        # The version to go on from; absent: the table must be read whole.
        self.version: int | None = None
        self.failing_since: ids.Instant | None = None
        self.pause = FIRST_RETRY_SECONDS
        # Since when an answer has been coming in.
        self.receiving_since: ids.Instant | None = None

    async def run(self) -> None:
        """Follow until cancelled, from what the copy holds."""
        self.version = int(self.copy.revision) or None
        self.failing_since = None
        self.pause = FIRST_RETRY_SECONDS
        while True:
            began = clock.now()
            try:
                await self.step()
            except feed.HistoryLostError as error:
                log.info("{}", error)
                self.version = None
            except errors.PlatformError as error:
                self.note_failure(error, clock.now())
                taken = clock.now() - began
                await asyncio.sleep(max(MIN_PAUSE, self.pause - taken))
                self.pause = min(MAX_RETRY_SECONDS, 2 * self.pause)

    async def step(self) -> None:
        """Read once; raises PlatformError."""
        if self.version is None:
            page = await self.source.read_all(self.table)
            self.note_success(clock.now())
            self.copy.replace(page, clock.now())
            self.version = page.version
            return
        pace = self.pace()
        wait = pace.wait if self.failing_since is None else 0.0
        try:
            page = await self.source.wait_for_changes(
                self.table, self.version, wait, self.note_receiving
            )
        finally:
            # Also of a refusal: were it still awaited in the pause after it, an
            # instance that the store turns away would ask no peer, and send requests
            # to servers that left 2 s ago.
            self.receiving_since = None
        self.note_success(clock.now())
        self.copy.apply(page, clock.now())
        self.version = page.version
        if page.entries:
            await asyncio.sleep(pace.gather)

    def note_receiving(self) -> None:
        """Remember that an answer is on its way."""
        self.receiving_since = clock.now()

    def is_receiving(self, now: ids.Instant) -> bool:
        """Tell whether an answer is on its way, and likely to come to its end."""
        since = self.receiving_since
        return since is not None and now - since < RECEIVING_SECONDS

    def is_store_lost(self, now: ids.Instant) -> bool:
        """Tell whether the store has failed for so long that others should follow."""
        since = self.failing_since
        return since is not None and now - since >= STORE_LOST_SECONDS

    def note_failure(self, error: errors.PlatformError, now: ids.Instant) -> None:
        """Remember since when the store is out of reach."""
        if self.failing_since is None:
            self.failing_since = now
            log.warning("the store is lost for {}: {}", self.table, error)

    def note_success(self, now: ids.Instant) -> None:
        """Note that the store answers, and after an outage tell the copy."""
        self.pause = FIRST_RETRY_SECONDS
        if self.failing_since is None:
            return
        seconds = now - self.failing_since
        log.info("the store is back for {} after {:.1f} s", self.table, seconds)
        self.failing_since = None
        if isinstance(self.copy, serverlist.ServersCopy):
            self.copy.note_outage_ended(now)
