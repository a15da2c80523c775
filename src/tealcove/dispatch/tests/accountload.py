"""Poisson arrivals of several accounts at a goal scheduler, in virtual time."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable

import msgspec

from tealcove import ids
from tealcove.dispatch import (
    accountshares,
    accountuse,
    goal,
    messages,
    scheduler,
)
from tealcove.dispatch.tests import builders

FIRST_SECONDS = 0.1
TOTAL_SECONDS = 0.5
GOAL_SECONDS = 0.6
REMAINING_SECONDS = 8.0
TICK_SECONDS = 0.05
PLAY_SECONDS = 20.0
SERVERS = (5, 5, 5, 5, 5, 5)
# Requests per second that the servers can serve.
CAPACITY = sum(SERVERS) / TOTAL_SECONDS
SEEDS = (1, 2, 3)
# Seconds for which a new dispatcher grants nothing.
GATHER_SECONDS = 0.25


class Weights(accountshares.AccountWeights):
    """Weights that a test states; 1 for all other accounts."""

    def __init__(self, **weights: float) -> None:
        self.weights = weights

    def weight(self, account: ids.AccountId) -> float:
        return self.weights.get(account, 1.0)


class Demand(msgspec.Struct, frozen=True):
    """Requests of an account, per second, from one instant to another."""

    account: str
    rate: float
    begin: float = 0.0
    end: float = PLAY_SECONDS
    # Changes of its tickets.
    changes: dict[str, object] = {}


class Request(msgspec.Struct):
    """A request and when it was granted or refused; None: it wasn't."""

    ticket: messages.Ticket
    at: float
    granted_at: float | None = None
    refused_at: float | None = None
    retry_after: float = 0.0
    grant: messages.Grant | None = None
    has_ended: bool = False

    @property
    def is_in_time(self) -> bool:
        granted_at = self.granted_at
        return (
            granted_at is not None and granted_at - self.at + FIRST_SECONDS <= self.goal
        )

    @property
    def goal(self) -> float:
        return self.ticket.goal


def fair_scheduler(
    weights: accountshares.AccountWeights | None = None,
) -> goal.GoalScheduler:
    """Return a scheduler that shares its slots among accounts."""
    found = builders.goal_scheduler(*SERVERS)
    measured = accountuse.MeasuredShares(builders.CELL, weights or Weights())
    found.use_accounts(measured)
    return found


def arrivals(demands: Iterable[Demand], seed: int) -> list[Request]:
    """Return the requests of some demands in the order of their arrival."""
    chance = random.Random(seed)
    found = []
    for demand in demands:
        at = demand.begin + chance.expovariate(demand.rate)
        while at < demand.end:
            settings = {
                "account": ids.AccountId(demand.account),
                "goal": GOAL_SECONDS,
                "remaining": REMAINING_SECONDS,
                **demand.changes,
            }
            found.append(Request(builders.ticket(**settings), at))
            at += chance.expovariate(demand.rate)
    return sorted(found, key=lambda request: request.at)


class Play:
    """Plays requests against a scheduler; each call or event has its instant."""

    def __init__(self, found: goal.GoalScheduler, requests: list[Request]) -> None:
        self.scheduler: goal.GoalScheduler | None = found
        self.requests = {one.ticket.ticket_id: one for one in requests}
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        for number in range(1, int(PLAY_SECONDS / TICK_SECONDS) + 1):
            self.add(number * TICK_SECONDS, self.tick)
        for one in requests:
            self.add(one.at, lambda at, one=one: self.enqueue(one, at))

    def add(self, at: float, call: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (at, next(self.numbers), call))

    def run(self, until: float = PLAY_SECONDS) -> Play:
        """Play all events until an instant."""
        while self.events and self.events[0][0] <= until:
            at, _, call = heapq.heappop(self.events)
            call(at)
        return self

    def kill(self) -> None:
        """Lose the dispatcher; entries keep their tickets, and servers go on."""
        self.scheduler = None

    def take_over(self, found: goal.GoalScheduler, at: float) -> None:
        """Let entries send all their tickets to a new dispatcher, which gathers."""
        self.scheduler = found
        found.gather(builders.instant(at + GATHER_SECONDS))
        for request in self.requests.values():
            if request.at <= at and not request.has_ended and not request.refused_at:
                resent = resend(request, at)
                self.take(found.enqueue(resent, builders.instant(at)), at)

    def tick(self, at: float) -> None:
        if self.scheduler is None:
            return
        self.take(self.scheduler.tick(builders.instant(at)), at)

    def enqueue(self, request: Request, at: float) -> None:
        if self.scheduler is None:
            return
        self.take(self.scheduler.enqueue(request.ticket, builders.instant(at)), at)

    def take(self, outgoing: list[scheduler.Outgoing], at: float) -> None:
        """Apply the decisions of the scheduler."""
        for refusal in builders.refused(outgoing):
            refused = self.requests[refusal.ticket_id]
            refused.refused_at, refused.retry_after = at, refusal.retry_after
        for grant in builders.granted(outgoing):
            self.requests[grant.ticket_id].granted_at = at
            self.requests[grant.ticket_id].grant = grant
            self.add(at + FIRST_SECONDS, lambda at, grant=grant: self.begin(grant, at))
            self.add(at + TOTAL_SECONDS, lambda at, grant=grant: self.end(grant, at))

    def begin(self, grant: messages.Grant, at: float) -> None:
        if self.scheduler is None:
            return
        progress = messages.Progress(
            ticket_id=grant.ticket_id,
            cell=builders.CELL,
            first_token_seconds=FIRST_SECONDS,
        )
        self.take(self.scheduler.progress(progress, builders.instant(at)), at)

    def end(self, grant: messages.Grant, at: float) -> None:
        self.requests[grant.ticket_id].has_ended = True
        if self.scheduler is None:
            return
        done = builders.done(
            grant, first_token_seconds=FIRST_SECONDS, total_seconds=TOTAL_SECONDS
        )
        self.take(self.scheduler.done(done, builders.instant(at)), at)

    def of(self, *accounts: str) -> list[Request]:
        """Return the requests of some accounts; of all without any."""
        requests = self.requests.values()
        return [r for r in requests if not accounts or r.ticket.account in accounts]


def resend(request: Request, at: float) -> messages.Ticket:
    """Return a request's ticket as its entry sends it to a new dispatcher."""
    waited = at - request.at
    running_on = None if request.grant is None else request.grant.server
    return msgspec.structs.replace(
        request.ticket,
        waited=waited,
        remaining=request.ticket.remaining - waited,
        goal=max(0.001, request.ticket.goal - waited),
        running_on=running_on,
    )


def share_in_time(requests: list[Request]) -> float:
    """Return the share of requests whose first event is in time for the goal."""
    return sum(one.is_in_time for one in requests) / len(requests)


def count_in_time(requests: list[Request]) -> int:
    return sum(one.is_in_time for one in requests)


def count_started(requests: list[Request]) -> int:
    return sum(one.granted_at is not None for one in requests)
