"""Test data for the quarantine."""

from __future__ import annotations

from tealcove import ids
from tealcove.quarantine import marks, partledger, parts

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


def part_crash(server: str, digest: str, at: float, ran: float = 0.1) -> parts.Crash:
    """Return a crash of a server that had run a request for some seconds."""
    sent = ids.Instant(at - ran)
    return parts.Crash(ids.BackendServerId(server), digest, sent, ids.Instant(at))


def new_parts() -> partledger.PartLedger:
    """Return an empty ledger of parts with a quarantine of SECONDS."""
    return partledger.PartLedger(SECONDS)
