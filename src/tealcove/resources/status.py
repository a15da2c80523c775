"""Where a revision is in force, as the daemon knows it from heartbeats."""

from __future__ import annotations

import abc

import msgspec

from tealcove import ids


class InForce(msgspec.Struct, frozen=True, kw_only=True):
    """On how many of the serving instances a revision, or a higher one, is in force."""

    instances: int
    of: int
    # Seconds since it is in force on all of them; None while it isn't.
    since: float | None


class StatusSource(abc.ABC):
    """Knows the revisions in force on all serving instances."""

    @abc.abstractmethod
    def in_force(self, revision: ids.Revision, now: ids.Instant) -> InForce:
        """Tell where a revision is in force."""
