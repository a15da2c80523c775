"""The platform's lagging list of live and leaving instances."""

from __future__ import annotations

import abc
import enum

import msgspec

from tealcove import ids


class ListedKind(enum.Enum):
    """What a listed process is."""

    INSTANCE = "instance"
    BACKEND_SERVER = "backend_server"


class ListedState(enum.Enum):
    """What the platform believes of a listed process, some seconds ago."""

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
    """Who is live or leaving, as the platform saw it some seconds ago."""

    @abc.abstractmethod
    async def listed(self) -> tuple[ListedInstance, ...]:
        """Return all entries; raises PlatformUnavailableError."""
