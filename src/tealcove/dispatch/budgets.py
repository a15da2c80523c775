"""Budgets of bytes between data centres."""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.dispatch import backendview, messages

# The entry's data centre and the server's.
Pair = tuple[ids.DataCentreId, ids.DataCentreId]

# Seconds of the rate that may be spent at once: as long as a burst of requests lasts
# until slots become free again.
BURST_SECONDS = 1.0
# Estimates in bytes: of a token in a prompt and in a stream of events, and of the
# headers of a request and its response.
PROMPT_TOKEN_BYTES = 4
EVENT_TOKEN_BYTES = 16
HEADERS_BYTES = 1000


class Bucket(msgspec.Struct):
    """A token bucket; its level in bytes is below 0 after crossings beyond it."""

    level: float
    refilled_at: ids.Instant


class Budgets:
    """The budget of each pair of data centres, for all cells of one dispatcher."""

    def __init__(self, bytes_per_second: float) -> None:
        self.rate = bytes_per_second
        self.buckets: dict[Pair, Bucket] = {}
        # Crossings and their estimated bytes, and those beyond the budget.
        self.crossings = 0
        self.bytes = 0.0
        self.beyond = 0

    @property
    def burst(self) -> float:
        """The bytes of a full bucket."""
        return self.rate * BURST_SECONDS

    def left(self, pair: Pair, now: ids.Instant) -> float:
        """Return the part of a budget that is left, from 0 to 1."""
        return max(0.0, self.refilled(pair, now).level / self.burst)

    def allows(self, pair: Pair, size: float, now: ids.Instant) -> bool:
        """Return whether a crossing is within the budget."""
        # One that is larger than a full bucket is allowed when that is full.
        return self.refilled(pair, now).level >= min(size, self.burst)

    def spend(self, pair: Pair, size: float, now: ids.Instant) -> None:
        """Charge a crossing, within the budget or beyond it.

        The debt is limited to a full bucket, so that crossings that were needed don't
        forbid useful ones for long.
        """
        bucket = self.refilled(pair, now)
        self.beyond += not self.allows(pair, size, now)
        self.crossings += 1
        self.bytes += size
        bucket.level = max(-self.burst, bucket.level - size)

    def refilled(self, pair: Pair, now: ids.Instant) -> Bucket:
        """Return a pair's bucket as of now."""
        bucket = self.buckets.get(pair)
        if bucket is None:
            bucket = self.buckets[pair] = Bucket(self.burst, now)
        elapsed = max(0.0, now - bucket.refilled_at)
        bucket.level = min(self.burst, bucket.level + elapsed * self.rate)
        bucket.refilled_at = now
        return bucket


def pair_of(ticket: messages.Ticket, server: backendview.BackendView) -> Pair:
    """Return the data centres of a ticket's entry and of a server."""
    return ticket.data_centre, ids.DataCentreId(server.spec.data_centre)


def size_of(ticket: messages.Ticket) -> float:
    """Return the estimated bytes of a request and its response."""
    body = ticket.body_bytes or PROMPT_TOKEN_BYTES * ticket.prompt_tokens
    answer = EVENT_TOKEN_BYTES * backendview.expected_tokens(ticket)
    return HEADERS_BYTES + body + answer
