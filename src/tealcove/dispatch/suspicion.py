"""What a scheduler asks about requests that may crash their backend server."""

from __future__ import annotations

import abc


class Suspicion(abc.ABC):
    """Knows the requests, by digest of content, that were near a crash."""

    @abc.abstractmethod
    def is_suspect(self, digest: str) -> bool:
        """Tell whether such a request has to run alone on its server."""

    @abc.abstractmethod
    def is_quarantined(self, digest: str) -> bool:
        """Tell whether such a request isn't run at all for now."""


class NoSuspicion(Suspicion):
    """Suspects nothing."""

    def is_suspect(self, digest: str) -> bool:
        """See Suspicion."""
        return False

    def is_quarantined(self, digest: str) -> bool:
        """See Suspicion."""
        return False
