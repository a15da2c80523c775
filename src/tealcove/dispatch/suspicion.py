"""Interface to the records of requests that may crash their backend server."""

from __future__ import annotations

import abc

from tealcove import ids
from tealcove.dispatch import messages


class Suspicion(abc.ABC):
    """Identifies requests, by digest of content, that ran during a crash."""

    # Changes whenever the result of a method may have changed.
    version: int = 0

    @abc.abstractmethod
    def is_suspect(self, digest: str) -> bool:
        """Tell whether a request must run alone on its server."""

    @abc.abstractmethod
    def is_quarantined(self, digest: str) -> bool:
        """Tell whether a request must not run for now."""

    @abc.abstractmethod
    def lost(
        self,
        ticket: messages.Ticket,
        server: ids.BackendServerId,
        alone: bool,
        now: ids.Instant,
    ) -> None:
        """Record a request whose backend server was lost while running it."""


class NoSuspicion(Suspicion):
    """Suspects nothing."""

    def is_suspect(self, digest: str) -> bool:
        """See Suspicion."""
        return False

    def is_quarantined(self, digest: str) -> bool:
        """See Suspicion."""
        return False

    def lost(
        self,
        ticket: messages.Ticket,
        server: ids.BackendServerId,
        alone: bool,
        now: ids.Instant,
    ) -> None:
        """See Suspicion."""
