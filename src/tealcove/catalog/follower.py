"""Keeps a copy up to date with a table of the store."""

from __future__ import annotations

import asyncio

import logbook
import msgspec

from tealcove import clock, errors, ids
from tealcove.catalog import copies, serverlist
from tealcove.storage import feed

log = logbook.Logger("catalog")

# Seconds from the start of one attempt to the next while the store fails: short enough
# for a change to be in force well within 2 s after an outage, and doubled so that an
# outage of 5 s takes some ten calls per instance. A hanging attempt doesn't lengthen
# the interval.
FIRST_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 0.8
# Minimum seconds between a failure and the next attempt.
MIN_PAUSE = 0.05
# Seconds of failures after which other instances follow the store in this one's place:
# two attempts.
STORE_LOST_SECONDS = 0.4
# Seconds after the start of a failed call until which the outage may have ended at the
# latest, as far as lapsed servers are concerned. An outage lasts until such a call
# starts or longer; servers that leave 3 s after its end must be dropped 2 s later.
MAX_UNNOTICED_SECONDS = 2.5
# Seconds after which an answer that is still being received is not waited for.
RECEIVING_SECONDS = 2.0


class Pace(msgspec.Struct, frozen=True):
    """How often one table is polled, in seconds."""

    # Long-poll timeout. Each call is paid for; it is also the time until a store that
    # accepts calls and never answers is detected.
    wait: float
    # Pause after a change before the next poll, for tables whose changes come in
    # groups: one answer holds all changes meanwhile.
    gather: float = 0.0


class Follower:
    """Reads a whole table, then follows its changes."""

    def __init__(
        self,
        source: feed.Feed,
        table: str,
        copy: copies.Copy,
        pace: Pace,
    ) -> None:
        self.source = source
        self.table = table
        self.copy = copy
        self.pace = pace
        # The version to continue from; None: the whole table must be read.
        self.version: int | None = None
        self.failing_since: ids.Instant | None = None
        # When the last failed call started.
        self.failed_call_at = ids.Instant(0.0)
        self.pause = FIRST_RETRY_SECONDS
        # Losses of the history in a row, without an answer of changes between.
        self.losses = 0
        # Since when an answer is being received.
        self.receiving_since: ids.Instant | None = None

    async def run(self) -> None:
        """Follow from the copy's revision until cancelled."""
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
                await asyncio.sleep(self.pause_after_loss())
            except errors.PlatformError as error:
                self.failed_call_at = began
                self.note_failure(error, clock.now())
                taken = clock.now() - began
                await asyncio.sleep(max(MIN_PAUSE, self.pause - taken))
                self.pause = min(MAX_RETRY_SECONDS, 2 * self.pause)

    def pause_after_loss(self) -> float:
        """Return the seconds until the table is read whole, 0 after a first loss."""
        self.losses += 1
        return min(MAX_RETRY_SECONDS, FIRST_RETRY_SECONDS * (self.losses - 1))

    async def step(self) -> None:
        """Read once; raises PlatformError."""
        if self.version is None:
            page = await self.source.read_all(self.table)
            self.note_success(clock.now())
            self.copy.replace(page, clock.now())
            self.version = page.version
            return
        wait = self.pace.wait if self.failing_since is None else 0.0
        try:
            page = await self.source.wait_for_changes(
                self.table, self.version, wait, self.note_receiving
            )
        finally:
            # Also after a refusal: if it still counted as an answer in the pause, an
            # instance that the store refuses would ask no peer, and send requests to
            # servers that left 2 s ago.
            self.receiving_since = None
        self.note_success(clock.now())
        self.losses = 0
        self.copy.apply(page, clock.now())
        self.version = page.version
        if page.entries:
            await asyncio.sleep(self.pace.gather)

    def note_receiving(self) -> None:
        """Record that an answer is being received."""
        self.receiving_since = clock.now()

    def is_receiving(self, now: ids.Instant) -> bool:
        """Return whether an answer is being received and likely to complete."""
        since = self.receiving_since
        return since is not None and now - since < RECEIVING_SECONDS

    def is_store_lost(self, now: ids.Instant) -> bool:
        """Return whether the store has failed long enough for others to follow."""
        since = self.failing_since
        return since is not None and now - since >= STORE_LOST_SECONDS

    def note_failure(self, error: errors.PlatformError, now: ids.Instant) -> None:
        """Record the start of an outage of the store."""
        if self.failing_since is None:
            self.failing_since = now
            log.warning("the store is unreachable for {}: {}", self.table, error)

    def note_success(self, now: ids.Instant) -> None:
        """Record a successful call, and after an outage inform the copy."""
        self.pause = FIRST_RETRY_SECONDS
        if self.failing_since is None:
            return
        seconds = now - self.failing_since
        log.info(
            "the store is reachable again for {} after {:.1f} s", self.table, seconds
        )
        self.failing_since = None
        if isinstance(self.copy, serverlist.ServersCopy):
            latest_end = self.failed_call_at + MAX_UNNOTICED_SECONDS
            self.copy.note_outage_ended(ids.Instant(min(now, latest_end)))
