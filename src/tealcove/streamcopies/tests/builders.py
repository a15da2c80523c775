"""Test data for copies of streams."""

from __future__ import annotations

from tealcove import ids
from tealcove.dispatch import backendview, goal, messages
from tealcove.dispatch.tests import builders
from tealcove.resources import kinds
from tealcove.streamcopies import copying

# Bytes a second that suffice for any test.
AMPLE = 1e12


def scheduler(
    *servers: kinds.BackendServerSpec, rate: float = AMPLE
) -> goal.GoalScheduler:
    """Return a scheduler that has streams copied."""
    found = goal.GoalScheduler()
    found.use_copies(copying.BudgetedCopies(rate))
    found.configure(builders.cell(*servers), builders.instant(0.0))
    return found


def stream(**changes: object) -> messages.Ticket:
    """Return the ticket of a stream that runs once."""
    found = {"wants_copy": True, "idempotent": False, "remaining": 8.0, **changes}
    return builders.ticket(**found)


def granted(
    found: goal.GoalScheduler, ticket: messages.Ticket, at: float = 0.0
) -> messages.Grant | None:
    """Return the grant that a ticket gets at once, or None."""
    outgoing = found.enqueue(ticket, builders.instant(at))
    return next(iter(builders.granted(outgoing)), None)


def view(found: goal.GoalScheduler, name: str) -> backendview.BackendView:
    """Return the scheduler's state of a server."""
    return found.views.servers[ids.BackendServerId(name)]
