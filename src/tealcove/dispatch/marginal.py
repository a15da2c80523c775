"""What one more request costs the requests that run on a server."""

from __future__ import annotations

from tealcove import ids
from tealcove.dispatch import backendview, messages


def delay_seconds(server: backendview.BackendView, now: ids.Instant) -> float:
    """Return the seconds by which one more request delays all running ones."""
    growth = server.load.batch_growth(len(server.runs))
    if not growth:
        return 0.0
    left = sum(max(0.0, run.started + run.total - now) for run in server.runs.values())
    return growth * left


def exceeds_gap(
    server: backendview.BackendView, ticket: messages.Ticket, now: ids.Instant
) -> bool:
    """Tell whether a stream would miss its longest gap if a ticket were started.

    The ticket's own stream counts if the server usually keeps its gap, and a running
    one if it keeps it without the ticket: others lose nothing more.
    """
    running = len(server.runs)
    present = server.token_seconds * server.load.factor(now)
    with_it = present * server.load.batch_factor(running + 1)
    if misses_gap(ticket, with_it) and not misses_gap(ticket, server.token_seconds):
        return True
    if not server.load.batch_growth(running):
        return False
    without = present * server.load.batch_factor(running)
    return any(
        misses_gap(run.ticket, with_it) and not misses_gap(run.ticket, without)
        for run in server.runs.values()
    )


def misses_gap(ticket: messages.Ticket, token_seconds: float) -> bool:
    """Tell whether the pauses of a stream exceed the longest that its route allows."""
    return 0.0 < ticket.gap < token_seconds * ticket.event_tokens
