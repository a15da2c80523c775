"""Interface to the records of requests that may crash their backend server."""

from __future__ import annotations

import abc

import msgspec

from tealcove import ids
from tealcove.dispatch import messages

# Seconds of writing an answer after which its parts don't crash their server any more:
# a bad part crashes a server as it begins to write.
WRITING_SECONDS = 0.5


class Suspects(msgspec.Struct, frozen=True):
    """What of a request may crash its server."""

    # Requests with one of these in common mustn't run concurrently.
    keys: tuple[str, ...] = ()
    # Whether no other request may run on the server meanwhile.
    must_run_alone: bool = False
    # Whether it must not run yet, since answers to others may decide on it.
    must_wait: bool = False


NOTHING = Suspects()


class Suspicion(abc.ABC):
    """Identifies requests, by their content or a part of it, that crash servers."""

    # Changes whenever the result of a method may have changed.
    version: int = 0

    @abc.abstractmethod
    def suspects(self, ticket: messages.Ticket, now: ids.Instant) -> Suspects:
        """Return what of a request may crash its server."""

    @abc.abstractmethod
    def is_quarantined(self, ticket: messages.Ticket, now: ids.Instant) -> bool:
        """Tell whether a request must not run for now."""

    @abc.abstractmethod
    def judge(self, ticket: messages.Ticket, now: ids.Instant) -> bool:
        """Decide whether a request must not run for now.

        Called by dispatchers only, since they see the answers to all entries.
        """

    @abc.abstractmethod
    def lost(
        self,
        ticket: messages.Ticket,
        server: ids.BackendServerId,
        alone: bool,
        sent: ids.Instant,
        now: ids.Instant,
        is_writing: bool = False,
    ) -> None:
        """Record a request whose backend server was lost while running it.

        `is_writing`: the server had been writing the answer for WRITING_SECONDS.
        """

    @abc.abstractmethod
    def note_loss(self, server: ids.BackendServerId, now: ids.Instant) -> None:
        """Record that a backend server was lost, whatever it ran."""

    @abc.abstractmethod
    def answered(
        self, ticket: messages.Ticket, began: ids.Instant, now: ids.Instant
    ) -> None:
        """Record an answer whose server began to write it at an instant, and lived on.

        It has been written whole, or for WRITING_SECONDS.
        """


class NoSuspicion(Suspicion):
    """Suspects nothing."""

    def suspects(self, ticket: messages.Ticket, now: ids.Instant) -> Suspects:
        """See Suspicion."""
        return NOTHING

    def is_quarantined(self, ticket: messages.Ticket, now: ids.Instant) -> bool:
        """See Suspicion."""
        return False

    def judge(self, ticket: messages.Ticket, now: ids.Instant) -> bool:
        """See Suspicion."""
        return False

    def lost(
        self,
        ticket: messages.Ticket,
        server: ids.BackendServerId,
        alone: bool,
        sent: ids.Instant,
        now: ids.Instant,
        is_writing: bool = False,
    ) -> None:
        """See Suspicion."""

    def answered(
        self, ticket: messages.Ticket, began: ids.Instant, now: ids.Instant
    ) -> None:
        """See Suspicion."""

    def note_loss(self, server: ids.BackendServerId, now: ids.Instant) -> None:
        """See Suspicion."""
