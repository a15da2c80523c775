"""Budgets of bytes between data centres."""

from __future__ import annotations

from collections.abc import Mapping

from tealcove import ids, tokenbucket
from tealcove.dispatch import backendview, crossinguse, messages

Pair = crossinguse.Pair

# Seconds of the rate to which the debt of needed crossings is limited, so that they
# don't forbid useful ones for long.
MAX_DEBT_SECONDS = 1.0
# Estimates in bytes: of a token in a prompt and in a stream of events, and of the
# headers of a request and its response.
PROMPT_TOKEN_BYTES = 4
EVENT_TOKEN_BYTES = 16
HEADERS_BYTES = 1000


class Budgets:
    """The budget of each pair of data centres, for all cells of one dispatcher.

    Of a budget that other dispatchers use as well, this one has a part.
    """

    def __init__(self, bytes_per_second: float) -> None:
        self.rate = bytes_per_second
        self.buckets: dict[Pair, tokenbucket.TokenBucket] = {}
        # What this dispatcher spent lately, and its parts of budgets that others use.
        self.recent = crossinguse.RecentUse()
        self.shares: Mapping[Pair, float] = {}
        # Crossings and their estimated bytes, and those beyond the budget.
        self.crossings = 0
        self.bytes = 0.0
        self.beyond = 0

    def divide(self, shares: Mapping[Pair, float], now: ids.Instant) -> None:
        """Apply the parts of the budgets that this dispatcher has from now on."""
        self.shares = shares
        for pair, bucket in self.buckets.items():
            bucket.change(self.rate * self.share(pair), now)

    def share(self, pair: Pair) -> float:
        """Return the part of a budget that this dispatcher has."""
        return self.shares.get(pair, 1.0)

    @property
    def least_share(self) -> float:
        """The least part of a budget that this dispatcher has, for the metrics."""
        return min(self.shares.values(), default=1.0)

    def left(self, pair: Pair, now: ids.Instant) -> float:
        """Return the part of a budget that is left, from 0 to 1."""
        bucket = self.refilled(pair, now)
        return max(0.0, bucket.level / bucket.burst)

    def allows(self, pair: Pair, size: float, now: ids.Instant) -> bool:
        """Return whether a crossing is within the budget."""
        return self.refilled(pair, now).allows(size, now)

    def spend(self, pair: Pair, size: float, now: ids.Instant) -> None:
        """Charge a crossing, within the budget or beyond it."""
        bucket = self.refilled(pair, now)
        self.beyond += not bucket.allows(size, now)
        self.crossings += 1
        self.bytes += size
        self.recent.add(pair, size, now)
        bucket.spend(size)

    def refilled(self, pair: Pair, now: ids.Instant) -> tokenbucket.TokenBucket:
        """Return a pair's bucket as of now."""
        bucket = self.buckets.get(pair)
        if bucket is None:
            rate = self.rate * self.share(pair)
            bucket = tokenbucket.TokenBucket(rate, MAX_DEBT_SECONDS)
            self.buckets[pair] = bucket
        bucket.refill(now)
        return bucket


def pair_of(ticket: messages.Ticket, server: backendview.BackendView) -> Pair:
    """Return the data centres of a ticket's entry and of a server."""
    return ticket.data_centre, ids.DataCentreId(server.spec.data_centre)


def size_of(ticket: messages.Ticket) -> float:
    """Return the estimated bytes of a request and its response."""
    body = ticket.body_bytes or PROMPT_TOKEN_BYTES * ticket.prompt_tokens
    answer = EVENT_TOKEN_BYTES * backendview.expected_tokens(ticket)
    return HEADERS_BYTES + body + answer
