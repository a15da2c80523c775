"""The queue of a cell: tier, then fair among client accounts, then least slack."""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Iterator

import msgspec

from tealcove import ids
from tealcove.dispatch import messages


class Lane(msgspec.Struct, frozen=True):
    """Tickets for which the same slots are open."""

    is_short: bool
    idempotent: bool
    # Whether they have to run alone on their server.
    is_suspect: bool = False


SUSPECTS = Lane(is_short=False, idempotent=False, is_suspect=True)
# The lanes of tickets that run beside others.
SHARED = tuple(Lane(s, i) for s in (True, False) for i in (True, False))
LANES = (*SHARED, SUSPECTS)


class WaitingTicket(msgspec.Struct, eq=False):
    """A ticket in the queue."""

    ticket: messages.Ticket
    # When it began to wait, at whichever dispatcher.
    arrived: ids.Instant
    deadline: ids.Instant
    # The last instant to start, on the best server with a full batch.
    start_by: ids.Instant
    # From when on a slot is looked for by force.
    risk_from: ids.Instant
    lane: Lane
    # Predicted seconds of work.
    seconds: float
    # Whether its deadline left it time to wait at all.
    had_slack: bool = True
    # Before when looking for a slot by force again is of no use.
    next_attempt: ids.Instant = ids.Instant(0.0)
    # Until when a slot that another request was told to leave is awaited.
    preemption_deadline: ids.Instant = ids.Instant(0.0)
    is_queued: bool = False
    # When its entry last told of it.
    refreshed_at: ids.Instant = ids.Instant(0.0)

    @property
    def order(self) -> tuple[float, float]:
        """The place within its account: least slack first, then the oldest."""
        return (self.start_by, self.arrived)


class Account(msgspec.Struct, eq=False):
    """The tickets of one client account in one tier."""

    # Start tag of start-time fair queueing, in tokens.
    start_tag: float
    # Heaps of (order, number, ticket); the number keeps tickets from being compared.
    lanes: dict[Lane, list[tuple[tuple[float, float], int, WaitingTicket]]]
    count: int = 0
    # The earliest arrival since it last had nothing queued.
    oldest_arrival: float = math.inf

    def tickets_in_order(self, lanes: list[Lane]) -> Iterator[WaitingTicket]:
        """Yield the tickets of some lanes in order; removed ones are skipped.

        Each lane's heap is sorted only as far as the caller reads on, which most
        often is the first ticket.
        """
        heaps = [heap for lane in lanes if (heap := self.lanes[lane])]
        for heap in heaps:
            while heap and not heap[0][2].is_queued:
                heapq.heappop(heap)
        first = min((heap[0] for heap in heaps if heap), default=None)
        if first is None:
            return
        yield first[2]
        for entry in heapq.merge(*(iterate_heap(heap) for heap in heaps)):
            if entry[2].is_queued and entry is not first:
                yield entry[2]


def iterate_heap(heap: list[tuple]) -> Iterator[tuple]:
    """Yield a heap's entries in order and leave the heap as it is."""
    if not heap:
        return
    frontier = [(heap[0], 0)]
    while frontier:
        entry, index = heapq.heappop(frontier)
        yield entry
        for child in (2 * index + 1, 2 * index + 2):
            if child < len(heap):
                heapq.heappush(frontier, (heap[child], child))


class Tier:
    """The tickets of one tier."""

    def __init__(self) -> None:
        # The start tag of the last ticket granted: where accounts that come
        # back to the queue start, so that an idle time earns no credit.
        self.virtual_time = 0.0
        self.accounts: dict[ids.AccountId, Account] = {}
        self.count = 0
        # Predicted seconds of all queued work.
        self.seconds = 0.0


class Queue:
    """All queued tickets of a cell, by id and in order."""

    def __init__(self) -> None:
        self.tickets: dict[ids.TicketId, WaitingTicket] = {}
        self.tiers: dict[int, Tier] = {}
        self.numbers = itertools.count()

    def __len__(self) -> int:
        return len(self.tickets)

    def add(self, waiting: WaitingTicket) -> None:
        """Take in a ticket."""
        ticket = waiting.ticket
        tier = self.tiers.setdefault(ticket.tier_rank, Tier())
        account = tier.accounts.get(ticket.account)
        if account is None:
            account = Account(tier.virtual_time, {lane: [] for lane in LANES})
            tier.accounts[ticket.account] = account
        if account.count == 0:
            account.start_tag = max(account.start_tag, tier.virtual_time)
        entry = (waiting.order, next(self.numbers), waiting)
        heapq.heappush(account.lanes[waiting.lane], entry)
        account.count += 1
        account.oldest_arrival = min(account.oldest_arrival, waiting.arrived)
        tier.count += 1
        tier.seconds += waiting.seconds
        waiting.is_queued = True
        self.tickets[ticket.ticket_id] = waiting

    def remove(self, ticket_id: ids.TicketId) -> WaitingTicket | None:
        """Take out a ticket; its entry in the heap goes when it reaches the top."""
        waiting = self.tickets.pop(ticket_id, None)
        if waiting is None:
            return None
        waiting.is_queued = False
        ticket = waiting.ticket
        tier = self.tiers[ticket.tier_rank]
        account = tier.accounts[ticket.account]
        account.count -= 1
        tier.count -= 1
        tier.seconds -= waiting.seconds
        if account.count == 0:
            account.oldest_arrival = math.inf
            for heap in account.lanes.values():
                heap.clear()
            if account.start_tag <= tier.virtual_time:
                del tier.accounts[ticket.account]
        return waiting

    def charge(self, ticket: messages.Ticket, tokens: float) -> None:
        """Charge granted work to its account; negative tokens are given back."""
        tier = self.tiers.get(ticket.tier_rank)
        account = None if tier is None else tier.accounts.get(ticket.account)
        if account is None:
            return
        if tokens > 0:
            tier.virtual_time = max(tier.virtual_time, account.start_tag)
        account.start_tag = max(account.start_tag + tokens, 0.0)

    def ranks(self) -> list[int]:
        """Return the tiers with queued tickets, highest first."""
        return sorted(rank for rank, tier in self.tiers.items() if tier.count)

    def below(self, rank: int) -> list[WaitingTicket]:
        """Return the tickets of lower tiers, lowest tier first."""
        lower = [w for w in self.tickets.values() if w.ticket.tier_rank > rank]
        return sorted(lower, key=lambda w: -w.ticket.tier_rank)

    def has_below(self, rank: int) -> bool:
        """Tell whether anything of a lower tier is queued."""
        return any(r > rank and tier.count for r, tier in self.tiers.items())

    def backlog_seconds(self, rank: int) -> float:
        """Return the predicted work that goes before a new ticket of a tier."""
        found = (tier.seconds for r, tier in self.tiers.items() if r <= rank)
        return max(0.0, sum(found))
