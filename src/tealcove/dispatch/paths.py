"""Whether an instance reaches a backend server, as both schedulers ask."""

from __future__ import annotations

import abc
import typing
from typing import TypeVar

from tealcove import ids
from tealcove.dispatch import messages

# Outcomes of a request whose server can't be reached.
LOST_OUTCOMES = (messages.Outcome.NOT_SENT, messages.Outcome.CRASHED)


class NamedServer(typing.Protocol):
    """A scheduler's state of a server."""

    name: ids.BackendServerId


Named = TypeVar("Named", bound=NamedServer)


class Paths(abc.ABC):
    """Tells whether connections fail because of a server or of the way to it."""

    @abc.abstractmethod
    def is_lost(
        self, instance: ids.InstanceId, server: ids.BackendServerId, now: ids.Instant
    ) -> bool:
        """Tell whether an instance has no path to a server, as far as known."""

    @abc.abstractmethod
    def reaches_all(self, instance: ids.InstanceId) -> bool:
        """Tell whether nothing is known of a lost path of an instance."""

    @abc.abstractmethod
    def is_unreachable(self, server: ids.BackendServerId, now: ids.Instant) -> bool:
        """Tell whether a server that an instance failed to reach is lost for all."""

    def explains(
        self, entry: ids.InstanceId | None, done: messages.Done, now: ids.Instant
    ) -> bool:
        """Tell whether a lost path explains that a request failed.

        Its end says nothing of the server then. `entry` accepted the request, if that
        is known.
        """
        if done.outcome in LOST_OUTCOMES:
            return not self.is_unreachable(done.server, now)
        is_failed = done.outcome is messages.Outcome.FAILED
        return is_failed and entry is not None and self.is_lost(entry, done.server, now)

    def prefer_reached(
        self, entry: ids.InstanceId, servers: list[Named], now: ids.Instant
    ) -> list[Named]:
        """Return the servers to which an entry has a path, or all if there are none."""
        if self.reaches_all(entry):
            return servers
        reached = [s for s in servers if not self.is_lost(entry, s.name, now)]
        return reached or servers


class NoEvidence(Paths):
    """Takes each failure for the server's, where nothing is known of the paths."""

    def is_lost(
        self, instance: ids.InstanceId, server: ids.BackendServerId, now: ids.Instant
    ) -> bool:
        """See Paths."""
        return False

    def reaches_all(self, instance: ids.InstanceId) -> bool:
        """See Paths."""
        return True

    def is_unreachable(self, server: ids.BackendServerId, now: ids.Instant) -> bool:
        """See Paths."""
        return True
