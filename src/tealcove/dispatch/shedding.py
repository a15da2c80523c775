"""Choice of the requests to preempt or refuse when a cell is overloaded."""

from __future__ import annotations

import math

from tealcove import ids
from tealcove.dispatch import choice, fleet, queue, servers

# Seconds from the preemption of a request until its slot can be granted again.
PREEMPT_SECONDS = 0.05
# Seconds after which an unanswered preemption counts as lost.
PREEMPT_TIMEOUT = 0.2
# Seconds before a ticket's latest start from which lower tiers are preempted for it.
RISK_LEAD = 0.3
# A request past this share of its predicted time is preempted only if there is no
# other candidate: it would free its slot soon anyway.
NEARLY_DONE_PART = 0.7
SHORTEST_RETRY = 0.5
LONGEST_RETRY = 60.0


def retry_after(waiting: queue.Queue, cell_fleet: fleet.Fleet, rank: int) -> float:
    """Return the seconds until the backlog ahead of a tier is cleared."""
    backlog = waiting.backlog_seconds(rank) / max(1, cell_fleet.slots)
    return min(LONGEST_RETRY, max(SHORTEST_RETRY, backlog))


def slot_frees_in_time(
    waiting: queue.WaitingTicket,
    cell_fleet: fleet.Fleet,
    ahead: int,
    now: ids.Instant,
) -> bool:
    """Tell whether enough slots are predicted to become free in time anyway.

    `ahead` is the number of tickets that would take such a slot first.
    """
    by = waiting.start_by - 2 * PREEMPT_SECONDS
    if now >= by:
        return False
    ends = 0
    for server in cell_fleet.usable(waiting.ticket):
        if server.pace is not servers.Pace.NORMAL:
            continue
        for running in server.running.values():
            # An overdue request has proved its prediction wrong.
            ends += now < running.started + running.expected_total <= by
    return ends > ahead


def find_victim(
    waiting: queue.WaitingTicket, cell_fleet: fleet.Fleet, now: ids.Instant
) -> servers.RunningTicket | None:
    """Return the running request to preempt for a ticket, or None.

    Lowest tier first; within a tier, requests that aren't nearly done first, then by
    least prefill spent. Only servers that would still end the ticket in time count.
    """
    best = None
    best_key: tuple[int, bool, float] | None = None
    left = waiting.deadline - choice.DEADLINE_MARGIN - PREEMPT_SECONDS - now
    for server in cell_fleet.usable(waiting.ticket):
        if server.isolated_ticket is not None or server.pace is servers.Pace.PROBED:
            continue
        others = max(0, len(server.running) - 1)
        if server.predict_total(waiting.ticket, others) > left:
            continue
        for running in server.running.values():
            if not may_preempt(running, waiting, now):
                continue
            key = victim_key(running, now)
            if best_key is None or key < best_key:
                best, best_key = running, key
    return best


def may_preempt(
    running: servers.RunningTicket, waiting: queue.WaitingTicket, now: ids.Instant
) -> bool:
    """Tell whether a request may be preempted for a ticket."""
    ticket = running.ticket
    if not ticket.idempotent or ticket.tier_rank <= waiting.ticket.tier_rank:
        return False
    return running.preempted_at is None and running.orphaned_until is None


def victim_key(
    running: servers.RunningTicket, now: ids.Instant
) -> tuple[int, bool, float]:
    """Return the sort key of requests to preempt, first one least."""
    expected = running.expected_total
    is_nearly_done = (
        expected != math.inf and now - running.started > NEARLY_DONE_PART * expected
    )
    return (-running.ticket.tier_rank, is_nearly_done, running.prefill_spent(now))
