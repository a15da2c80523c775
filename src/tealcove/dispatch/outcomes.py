"""What the end of a request tells of its backend server, for the goal scheduler."""

from __future__ import annotations

import logbook

from tealcove import ids
from tealcove.dispatch import backendview, messages

log = logbook.Logger("dispatch")

# Outcomes of requests that the server has certainly not rejected.
KNOWN_OUTCOMES = (messages.Outcome.COMPLETED, messages.Outcome.NOT_SENT)


def record(
    server: backendview.BackendView,
    done: messages.Done,
    run: backendview.Run | None,
    is_path_lost: bool,
    now: ids.Instant,
) -> None:
    """Update a server's statistics, and pause it if it can't be reached.

    `run` is the request's, if it held a slot. A lost path says nothing of the server.
    """
    if done.is_rejected:
        running = len(server.runs.keys() - {done.ticket_id})
        seconds = 0.0 if run is None else now - run.started
        server.restrictions.rejections.record(running, seconds, now)
    if done.outcome is messages.Outcome.COMPLETED:
        server.record_success()
        server.last_activity = now
    elif done.outcome is messages.Outcome.CANCELLED:
        return
    elif is_path_lost:
        log.info("{} isn't paused: {} by a lost path", server.name, done.outcome.value)
    elif done.outcome is messages.Outcome.FAILED:
        server.record_failure()
    else:
        record_unreachable(server, done, now)


def record_unreachable(
    server: backendview.BackendView, done: messages.Done, now: ids.Instant
) -> None:
    """Pause a server that couldn't be reached."""
    server.record_failure()
    server.pause.begin(now)
    log.info(
        "{} is paused for {:.1f} s: {}",
        server.name,
        server.pause.until - now,
        done.outcome.value,
    )
