"""Test data of the quarantine."""

from __future__ import annotations

from tealcove import ids
from tealcove.quarantine import marks

DIGEST = "d1"
SECONDS = 600.0


def at(seconds: float) -> ids.Instant:
    """Return an instant."""
    return ids.Instant(seconds)


def crash(run: str, server: str, alone: bool = False) -> marks.Crash:
    """Return a crash of a server under a run."""
    return marks.Crash(ids.RequestId(run), ids.BackendServerId(server), alone)


def new_marks() -> marks.Marks:
    """Return marks that last as long as by default."""
    return marks.Marks(SECONDS)
