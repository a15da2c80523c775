"""Test data of the quarantine."""

from __future__ import annotations

from tealcove import ids
from tealcove.dispatch import messages
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


def ticket(number: int, entry: str = "e1", digest: str = DIGEST) -> messages.Ticket:
    """Return a ticket whose deadline is in ten seconds."""
    return messages.Ticket(
        ticket_id=ids.TicketId(f"t{number}"),
        request_id=ids.RequestId(f"r{number}"),
        cell=ids.CellId("engines/0"),
        entry=ids.InstanceId(entry),
        tier_rank=0,
        account=ids.AccountId("a"),
        idempotent=True,
        prompt_tokens=1,
        output_tokens=1,
        prefix=(),
        remaining=10.0,
        digest=digest,
    )


def grant(number: int, server: str, alone: bool = False) -> messages.Grant:
    """Return the grant of a ticket."""
    return messages.Grant(
        ticket_id=ids.TicketId(f"t{number}"),
        cell=ids.CellId("engines/0"),
        server=ids.BackendServerId(server),
        host="127.0.0.1",
        port=1,
        alone=alone,
    )
