"""On which instances a revision is in force, as known from heartbeats."""

from __future__ import annotations

import abc

import msgspec

from tealcove import ids


class InForce(msgspec.Struct, frozen=True, kw_only=True):
    """How many serving instances have a revision, or a higher one, in force."""

    instances: int
    of: int
    # Seconds for which it has been in force on all; None if it isn't.
    since: float | None


class StatusSource(abc.ABC):
    """Knows the revisions in force on all serving instances."""

    @abc.abstractmethod
    def in_force(self, revision: ids.Revision, now: ids.Instant) -> InForce:
        """Return on how many instances a revision is in force."""
