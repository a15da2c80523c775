"""Choice of a server with a free slot for a ticket."""

from __future__ import annotations

import math
from collections.abc import Iterable

import msgspec

from tealcove import ids
from tealcove.dispatch import backendview, exposure, waitingticket

# A server that fails all requests counts as slower by this multiple of its time.
FAILURE_PENALTY = 3.0
# A server in another data centre than the entry counts as slower by so many seconds, so
# that among similar servers, prompts and answers stay within the data centre.
REMOTE_PENALTY_SECONDS = 0.02
# A server that rejected a request lately counts as slower by so many seconds, so that
# one that works is chosen before it.
REJECTION_PENALTY_SECONDS = 1e3
# Bonus in seconds that puts a server of a version on trial before all others. Chosen by
# time alone, a failing server would hardly get another request, and the trial would
# never end.
PREFERENCE_SECONDS = 1e6


class Found(msgspec.Struct, frozen=True):
    """A server with its predicted seconds to the first event and its cost."""

    server: backendview.BackendView
    first: float
    # Predicted seconds to the end, with penalties and bonuses.
    cost: float


def choose(
    waiting: waitingticket.Waiting,
    free: Iterable[backendview.BackendView],
    exposed: exposure.Exposure,
    now: ids.Instant,
) -> backendview.BackendView | None:
    """Return the server where a ticket ends soonest, or None to keep it waiting.

    A ticket that would miss its goal on every free server, but could still meet it on
    another one, waits. A server on which it can't end in time is never chosen: a slow
    engine would compute outputs that their callers never receive in full.
    """
    return accepted(waiting, cheapest(waiting, free, exposed, now), now)


def accepted(
    waiting: waitingticket.Waiting, found: Found | None, now: ids.Instant
) -> backendview.BackendView | None:
    """Return a server unless the ticket should wait for one that meets its goal."""
    if found is None:
        return None
    misses_goal = now + found.first > waiting.goal_at
    if misses_goal and not waiting.is_late(now):
        return None
    return found.server


def cheapest(
    waiting: waitingticket.Waiting,
    free: Iterable[backendview.BackendView],
    exposed: exposure.Exposure,
    now: ids.Instant,
) -> Found | None:
    """Return the server of the lowest cost on which a ticket ends in time."""
    ticket = waiting.ticket
    best = None
    best_cost = best_first = math.inf
    for server in free:
        pending = server.pending(now)
        first = server.first_seconds(ticket, pending)
        cost = server.total_seconds(ticket, pending)
        if now + cost > waiting.end_by:
            continue
        cost *= 1.0 + FAILURE_PENALTY * server.failures
        if server.restrictions.may_reject(now):
            cost += REJECTION_PENALTY_SECONDS
        if ticket.data_centre not in ("", server.spec.data_centre):
            cost += REMOTE_PENALTY_SECONDS
        if exposed.is_preferred(server.spec) and now + first <= waiting.goal_at:
            cost -= PREFERENCE_SECONDS
        if cost < best_cost:
            best, best_cost, best_first = server, cost, first
    return None if best is None else Found(best, best_first, best_cost)
