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
MIN_PATIENCE = 2.0
PATIENCE_GOAL_FACTOR = 4.0
PATIENCE_GAP_FACTOR = 8.0


class EntryInstance(msgspec.Struct, frozen=True):
    """The instance that has a caller's request, and where it is."""

    name: ids.InstanceId
    data_centre: ids.DataCentreId


class AcceptedRequest(msgspec.Struct, frozen=True, kw_only=True):
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
    # Whether accounts are of different tiers at all.
    has_tiers: bool

    @property
    def tier_rank(self) -> int:
        """The tier's rank: the account's own, or the route's where it has none.

        Where no account has one, all requests are of one tier. Were the routes' ranks
        tiers then, the least urgent kind would get nothing under overload.
        """
        if not self.has_tiers:
            return 0
        if self.account is None or self.account.rank is None:
            return self.route.rank
        return self.account.rank

    @property
    def account_name(self) -> ids.AccountId:
        """The account's name; empty for callers of public routes."""
        return ids.AccountId("") if self.account is None else self.account.name

    @property
    def is_repeatable(self) -> bool:
        """Whether it may run once more after an answer was lost."""
        return self.route.repeat is not declared.Repeat.ONCE


def new_ticket(
    accepted: AcceptedRequest,
    cell: ids.CellId,
    entry: EntryInstance,
    excluded: tuple[ids.BackendServerId, ...],
    has_events: bool,
    now: ids.Instant,
) -> pending.PendingTicket:
    """Return a ticket for the next sending of a request.

    `has_events` says that the caller has a part of its stream already, so that
    the goal no longer counts but the next pause does.
    """
    work = accepted.call.work
    route = accepted.route
    waited = now - accepted.arrived
    patience = 0.0
    if route.is_stream:
        patience = stream_patience(route) - (0.0 if has_events else waited)
    ticket = messages.Ticket(
        ticket_id=ids.new_ticket_id(),
        request_id=accepted.call.request_id,
        cell=cell,
        entry=entry.name,
        data_centre=entry.data_centre,
        route=route.name,
        tier_rank=accepted.tier_rank,
        account=accepted.account_name,
        idempotent=accepted.is_repeatable,
        prompt_tokens=work.prompt_tokens,
        output_tokens=work.output_tokens,
        prefix=(),
        remaining=accepted.deadline - now,
        digest=accepted.digest,
        excluded=excluded,
        goal=remaining_goal(route, waited, has_events),
        patience=max(0.0, patience),
        urgency=route.rank,
        expected_tokens=work.expected_tokens,
        # A stream that goes on counts from its last event, not from a first try.
        caller_remaining=0.0 if has_events else caller_remaining(accepted, now),
    )
    return pending.PendingTicket(ticket, accepted.deadline, None)


def caller_remaining(accepted: AcceptedRequest, now: ids.Instant) -> float:
    """Return the seconds until the caller gives up by its own word; 0: unknown."""
    if accepted.call.caller_timeout is None:
        return 0.0
    return max(0.0, accepted.arrived + accepted.call.caller_timeout - now)


def remaining_goal(route: declared.Route, waited: float, has_events: bool) -> float:
    """Return the seconds left to the goal; 0: there is none, tiny: it's missed."""
    if has_events and route.gap > 0.0:
        return route.gap
    if route.goal <= 0.0:
        return 0.0
    return max(math.ulp(1.0), route.goal - waited)


def stream_patience(route: declared.Route) -> float:
    """Return the seconds of silence after which a stream's caller leaves."""
    return max(
        MIN_PATIENCE,
        PATIENCE_GOAL_FACTOR * route.goal,
        PATIENCE_GAP_FACTOR * route.gap,
    )
