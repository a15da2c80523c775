"""Tickets that wait for a slot, their order, and which of them can't be in time."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

import msgspec

from tealcove import ids
from tealcove.dispatch import backendview, messages
from tealcove.resources import kinds

# Seconds kept free between a predicted end and the instant that it's needed at:
# ways between instances and to the caller, and the granularity of ticks.
MARGIN = 0.08


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

    # Tickets that would start too late, in order.
    hopeless: tuple[Waiting, ...]
    # Seconds until a slot is free for a ticket that joins the line's end.
    drain: float


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
    now: ids.Instant,
) -> Forecast:
    """Play the line through, each ticket taking the slot that is free first."""
    slots = free_at(servers, now)
    if not slots:
        overdue = tuple(waiting for waiting in line if now > waiting.start_by)
        return Forecast(overdue, 0.0)
    heapq.heapify(slots)
    hopeless = []
    for waiting in line:
        at, name, server = slots[0]
        if max(at, now) > waiting.start_by:
            hopeless.append(waiting)
            continue
        seconds = server.total_seconds(waiting.ticket, 0.0)
        heapq.heapreplace(slots, (max(at, now) + seconds, name, server))
    return Forecast(tuple(hopeless), max(0.0, slots[0][0] - now))


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
