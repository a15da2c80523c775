"""Messages of membership."""

from __future__ import annotations

import enum

import msgspec

from tealcove import ids
from tealcove.peers import endpoint, message


class Lifecycle(enum.Enum):
    """The lifecycle state of an instance."""

    JOINING = "joining"
    SERVING = "serving"
    LEAVING = "leaving"
    GONE = "gone"


class Heartbeat(message.Message):
    """The state that an instance sends to its peers several times a second."""

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    lifecycle: Lifecycle
    data_centre: ids.DataCentreId
    # Addresses for callers and for peers.
    host: str
    http_port: int
    peer_host: str
    peer_port: int
    # The revision of the configuration that is in force on the instance.
    revision: ids.Revision
    # Addresses "ip:port" of the peers that the sender considers alive.
    known: tuple[str, ...] = ()
    # Checksum of the sender's marks against crashing requests. The marks themselves
    # have messages of their own, so that heartbeats stay small.
    marks: int = 0
    # The revision of the list of backend servers, where it is followed separately.
    servers_revision: ids.Revision = ids.Revision(0)
    # Incremented with each change of the other fields but `known`: heartbeats that
    # several relays forward may arrive out of order.
    change: int = 0
    # Processor capacity in classes, each twice the one before. The strongest instances
    # do the work that is not spread over all.
    strength: int = 0
    # Network bandwidth in classes, each twice the one before.
    link_class: int = 0
    # Whether the store answered this instance's recent calls.
    reaches_store: bool = True
    # The operator's own number of the configuration in force; 0: none.
    configuration_version: int = 0
    # Whether the instance knows newer entries of backend servers than the store, which
    # was restored from a copy.
    withholds_servers: bool = False
    # The port at `peer_host` for requests that are passed on for others; 0: none.
    relay_port: int = 0
    # Whether the instance reaches backend servers, as far as it knows.
    reaches_servers: bool = True
    # Checksum of the sender's records of parts of prompts, like `marks`.
    parts: int = 0
    # What the instance's processor and link can carry, in hundredths of the weakest
    # machine's; 0: as its classes say.
    capacity: int = 0
    # The part of its capacity that it can use at present, in hundredths.
    headroom: int = 100
    # Checksum of the ordered weights of accounts that the sender keeps; 0: it keeps
    # none, by its settings or release, and isn't sent any.
    weights: int = 0

    @property
    def endpoint(self) -> endpoint.Endpoint:
        """The address at which the instance listens for messages."""
        return endpoint.Endpoint(self.peer_host, self.peer_port)


class DigestEntry(msgspec.Struct, frozen=True, array_like=True):
    """One instance's heartbeat and the number that the relay assigned to it."""

    number: int
    heartbeat: Heartbeat


class Digest(message.Message):
    """The heartbeats that a relay received directly and forwards."""

    # The relay's own heartbeat.
    relay: Heartbeat
    # Heartbeats that are new to the recipient, or all of them.
    entries: tuple[DigestEntry, ...]
    # Numbers of all instances with a recent heartbeat.
    heard: tuple[int, ...]


class AskDigest(message.Message):
    """Requests all entries from a relay, after an unknown number."""
