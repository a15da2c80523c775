"""What a scheduler asks about requests that may crash their backend server."""

from __future__ import annotations

import abc

from tealcove import ids
from tealcove.dispatch import messages


class Suspicion(abc.ABC):
    """Knows the requests, by digest of content, that were near a crash."""

    # Changes whenever any answer may have changed.
    version: int = 0

    @abc.abstractmethod
    def is_suspect(self, digest: str) -> bool:
        """Tell whether such a request has to run alone on its server."""

    @abc.abstractmethod
    def is_quarantined(self, digest: str) -> bool:
        """Tell whether such a request isn't run at all for now."""

    @abc.abstractmethod
    def lost(
        self,
        ticket: messages.Ticket,
        server: ids.BackendServerId,
        alone: bool,
        now: ids.Instant,
    ) -> None:
        """Learn of a request whose backend server is gone while it ran there."""


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
