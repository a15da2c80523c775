"""What a scheduler asks about versions of servers that may not get all requests."""

from __future__ import annotations

import abc

from tealcove import ids
from tealcove.dispatch import messages
from tealcove.resources import kinds


class Exposure(abc.ABC):
    """Knows which servers may get a request now, by their versions."""

    @abc.abstractmethod
    def may_receive(self, server: kinds.BackendServerSpec) -> bool:
        """Tell whether a server may get one more request."""

    @abc.abstractmethod
    def is_preferred(self, server: kinds.BackendServerSpec) -> bool:
        """Tell whether a server should rather get a request than others."""

    @abc.abstractmethod
    def record_grant(self, server: kinds.BackendServerSpec) -> None:
        """Learn that a server gets a request."""

    @abc.abstractmethod
    def record_end(
        self, server: kinds.BackendServerSpec, route: str, done: messages.Done
    ) -> None:
        """Learn how a request has ended at a server."""


class AnyVersion(Exposure):
    """Lets every version have every request."""

    def may_receive(self, server: kinds.BackendServerSpec) -> bool:
        """See Exposure."""
        return True

    def is_preferred(self, server: kinds.BackendServerSpec) -> bool:
        """See Exposure."""
        return False

    def record_grant(self, server: kinds.BackendServerSpec) -> None:
        """See Exposure."""

    def record_end(
        self, server: kinds.BackendServerSpec, route: str, done: messages.Done
    ) -> None:
        """See Exposure."""


class Exposures(abc.ABC):
    """Knows the exposure of each pool."""

    @abc.abstractmethod
    def of_pool(self, pool: ids.PoolId) -> Exposure:
        """Return what limits the versions of a pool's servers."""


class NoLimits(Exposures):
    """Limits no version anywhere."""

    def of_pool(self, pool: ids.PoolId) -> Exposure:
        """See Exposures."""
        return AnyVersion()
