"""Messages of membership."""

from __future__ import annotations

import enum

import msgspec

from tealcove import ids
from tealcove.peers import endpoint, message


class Lifecycle(enum.Enum):
    """How far an instance has come in its life."""

    JOINING = "joining"
    SERVING = "serving"
    LEAVING = "leaving"
    GONE = "gone"


class Heartbeat(message.Message):
    """What an instance tells each peer several times a second."""

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    lifecycle: Lifecycle
    data_centre: ids.DataCentreId
    # Where callers reach it, and where its peers do.
    host: str
    http_port: int
    peer_host: str
    peer_port: int
    # The revision of the configuration that is in force on the instance.
    revision: ids.Revision
    # Addresses "ip:port" of the peers that the sender heard lately.
    known: tuple[str, ...] = ()
    # Checksum of the marks against crashing requests that the sender knows. The
    # marks themselves go by messages of their own, so that heartbeats stay small.
    marks: int = 0
    # The revision of the list of backend servers, where that is followed apart.
    servers_revision: ids.Revision = ids.Revision(0)
    # Grows with each change of the other fields but `known`: heartbeats that are passed
    # on by several instances may arrive in another order than they were sent in.
    change: int = 0
    # What the instance's processor can do, in classes of twice as much each. The
    # strongest do the work that isn't spread over all.
    strength: int = 0
    # What its link can carry, in classes of twice as much each.
    link_class: int = 0
    # Whether the store serves it, as far as it has tried lately.
    reaches_store: bool = True

    @property
    def endpoint(self) -> endpoint.Endpoint:
        """Where the instance listens for messages."""
        return endpoint.Endpoint(self.peer_host, self.peer_port)


class DigestEntry(msgspec.Struct, frozen=True, array_like=True):
    """One instance's heartbeat, and the number by which the relay means it."""

    number: int
    heartbeat: Heartbeat


class Digest(message.Message):
    """What a relay passes on of the heartbeats that it has got itself."""

    # The relay's own heartbeat.
    relay: Heartbeat
    # Those that are new to whoever gets this, or all of them.
    entries: tuple[DigestEntry, ...]
    # The numbers of all that were heard lately.
    heard: tuple[int, ...]


class AskDigest(message.Message):
    """Asks a relay for all entries, since a number isn't known."""
