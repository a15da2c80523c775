"""The tickets of requests, from what the routes and callers say."""

from __future__ import annotations

import math

import msgspec

from tealcove import ids
from tealcove.catalog import declared
from tealcove.dispatch import messages, pending
from tealcove.ingress import call

# Callers leave a stream that shows nothing for so long: the longest of two
# seconds, some times their goal and some times the pause that they put up with.
LEAST_PATIENCE = 2.0
GOALS_OF_PATIENCE = 4.0
GAPS_OF_PATIENCE = 8.0
# Ranks of routes beyond this one count as this one.
LOWEST_ROUTE_RANK = 99


class Terms(msgspec.Struct, frozen=True, kw_only=True):
    """What holds for one request, decided when it was accepted."""

    call: call.Call
    route: declared.Route
    service: ids.PoolId
    event_tokens: int
    account: declared.Account | None
    arrived: ids.Instant
    # When the caller must have its final answer.
    deadline: ids.Instant
    digest: str

    @property
    def rank(self) -> int:
        """The rank in the queue: the account's own, and within that the route's.

        Accounts often share one rank. Were the route's left out for these, urgent
        and other routes would wait in one line: on a day with twice the load that
        could be served, 187 of 700 requests of the most urgent kind were refused.
        """
        route = min(self.route.rank, LOWEST_ROUTE_RANK)
        if self.account is None or self.account.rank is None:
            return route * (LOWEST_ROUTE_RANK + 1) + route
        return self.account.rank * (LOWEST_ROUTE_RANK + 1) + route

    @property
    def account_name(self) -> ids.AccountId:
        """The account's name; empty for callers of public routes."""
        return ids.AccountId("") if self.account is None else self.account.name

    @property
    def is_repeatable(self) -> bool:
        """Whether it may run once more after an answer was lost."""
        return self.route.repeat is not declared.Repeat.ONCE


def new(
    terms: Terms,
    cell: ids.CellId,
    entry: ids.InstanceId,
    excluded: tuple[ids.BackendServerId, ...],
    has_events: bool,
    now: ids.Instant,
) -> pending.PendingTicket:
    """Return a ticket for the next sending of a request.

    `has_events` says that the caller has a part of its stream already, so that
    the goal no longer counts but the next pause does.
    """
    work = terms.call.work
    route = terms.route
    waited = now - terms.arrived
    patience = 0.0
    if route.is_stream:
        patience = patience_of(route) - (0.0 if has_events else waited)
    ticket = messages.Ticket(
        ticket_id=ids.new_ticket_id(),
        request_id=terms.call.request_id,
        cell=cell,
        entry=entry,
        tier_rank=terms.rank,
        account=terms.account_name,
        idempotent=terms.is_repeatable,
        prompt_tokens=work.prompt_tokens,
        output_tokens=work.output_tokens,
        prefix=(),
        remaining=terms.deadline - now,
        digest=terms.digest,
        excluded=excluded,
        goal=goal_of(route, waited, has_events),
        patience=max(0.0, patience),
        expected_tokens=work.expected_tokens,
    )
    return pending.PendingTicket(ticket, terms.deadline, None)


def goal_of(route: declared.Route, waited: float, has_events: bool) -> float:
    """Return the seconds left to the goal; 0: there is none, tiny: it's missed."""
    if has_events and route.gap > 0.0:
        return route.gap
    if route.goal <= 0.0:
        return 0.0
    return max(math.ulp(1.0), route.goal - waited)


def patience_of(route: declared.Route) -> float:
    """Return the seconds of silence after which a stream's caller leaves."""
    return max(
        LEAST_PATIENCE,
        GOALS_OF_PATIENCE * route.goal,
        GAPS_OF_PATIENCE * route.gap,
    )
