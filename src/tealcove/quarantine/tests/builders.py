"""Test data for the quarantine."""

from __future__ import annotations

from tealcove import ids
from tealcove.quarantine import marks

DIGEST = "d1"
SECONDS = 600.0


def at(seconds: float) -> ids.Instant:
    """Return an instant."""
    return ids.Instant(seconds)


def crash(run: str, server: str, alone: bool = False) -> marks.Crash:
    """Return a crash of a server during a run."""
    return marks.Crash(ids.RequestId(run), ids.BackendServerId(server), alone)


def new_marks() -> marks.Marks:
    """Return empty marks with a quarantine of SECONDS."""
    return marks.Marks(SECONDS)
