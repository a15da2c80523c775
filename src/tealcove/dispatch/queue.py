"""The queue of a cell: by tier, fair among client accounts, then by least slack."""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Iterator

import msgspec

from tealcove import ids
from tealcove.dispatch import messages


class Lane(msgspec.Struct, frozen=True):
    """A class of tickets that may use the same slots."""

    is_short: bool
    idempotent: bool
    # Whether they have to run alone on their server.
    is_suspect: bool = False


SUSPECTS = Lane(is_short=False, idempotent=False, is_suspect=True)
# The lanes of tickets that may share a server.
SHARED = tuple(Lane(s, i) for s in (True, False) for i in (True, False))
LANES = (*SHARED, SUSPECTS)


class WaitingTicket(msgspec.Struct, eq=False):
    """A ticket in the queue."""

    ticket: messages.Ticket
    # When it was first queued, at any dispatcher.
    arrived: ids.Instant
    deadline: ids.Instant
    # The latest start in time, on the best server with a full batch.
    start_by: ids.Instant
    # From when on lower tiers may be preempted for it.
    risk_from: ids.Instant
    lane: Lane
    # Predicted seconds of service.
    service_seconds: float
    # Whether its deadline left any time to wait when it was queued.
    had_slack: bool = True
    # When to look next for a slot to preempt.
    next_attempt: ids.Instant = ids.Instant(0.0)
    # Until when to wait for the slot of a request that was preempted for it.
    preemption_deadline: ids.Instant = ids.Instant(0.0)
    is_queued: bool = False
    # When its entry last sent it.
    refreshed_at: ids.Instant = ids.Instant(0.0)

    @property
    def order(self) -> tuple[float, float]:
        """The sort key within its account: least slack first, then the oldest."""
        return (self.start_by, self.arrived)


class Account(msgspec.Struct, eq=False):
    """The tickets of one client account in one tier."""

    # Start tag of start-time fair queueing, in tokens divided by the account's weight.
    start_tag: float
    # Heaps of (order, number, ticket); the number keeps tickets from being compared.
    lanes: dict[Lane, list[tuple[tuple[float, float], int, WaitingTicket]]]
    count: int = 0
    # The earliest arrival since the account's queue was last empty.
    oldest_arrival: float = math.inf

    def tickets_in_order(self, lanes: list[Lane]) -> Iterator[WaitingTicket]:
        """Yield the queued tickets of some lanes in order, skipping removed ones.

        Each lane's heap is traversed only as far as the caller iterates, mostly just
        to the first ticket.
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
    """Yield a heap's entries in order without changing the heap."""
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
        # The start tag of the last ticket granted. Accounts that become backlogged
        # start from it, so that idle time earns no credit.
        self.virtual_time = 0.0
        self.accounts: dict[ids.AccountId, Account] = {}
        self.count = 0
        # Predicted seconds of service of all queued tickets.
        self.queued_seconds = 0.0


class Queue:
    """All queued tickets of a cell, by id and in scheduling order."""

    def __init__(self) -> None:
        self.tickets: dict[ids.TicketId, WaitingTicket] = {}
        self.tiers: dict[int, Tier] = {}
        self.numbers = itertools.count()

    def __len__(self) -> int:
        return len(self.tickets)

    def add(self, waiting: WaitingTicket) -> None:
        """Add a ticket."""
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
        tier.queued_seconds += waiting.service_seconds
        waiting.is_queued = True
        self.tickets[ticket.ticket_id] = waiting

    def remove(self, ticket_id: ids.TicketId) -> WaitingTicket | None:
        """Remove a ticket; its heap entry is dropped once it reaches the top."""
        waiting = self.tickets.pop(ticket_id, None)
        if waiting is None:
            return None
        waiting.is_queued = False
        ticket = waiting.ticket
        tier = self.tiers[ticket.tier_rank]
        account = tier.accounts[ticket.account]
        account.count -= 1
        tier.count -= 1
        tier.queued_seconds -= waiting.service_seconds
        if account.count == 0:
            account.oldest_arrival = math.inf
            for heap in account.lanes.values():
                heap.clear()
            if account.start_tag <= tier.virtual_time:
                del tier.accounts[ticket.account]
        return waiting

    def charge(self, ticket: messages.Ticket, tokens: float) -> None:
        """Charge tokens to a ticket's account; negative ones are a refund.

        By its weight: an account of weight 2 is charged half for the same tokens.
        """
        tier = self.tiers.get(ticket.tier_rank)
        account = None if tier is None else tier.accounts.get(ticket.account)
        if account is None:
            return
        if tokens > 0:
            tier.virtual_time = max(tier.virtual_time, account.start_tag)
        account.start_tag = max(account.start_tag + tokens / weight_of(ticket), 0.0)

    def ranks(self) -> list[int]:
        """Return the tiers with queued tickets, highest first."""
        return sorted(rank for rank, tier in self.tiers.items() if tier.count)

    def tickets_below(self, rank: int) -> list[WaitingTicket]:
        """Return the tickets of lower tiers, lowest tier first."""
        lower = [w for w in self.tickets.values() if w.ticket.tier_rank > rank]
        return sorted(lower, key=lambda w: -w.ticket.tier_rank)

    def has_below(self, rank: int) -> bool:
        """Tell whether a ticket of a lower tier is queued."""
        return any(r > rank and tier.count for r, tier in self.tiers.items())

    def backlog_seconds(self, rank: int) -> float:
        """Return the predicted seconds of service ahead of a tier's new ticket."""
        counted = (tier.queued_seconds for r, tier in self.tiers.items() if r <= rank)
        return max(0.0, sum(counted))


def weight_of(ticket: messages.Ticket) -> float:
    """Return the weight of a ticket's account; one that can't be used counts as 1."""
    weight = 1.0 if ticket.weight is None else ticket.weight
    return weight if 0.0 < weight < math.inf else 1.0
