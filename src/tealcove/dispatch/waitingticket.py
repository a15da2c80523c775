"""A ticket that waits for a slot, with its goal and its latest useful start."""

from __future__ import annotations

import math

import msgspec

from tealcove import ids
from tealcove.dispatch import firstattempts, messages, shares

# Seconds after which callers are told to come back when no server is left, and for
# which a ticket without a goal waits then.
NO_SERVER_SECONDS = 1.0


class Waiting(msgspec.Struct):
    """A ticket that waits for a slot."""

    ticket: messages.Ticket
    since: ids.Instant
    # When its entry last sent it.
    refreshed_at: ids.Instant
    # When the first event is wanted, counted from the first attempt; infinite if the
    # request has no goal.
    goal_at: ids.Instant
    # The latest useful start.
    start_by: ids.Instant
    # The latest useful end.
    end_by: ids.Instant
    # Seconds to the first token on the fastest server while idle.
    best_first: float
    # Seconds for which it holds a slot, as a mean over the servers.
    slot_seconds: float
    flow: shares.Flow
    # What is remembered of its request's first attempt; None if it can't be recognised.
    attempt: firstattempts.Attempt | None = None
    # Whether its request was tried before.
    has_returned: bool = False
    # Whether its caller was refused before, and returned at the time that it was told.
    keeps_promise: bool = False

    def is_late(self, now: ids.Instant) -> bool:
        """Tell whether the goal can no longer be met."""
        return self.misses_goal(0.0, now)

    def misses_goal(self, seconds: float, now: ids.Instant) -> bool:
        """Tell whether the goal is missed by a start in so many seconds."""
        return now + seconds + self.best_first > self.goal_at

    def promised_seconds(self, now: ids.Instant) -> float:
        """Return the slot seconds reserved for its caller's return; 0: none."""
        attempt = self.attempt
        if attempt is None or attempt.promised_at is None or attempt.promised_at <= now:
            return 0.0
        return self.slot_seconds

    def latest_in_time(self) -> float:
        """Return the last instant at which a start meets the goal.

        Without a goal, it is some time after its arrival.
        """
        if math.isinf(self.goal_at):
            return self.since + NO_SERVER_SECONDS
        return self.goal_at - self.best_first
