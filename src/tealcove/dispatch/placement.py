"""Choice of a server with a free slot for a ticket."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from tealcove import ids
from tealcove.dispatch import (
    backendview,
    exposure,
    marginal,
    messages,
    waitingticket,
)

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
# A request that takes longer avoids loaded servers: it is still there when the load has
# risen further, and can't be moved.
LONG_SECONDS = 2.0


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
    engine would compute outputs that their callers never receive in full. An urgent or
    long request avoids servers that state a high load, and any request those where a
    stream would exceed its longest gap, if another one meets its goal.
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
    best = unloaded = None
    is_best_avoided = False
    is_late = waiting.is_late(now)
    for server in free:
        pending = server.pending(now)
        first, cost = server.predict(ticket, pending, now)
        is_avoided = is_affected(ticket, cost) and server.load.is_high(now)
        is_avoided = is_avoided or marginal.exceeds_gap(server, ticket, now)
        if now + cost > waiting.end_by:
            continue
        cost += marginal.delay_seconds(server, now)
        cost *= 1.0 + FAILURE_PENALTY * server.failures
        if server.restrictions.may_reject(now):
            cost += REJECTION_PENALTY_SECONDS
        if ticket.data_centre not in ("", server.spec.data_centre):
            cost += REMOTE_PENALTY_SECONDS
        is_in_time = now + first <= waiting.goal_at
        if exposed.is_preferred(server.spec) and is_in_time:
            cost -= PREFERENCE_SECONDS
        if best is None or cost < best.cost:
            best = Found(server, first, cost)
            is_best_avoided = is_avoided
        is_fit = not is_avoided and (is_late or is_in_time)
        if is_fit and (unloaded is None or cost < unloaded.cost):
            unloaded = Found(server, first, cost)
    return unloaded if is_best_avoided and unloaded is not None else best


def is_affected(ticket: messages.Ticket, seconds: float) -> bool:
    """Tell whether a request of so many seconds avoids servers with a high load."""
    return ticket.urgency == 0 or seconds >= LONG_SECONDS
