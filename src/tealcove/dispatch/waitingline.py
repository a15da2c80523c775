"""Tickets that wait for a slot, their order, and which of them can't be in time.

Whom to take next, whom to refuse and whom to let wait is one question. Tiers of client
accounts go strictly one before the other. Within a tier, requests whose goal is in
reach go first, and among these the kind and length that has been served least of what
is due to it. Strictly by urgency, a kind that takes a slot for a fifth of the others'
time would get next to nothing, and the most urgent one hardly more for it.
Requests whose goal is missed take what is left, short and urgent ones first. Whoever
would start too late by the forecast is refused at once.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping

import msgspec

from tealcove import ids
from tealcove.dispatch import backendview, inflow, messages, shares
from tealcove.resources import kinds

# Seconds kept free between a predicted end and the instant that it's needed at:
# ways between instances and to the caller, and the granularity of ticks.
MARGIN = 0.08
# The most that requests still to come may take of the slots in a forecast: what is
# learnt of speeds and arrivals is never so exact that nothing at all is left.
MAX_ARRIVAL_SHARE = 0.9


class Waiting(msgspec.Struct):
    """A ticket in the line."""

    ticket: messages.Ticket
    since: ids.Instant
    refreshed_at: ids.Instant
    # When the caller hopes for the first event, by its first try; infinite without.
    goal_at: ids.Instant
    # After this instant a start makes no sense any more.
    start_by: ids.Instant
    # The request must have ended by then.
    end_by: ids.Instant
    # Seconds to the first token at the best server, with nothing else running.
    best_first: float
    # Seconds for which it holds a slot, at the mean of the servers.
    slot_seconds: float
    flow: shares.Flow

    def is_late(self, now: ids.Instant) -> bool:
        """Tell whether the goal can't be met any more."""
        return now + self.best_first > self.goal_at


class SortKey(msgspec.Struct, frozen=True, order=True):
    """A ticket's place in the line; compared field by field."""

    tier: int
    is_late: bool
    # In reach: how well its flow is served. Late: what serving it costs.
    score: float
    # When it must start, or hopes for its first event.
    at: float


class Forecast(msgspec.Struct, frozen=True):
    """What becomes of the line if the slots are freed as predicted."""

    # Tickets that would start too late, in order, and in how many seconds.
    too_late: tuple[tuple[Waiting, float], ...]


def sort_key(
    waiting: Waiting, levels: Mapping[shares.Flow, float], now: ids.Instant
) -> SortKey:
    """Return a ticket's place.

    Late tickets go behind those of their tier that can still be in time: under
    overload, the order of deadlines alone would make one after the other late. Among
    late ones the short go first, since more of them can be served.
    """
    flow = waiting.flow
    if waiting.is_late(now):
        cost = waiting.slot_seconds * (1 + flow.kind.urgency)
        return SortKey(flow.kind.tier, True, cost, waiting.start_by)
    return SortKey(flow.kind.tier, False, levels.get(flow, 0.0), waiting.goal_at)


def forecast(
    line: Iterable[Waiting],
    servers: Iterable[backendview.BackendView],
    arriving: inflow.Inflow,
    now: ids.Instant,
) -> Forecast:
    """Play the line through, each ticket taking the slot that is free first.

    Requests that are still to come and go before a ticket are reckoned with: those of
    better tiers, and for one that is late, or will be, those of its own tier as well.
    Were they left out, a ticket would seem to start soon until the very end, and its
    caller would wait through the whole deadline in vain.
    """
    slots = slot_release_times(servers, now)
    if not slots:
        overdue = [(waiting, 0.0) for waiting in line if now > waiting.start_by]
        return Forecast(tuple(overdue))
    heapq.heapify(slots)
    count = len(slots)
    too_late = []
    for waiting in line:
        at, name, server = slots[0]
        tier = waiting.flow.kind.tier
        free_in = max(0.0, at - now)
        seconds = free_in / remaining_share(tier, arriving, count, now)
        if now + seconds + waiting.best_first > waiting.goal_at:
            seconds = free_in / remaining_share(tier + 1, arriving, count, now)
        if now + seconds > waiting.start_by:
            too_late.append((waiting, seconds))
            continue
        length = server.total_seconds(waiting.ticket, 0.0)
        heapq.heapreplace(slots, (max(at, now) + length, name, server))
    return Forecast(tuple(too_late))


def remaining_share(
    tier: int, arriving: inflow.Inflow, slots: int, now: ids.Instant
) -> float:
    """Return the part of the slots that arrivals of better tiers leave."""
    return 1.0 - min(MAX_ARRIVAL_SHARE, arriving.load_above(tier, now) / slots)


def slot_release_times(
    servers: Iterable[backendview.BackendView], now: ids.Instant
) -> list[tuple[float, int, backendview.BackendView]]:
    """Return when each slot is predicted to be free, with a number to tell apart."""
    found: list[tuple[float, int, backendview.BackendView]] = []
    for server in servers:
        if server.spec.state is not kinds.ServerState.SERVING:
            continue
        ends = [max(now, run.started + run.total) for run in server.runs.values()]
        ends.sort()
        free = max(0, server.spec.slots - len(ends))
        start = max(now, server.paused_until)
        ends = [start] * free + ends[: server.spec.slots]
        for at in ends:
            found.append((at, len(found), server))
    return found
