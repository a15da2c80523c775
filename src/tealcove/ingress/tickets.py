"""Accepted requests, and tickets built from their routes and callers' headers."""

from __future__ import annotations

import math

import msgspec

from tealcove import ids
from tealcove.admission import localrefusals
from tealcove.catalog import declared
from tealcove.dispatch import messages, pending
from tealcove.ingress import call

# Callers abandon a stream after this much silence: the longest of two seconds, a
# multiple of the goal for the first event, and a multiple of the goal for gaps.
MIN_PATIENCE = 2.0
PATIENCE_GOAL_FACTOR = 4.0
PATIENCE_GAP_FACTOR = 8.0


class EntryInstance(msgspec.Struct, frozen=True):
    """The instance that received a request, and its data centre."""

    name: ids.InstanceId
    data_centre: ids.DataCentreId


class AcceptedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request with everything that was decided at its acceptance."""

    call: call.Call
    route: declared.Route
    service: ids.PoolId
    event_tokens: int
    account: declared.Account | None
    arrived: ids.Instant
    # When the final response must be sent.
    deadline: ids.Instant
    digest: str
    # Whether any account has a rank.
    has_tiers: bool

    @property
    def tier_rank(self) -> int:
        """Return the account's rank, or the route's if the account has none.

        If no account has a rank, all requests are in one tier. If the routes' ranks
        were tiers then, the least urgent route would be starved under overload.
        """
        if not self.has_tiers:
            return 0
        if self.account is None or self.account.rank is None:
            return self.route.rank
        return self.account.rank

    @property
    def account_name(self) -> ids.AccountId:
        """Return the account's name; empty for callers of public routes."""
        return ids.AccountId("") if self.account is None else self.account.name

    @property
    def description(self) -> str:
        """Return its account and kind, for log lines."""
        return describe(self.account_name, self.route)

    @property
    def is_repeatable(self) -> bool:
        """Return whether it may run again after a lost response."""
        return self.route.repeat is not declared.Repeat.ONCE

    @property
    def resumes_stream(self) -> bool:
        """Return whether its caller has received a part of its stream already."""
        is_resumable = self.route.repeat is declared.Repeat.RESUMABLE
        return is_resumable and bool(self.call.last_event)


def describe(account: ids.AccountId | None, route: declared.Route | None) -> str:
    """Return an account and a kind of requests, as far as known, for log lines."""
    if route is None:
        return f"account {account or 'none'}, route unknown"
    return f"account {account or 'none'}, route {route.name}, urgency {route.rank}"


def new_ticket(
    accepted: AcceptedRequest,
    cell: ids.CellId,
    entry: EntryInstance,
    excluded: tuple[ids.BackendServerId, ...],
    has_events: bool,
    now: ids.Instant,
    version: ids.SoftwareVersion | None = None,
    wants_copy: bool = False,
    copy_at: ids.BackendServerId | None = None,
) -> pending.PendingTicket:
    """Return a ticket for the next attempt of a request.

    `has_events` means that the caller already received part of its stream, so that
    the goal for the next gap applies in place of the goal for the first event.
    `version` is the one that began the stream; None: any may run the request.
    `wants_copy` and `copy_at`: see messages.Ticket.
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
        # A resumed stream is measured from its last event, not from a first attempt.
        caller_remaining=0.0
        if has_events or copy_at is not None
        else caller_remaining(accepted, now),
        version=version,
        parts=accepted.call.parts,
        gap=route.gap if route.is_stream else 0.0,
        body_bytes=len(accepted.call.body),
        event_tokens=max(1, accepted.event_tokens),
        wants_copy=wants_copy,
        copy_at=copy_at,
    )
    return pending.PendingTicket(ticket, accepted.deadline, None)


def arrival(
    accepted: AcceptedRequest, cell: ids.CellId, now: ids.Instant
) -> localrefusals.Arrival:
    """Return what decides whether a request is refused before a ticket is made."""
    work = accepted.call.work
    return localrefusals.Arrival(
        request_id=accepted.call.request_id,
        cell=cell,
        tier_rank=accepted.tier_rank,
        urgency=accepted.route.rank,
        account=accepted.account_name,
        digest=accepted.digest,
        prompt_tokens=work.prompt_tokens,
        output_tokens=work.output_tokens,
        goal=remaining_goal(accepted.route, now - accepted.arrived, False),
        caller_remaining=caller_remaining(accepted, now),
        resumes_stream=accepted.resumes_stream,
    )


def caller_remaining(accepted: AcceptedRequest, now: ids.Instant) -> float:
    """Return the seconds until the caller's own deadline; 0 if unknown."""
    if accepted.call.caller_timeout is None:
        return 0.0
    return max(0.0, accepted.arrived + accepted.call.caller_timeout - now)


def remaining_goal(route: declared.Route, waited: float, has_events: bool) -> float:
    """Return the seconds left to the goal; 0: no goal, tiny: missed."""
    if has_events and route.gap > 0.0:
        return route.gap
    if route.goal <= 0.0:
        return 0.0
    return max(math.ulp(1.0), route.goal - waited)


def stream_patience(route: declared.Route) -> float:
    """Return the seconds of silence after which a stream's caller disconnects."""
    return max(
        MIN_PATIENCE,
        PATIENCE_GOAL_FACTOR * route.goal,
        PATIENCE_GAP_FACTOR * route.gap,
    )
