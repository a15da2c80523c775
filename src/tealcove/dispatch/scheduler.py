"""What decides for a cell, as an abstract base class."""

from __future__ import annotations

import abc
from collections.abc import Iterable

import msgspec

from tealcove import ids
from tealcove.backends import engine
from tealcove.dispatch import (
    backendview,
    cells,
    exposure,
    holds,
    messages,
    suspicion,
)

# A slot or ticket that its entry hasn't told of for so long is given up. Entries
# tell of all their tickets every requester.REFRESH_INTERVAL, so that three such
# messages are missing. Kept for 8 s, the slots of untold requests cost a successor
# a third of its work after a takeover.
REFRESH_TIMEOUT = 3.5


class Outgoing(msgspec.Struct, frozen=True):
    """A message that the dispatcher owes an entry."""

    entry: ids.InstanceId
    message: messages.Grant | messages.Refusal | messages.Preempt | messages.Queued


class Scheduler(abc.ABC):
    """Decides which ticket of a cell gets which backend server, and when.

    Each method is told what has happened and the present time, and returns what
    the entries are to be told.
    """

    def use_suspicion(self, suspicion: suspicion.Suspicion) -> None:
        """Ask this from now on which requests may crash their server.

        A scheduler that takes no care of these keeps this empty default.
        """
        return

    def use_exposure(self, exposed: exposure.Exposure) -> None:
        """Ask this from now on which versions of servers may get a request.

        A scheduler that knows no versions keeps this empty default.
        """
        return

    def backend_views(self) -> Iterable[backendview.BackendView]:
        """Return what is known of each server; a scheduler may have no such views."""
        return ()

    def gather(self, until: ids.Instant) -> None:
        """Grant nothing before an instant that isn't urgent.

        Called when another dispatcher may have held the cell: the entries are
        about to tell of running requests, whose slots would be granted twice.
        """
        return

    def cached(
        self, server: ids.BackendServerId, events: engine.CacheEvents, now: ids.Instant
    ) -> list[Outgoing]:
        """Learn what changed in a server's prefix cache."""
        return []

    def last_event(self, server: ids.BackendServerId) -> int:
        """Return the number of the last cache event that was taken in."""
        return 0

    def hold_back(
        self, server: ids.BackendServerId, now: ids.Instant
    ) -> list[Outgoing]:
        """Give a server no new work until a load report says that it serves.

        A scheduler that keeps this default learns it by the next load report.
        """
        return []

    def report_hold(self, report: holds.HoldReport) -> holds.HoldReport:
        """Return the report with what this scheduler knows of the server."""
        return report

    def depth(self) -> tuple[int, int]:
        """Return how many tickets are queued, and how many hold a slot.

        A scheduler that keeps this default shows neither in the metrics.
        """
        return 0, 0

    @abc.abstractmethod
    def configure(self, cell: cells.Cell, now: ids.Instant) -> list[Outgoing]:
        """Take over a new form of the cell, such as a server that leaves."""

    @abc.abstractmethod
    def enqueue(self, ticket: messages.Ticket, now: ids.Instant) -> list[Outgoing]:
        """Take in a ticket, or a running request that another dispatcher granted."""

    @abc.abstractmethod
    def withdraw(self, ticket_id: ids.TicketId, now: ids.Instant) -> list[Outgoing]:
        """Forget a ticket; a slot that it was granted is free again."""

    @abc.abstractmethod
    def progress(self, progress: messages.Progress, now: ids.Instant) -> list[Outgoing]:
        """Learn that a request's first token has come."""

    @abc.abstractmethod
    def done(self, done: messages.Done, now: ids.Instant) -> list[Outgoing]:
        """Learn how a request ended; its slot is free again."""

    @abc.abstractmethod
    def report(
        self,
        server: ids.BackendServerId,
        load: engine.LoadReport | None,
        now: ids.Instant,
    ) -> list[Outgoing]:
        """Take in a load report; None when the server couldn't be reached."""

    @abc.abstractmethod
    def lose_entry(self, entry: ids.InstanceId, now: ids.Instant) -> list[Outgoing]:
        """Learn that an entry is gone, with all its callers."""

    @abc.abstractmethod
    def tick(self, now: ids.Instant) -> list[Outgoing]:
        """Decide what only the passing of time decides."""
