"""Budgets of bytes between data centres."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from tealcove import ids
from tealcove.dispatch import backendview, crossinguse, messages

Pair = crossinguse.Pair

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
    """The budget of each pair of data centres, for all cells of one dispatcher.

    Of a budget that other dispatchers use as well, this one has a part.
    """

    def __init__(self, bytes_per_second: float) -> None:
        self.rate = bytes_per_second
        self.buckets: dict[Pair, Bucket] = {}
        # What this dispatcher spent lately, and its parts of budgets that others use.
        self.recent = crossinguse.RecentUse()
        self.shares: Mapping[Pair, float] = {}
        # Crossings and their estimated bytes, and those beyond the budget.
        self.crossings = 0
        self.bytes = 0.0
        self.beyond = 0

    def divide(self, shares: Mapping[Pair, float], now: ids.Instant) -> None:
        """Apply the parts of the budgets that this dispatcher has from now on."""
        for pair in self.buckets:
            self.refilled(pair, now)
        self.shares = shares

    def share(self, pair: Pair) -> float:
        """Return the part of a budget that this dispatcher has."""
        return self.shares.get(pair, 1.0)

    @property
    def least_share(self) -> float:
        """The least part of a budget that this dispatcher has, for the metrics."""
        return min(self.shares.values(), default=1.0)

    def burst(self, pair: Pair) -> float:
        """Return the bytes of a full bucket."""
        return self.rate * self.share(pair) * BURST_SECONDS

    def left(self, pair: Pair, now: ids.Instant) -> float:
        """Return the part of a budget that is left, from 0 to 1."""
        return max(0.0, self.refilled(pair, now).level / self.burst(pair))

    def allows(self, pair: Pair, size: float, now: ids.Instant) -> bool:
        """Return whether a crossing is within the budget."""
        # One that is larger than a full bucket is allowed when that is full.
        return self.refilled(pair, now).level >= min(size, self.burst(pair))

    def spend(self, pair: Pair, size: float, now: ids.Instant) -> None:
        """Charge a crossing, within the budget or beyond it.

        The debt is limited to a full bucket, so that crossings that were needed don't
        forbid useful ones for long.
        """
        bucket = self.refilled(pair, now)
        self.beyond += not self.allows(pair, size, now)
        self.crossings += 1
        self.bytes += size
        self.recent.add(pair, size, now)
        bucket.level = max(-self.burst(pair), bucket.level - size)

    def refilled(self, pair: Pair, now: ids.Instant) -> Bucket:
        """Return a pair's bucket as of now."""
        bucket = self.buckets.get(pair)
        if bucket is None:
            bucket = self.buckets[pair] = Bucket(self.burst(pair), now)
        rate = self.rate * self.share(pair)
        burst = rate * BURST_SECONDS
        gained = max(0.0, now - bucket.refilled_at) * rate
        # A part that has become smaller bounds the debt as well.
        bucket.level = max(-burst, min(burst, bucket.level + gained))
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
