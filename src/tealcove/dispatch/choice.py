"""Choice of a ticket's backend server: the one that ends it soonest, in time."""

from __future__ import annotations

import math
from collections.abc import Iterable

import msgspec

from tealcove import ids
from tealcove.dispatch import messages, queue, servers

# Safety margin in seconds between a request's predicted end and its deadline.
DEADLINE_MARGIN = 0.05
# Least slack in seconds of a ticket that may probe a slow server.
PROBE_SLACK = 0.5


class Estimate(msgspec.Struct, frozen=True):
    """The predicted service time of a ticket on the best of several servers."""

    # Seconds on an idle server, and in a full batch.
    idle: float
    loaded: float
    # Seconds in a full batch on the slowest server that isn't a straggler.
    slowest: float
    # Tokens to compute: uncached prompt and output.
    tokens: float


def estimate(
    ticket: messages.Ticket, candidates: Iterable[servers.ServerState]
) -> Estimate:
    """Return the best prediction over some servers; zero seconds if there are none."""
    idle = loaded = least = math.inf
    slowest = 0.0
    output = ticket.output_tokens
    for server in candidates:
        uncached = server.uncached_tokens(ticket)
        alone, full_batch = server.predict_bounds(uncached, output)
        if uncached < least:
            least = uncached
        if alone < idle:
            idle = alone
        if full_batch < loaded:
            loaded = full_batch
        if server.pace is servers.Pace.NORMAL and slowest < full_batch < math.inf:
            slowest = full_batch
    if least == math.inf:
        return Estimate(0.0, 0.0, 0.0, ticket.prompt_tokens + output)
    return Estimate(idle, loaded, slowest, least + output)


def choose(
    waiting: queue.WaitingTicket,
    candidates: Iterable[servers.ServerState],
    now: ids.Instant,
    queued_count: int,
    keep_reserved: bool,
) -> servers.ServerState | None:
    """Return the server with a free slot that ends a ticket soonest, in time.

    `queued_count` is the length of the queue: queued tickets will soon fill the batch,
    so that a prediction for the current batch would be too optimistic.
    """
    best = None
    best_seconds = waiting.deadline - DEADLINE_MARGIN - now
    for server in candidates:
        if not has_free_slot(server, waiting, keep_reserved):
            continue
        if server.name in waiting.ticket.excluded:
            continue
        if not waiting.ticket.may_run_on(server.spec.version):
            continue
        if server.pace is not servers.Pace.NORMAL and is_probe(server, waiting, now):
            return server
        if server.pace is servers.Pace.PROBED:
            continue
        others = min(server.spec.slots - 1, len(server.running) + queued_count)
        seconds = server.predict_total(waiting.ticket, others)
        if seconds <= best_seconds:
            best, best_seconds = server, seconds
    return best


def has_free_slot(
    server: servers.ServerState, waiting: queue.WaitingTicket, keep_reserved: bool
) -> bool:
    """Tell whether a server has a free slot that a ticket may take."""
    if waiting.lane.is_short:
        return server.free_slots() > 0
    return server.free_long_slots(keep_reserved) > 0


def is_probe(
    server: servers.ServerState, waiting: queue.WaitingTicket, now: ids.Instant
) -> bool:
    """Tell whether a ticket may probe a server that was too slow.

    A probe has to be expendable: short, idempotent, and in time if the server has
    recovered. It isn't predicted by the server's own speed: by that no ticket would
    ever be in time there, and the server would never be probed.
    """
    if now < server.probe_at or not server.is_empty():
        return False
    if not (waiting.lane.is_short and waiting.lane.idempotent):
        return False
    if now > waiting.start_by - PROBE_SLACK:
        return False
    ticket = waiting.ticket
    baseline_seconds = server.baseline.predict(
        ticket.prompt_tokens, ticket.output_tokens, 0.0
    )
    return now + baseline_seconds + DEADLINE_MARGIN <= waiting.deadline
