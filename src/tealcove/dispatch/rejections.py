"""Requests that a backend server rejected for want of room, and how many it bears."""

from __future__ import annotations

import collections
import math

import logbook

from tealcove import ids
from tealcove.dispatch import pauses, statements

log = logbook.Logger("dispatch")

# Seconds for which a full server gets nothing; doubled up to the maximum while it
# rejects what it gets then.
MIN_PAUSE = 0.2
MAX_PAUSE = 1.0
# Seconds without a rejection after which a server is taken to have room for one more.
STEP_SECONDS = 1.0
# The time over which a brittle server counts its rejections, in seconds.
WINDOW = 1.0
# Seconds within which a rejection arrives from a server that answers. From one that is
# silent, or by a slow way, it may arrive later.
ANSWER_SECONDS = 0.3
# A server whose rejections were late may be this many times as late again.
LATE_FACTOR = 1.5


class Rejections:
    """The rejections of one start of a server.

    A server may be fuller than its dispatcher knows: by requests of processes that have
    ended, by connections that hold a slot, or by another dispatcher after a takeover.
    """

    def __init__(self, server: ids.BackendServerId) -> None:
        self.server = server
        # Requests that it may reject in a second without falling over; None: any.
        self.limit: float | None = None
        self.limit_at = statements.NEVER
        # When it rejected requests, within the window.
        self.recent: collections.deque[ids.Instant] = collections.deque()
        self.rejected_at = statements.NEVER
        self.pause = pauses.Pause(MIN_PAUSE, MAX_PAUSE)
        # How many requests it ran when it last rejected one, at least one.
        self.room = math.inf
        # Seconds after which a request has not been rejected, if the server answers
        # others.
        self.answer_seconds = ANSWER_SECONDS

    def apply_limit(self, limit: float | None, stated_at: ids.Instant) -> None:
        """Apply how many rejections the server bears, unless a newer one is known."""
        if stated_at <= self.limit_at:
            return
        self.limit_at = stated_at
        if limit != self.limit:
            log.info("{} bears {} rejections a second", self.server, limit)
            self.limit = limit

    def record(self, running: int, seconds: float, now: ids.Instant) -> None:
        """Record that the server rejected a request, with so many others running.

        `seconds` passed until the rejection was known here.
        """
        self.room = max(1, min(running, self.room_at(now)))
        self.answer_seconds = max(self.answer_seconds, LATE_FACTOR * seconds)
        self.forget_before(ids.Instant(now - WINDOW))
        self.recent.append(now)
        self.rejected_at = now
        self.pause.begin(now)

    def record_service(self, started: ids.Instant) -> None:
        """Record that a request that was granted at an instant runs, or has run."""
        if started > self.rejected_at:
            self.pause.reset()

    def room_at(self, now: ids.Instant) -> float:
        """Return how many requests the server probably runs at once."""
        if self.rejected_at == statements.NEVER:
            return math.inf
        return self.room + (now - self.rejected_at) // STEP_SECONDS

    def bearable(self, unanswered: int, now: ids.Instant) -> float:
        """Return how many more requests the server may get now.

        `unanswered` is the number of those that it may have rejected within its
        window, though that isn't known here.
        """
        if self.pause.is_active(now):
            return 0
        if self.limit is None:
            return math.inf
        self.forget_before(ids.Instant(now - WINDOW))
        # One at a time, where a single rejection is too many: none would never end it.
        return max(0.0, max(1.0, self.limit) - len(self.recent) - unanswered)

    def forget_before(self, since: ids.Instant) -> None:
        """Forget rejections that a brittle server no longer counts."""
        while self.recent and self.recent[0] <= since:
            self.recent.popleft()
