"""Which of the servers with a free slot a ticket gets."""

from __future__ import annotations

import math
from collections.abc import Iterable

from tealcove import ids
from tealcove.dispatch import backendview, exposure, waitingline

# A failing server counts as slower by up to so many times.
FAILURE_PENALTY = 3.0
# A server in another data centre than the entry counts as slower by so many seconds:
# among servers that are alike, prompts and answers stay within the data centre.
REMOTE_PENALTY_SECONDS = 0.02
# A server on trial goes before all others, while it's to get a request at all: were it
# to be chosen like them, one that fails would hardly be chosen again, and never judged.
PREFERENCE_SECONDS = 1e6


def choose(
    waiting: waitingline.Waiting,
    free: Iterable[backendview.BackendView],
    exposed: exposure.Exposure,
    now: ids.Instant,
) -> backendview.BackendView | None:
    """Return the server where a ticket ends soonest, or None to wait on.

    A ticket that would miss its goal at each free server, and could still meet it
    elsewhere, waits for a better one. None goes where it can't end in time: a slow
    engine would work on outputs that their callers never see whole.
    """
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
        if ticket.data_centre not in ("", server.spec.data_centre):
            cost += REMOTE_PENALTY_SECONDS
        if exposed.is_preferred(server.spec) and now + first <= waiting.goal_at:
            cost -= PREFERENCE_SECONDS
        if cost < best_cost:
            best, best_cost, best_first = server, cost, first
    if best is None:
        return None
    misses_goal = now + best_first > waiting.goal_at
    if misses_goal and not waiting.is_late(now):
        return None
    return best
