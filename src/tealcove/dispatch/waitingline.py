"""Tickets that wait for a slot, their order, and which of them can't be in time."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

import msgspec

from tealcove import ids
from tealcove.dispatch import backendview, inflow, messages
from tealcove.resources import kinds

# Seconds kept free between a predicted end and the instant that it's needed at:
# ways between instances and to the caller, and the granularity of ticks.
MARGIN = 0.08
# The most that requests still to come may take of the slots in a forecast: what is
# learnt of speeds and arrivals is never so exact that nothing at all is left.
MOST_TAKEN = 0.9


class Waiting(msgspec.Struct):
    """A ticket in the line."""

    ticket: messages.Ticket
    since: ids.Instant
    told: ids.Instant
    # When the caller hopes for the first event; infinite without a goal.
    goal_at: ids.Instant
    # After this instant a start makes no sense any more.
    start_by: ids.Instant
    # Seconds to the first token at the best server, with nothing else running.
    best_first: float

    def is_late(self, now: ids.Instant) -> bool:
        """Tell whether the goal can't be met any more."""
        return now + self.best_first > self.goal_at


class Forecast(msgspec.Struct, frozen=True):
    """What becomes of the line if the slots are freed as predicted."""

    # Tickets that would start too late, in order, and in how many seconds.
    hopeless: tuple[tuple[Waiting, float], ...]


def order(waiting: Waiting, now: ids.Instant) -> tuple[int, bool, float]:
    """Return a ticket's place: rank, then goals in reach, then the next to leave.

    Late tickets go behind those of their rank that can still be in time: under
    overload, the order of deadlines alone would make one after the other late.
    """
    is_late = waiting.is_late(now)
    at = waiting.start_by if is_late else waiting.goal_at
    return (waiting.ticket.tier_rank, is_late, at)


def forecast(
    line: Iterable[Waiting],
    servers: Iterable[backendview.BackendView],
    arriving: inflow.Inflow,
    now: ids.Instant,
) -> Forecast:
    """Play the line through, each ticket taking the slot that is free first.

    Requests with a better rank that are still to come go before those that wait. Were
    they left out, a ticket would seem to start soon until the very end: at 2.2 times
    the load, callers of the middle rank waited through their whole deadline in vain.
    """
    slots = free_at(servers, now)
    if not slots:
        overdue = [(waiting, 0.0) for waiting in line if now > waiting.start_by]
        return Forecast(tuple(overdue))
    heapq.heapify(slots)
    hopeless = []
    left: dict[int, float] = {}
    for waiting in line:
        at, name, server = slots[0]
        rank = waiting.ticket.tier_rank
        if rank not in left:
            taken = arriving.before(rank, now) / len(slots)
            left[rank] = 1.0 - min(MOST_TAKEN, taken)
        seconds = max(0.0, at - now) / left[rank]
        if now + seconds > waiting.start_by:
            hopeless.append((waiting, seconds))
            continue
        length = server.total_seconds(waiting.ticket, 0.0)
        heapq.heapreplace(slots, (max(at, now) + length, name, server))
    return Forecast(tuple(hopeless))


def free_at(
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
