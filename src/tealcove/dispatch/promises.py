"""Interface by which an entry keeps the returns that dispatchers promised."""

from __future__ import annotations

import abc

from tealcove import ids
from tealcove.dispatch import messages, pending


class Promises(abc.ABC):
    """The promised returns that passed through this entry."""

    @abc.abstractmethod
    def record(
        self,
        request: pending.PendingTicket,
        refusal: messages.Refusal,
        now: ids.Instant,
    ) -> None:
        """Record a refusal by a ticket's dispatcher, which may promise a return."""

    @abc.abstractmethod
    def inform(
        self, cell: ids.CellId, dispatcher: ids.InstanceId, now: ids.Instant
    ) -> None:
        """Send a cell's promises to a dispatcher that doesn't know them.

        Called before a ticket is sent to it.
        """

    @abc.abstractmethod
    def reassign(self, now: ids.Instant) -> None:
        """Send all promises to the dispatchers that are now first in rank."""


class NoPromises(Promises):
    """Keeps nothing; for dispatchers that promise nothing."""

    def record(
        self,
        request: pending.PendingTicket,
        refusal: messages.Refusal,
        now: ids.Instant,
    ) -> None:
        """See Promises."""

    def inform(
        self, cell: ids.CellId, dispatcher: ids.InstanceId, now: ids.Instant
    ) -> None:
        """See Promises."""

    def reassign(self, now: ids.Instant) -> None:
        """See Promises."""
