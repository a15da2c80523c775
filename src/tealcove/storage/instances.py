"""The platform's list of live and leaving instances, which may lag."""

from __future__ import annotations

import abc
import enum

import msgspec

from tealcove import ids


class ListedKind(enum.Enum):
    """The type of a listed process."""

    INSTANCE = "instance"
    BACKEND_SERVER = "backend_server"


class ListedState(enum.Enum):
    """The state of a listed process, as the platform saw it some seconds ago."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedInstance(msgspec.Struct, frozen=True):
    """An entry of the list; `peer_port` is 0 for a backend server."""

    name: str
    kind: ListedKind
    state: ListedState
    host: str
    http_port: int
    peer_port: int
    data_centre: ids.DataCentreId


class InstanceList(abc.ABC):
    """Lists the live and leaving processes as of some seconds ago."""

    @abc.abstractmethod
    async def listed(self) -> tuple[ListedInstance, ...]:
        """Return all entries; raises PlatformUnavailableError."""

    @abc.abstractmethod
    def forget_own(self) -> None:
        """Check with the next call that this instance is listed."""
