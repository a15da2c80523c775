"""Interface by which roll-outs limit the requests to servers of a version."""

from __future__ import annotations

import abc

from tealcove import ids
from tealcove.dispatch import messages
from tealcove.resources import kinds


class Exposure(abc.ABC):
    """Decides which servers may receive a request now, by their versions."""

    @abc.abstractmethod
    def may_receive(self, server: kinds.BackendServerSpec) -> bool:
        """Tell whether a server may receive one more request."""

    def may_resume(self, server: kinds.BackendServerSpec) -> bool:
        """Tell whether a server may go on with a stream that its version began."""
        return self.may_receive(server)

    @abc.abstractmethod
    def is_preferred(self, server: kinds.BackendServerSpec) -> bool:
        """Tell whether a server should be preferred to others for a request."""

    @abc.abstractmethod
    def record_grant(self, server: kinds.BackendServerSpec) -> None:
        """Record that a request was granted to a server."""

    @abc.abstractmethod
    def record_end(
        self, server: kinds.BackendServerSpec, route: str, done: messages.Done
    ) -> None:
        """Record how a request ended on a server."""


class AnyVersion(Exposure):
    """Allows any request on any version."""

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
    """Provides the exposure of each pool."""

    @abc.abstractmethod
    def of_pool(self, pool: ids.PoolId) -> Exposure:
        """Return the limits on the versions of a pool's servers."""


class NoLimits(Exposures):
    """Limits no version of any pool."""

    def of_pool(self, pool: ids.PoolId) -> Exposure:
        """See Exposures."""
        return AnyVersion()
