"""Routes, services, client accounts and backend servers, as they are declared."""

from __future__ import annotations

import enum

import msgspec

from tealcove import ids
from tealcove.limits import limit


class Repeat(enum.Enum):
    """What may be done with a request that was sent and has no whole answer."""

    # It may run any number of times.
    SAFE = "safe"
    # It may run once; after a lost answer nobody may send it again.
    ONCE = "once"
    # A stream: a further run may go on after the last event that was passed on.
    RESUMABLE = "resumable"


class Share(msgspec.Struct, frozen=True):
    """A service that a route leads to, and its part of the route's requests."""

    service: ids.PoolId
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Where requests of one host and path prefix go, and on what terms."""

    name: str
    host: str
    prefix: str
    shares: tuple[Share, ...]
    repeat: Repeat
    is_stream: bool
    # Seconds after which the caller must have a final answer.
    timeout: float
    # Seconds to the answer, or to a stream's first event, that callers hope for.
    goal: float
    # 0 goes first; an account's own rank goes before it.
    rank: int
    # Backend servers that one request may be sent to.
    attempts: int
    # Whether callers need no key.
    is_public: bool = False
    # Seconds between two events of a stream that callers put up with.
    gap: float = 0.0


class Service(msgspec.Struct, frozen=True):
    """A pool of backend servers that answer alike."""

    name: ids.PoolId
    # Output tokens in one event of a stream; 0: no model engines.
    event_tokens: int = 0


class Account(msgspec.Struct, frozen=True):
    """A client account: who may call, and how much."""

    name: ids.AccountId
    # Absent: the route's rank counts.
    rank: int | None
    # Absent: no limit.
    limit: limit.Limit | None
    # Whether the limit counts tokens; otherwise each request counts as 1.
    counts_tokens: bool = True
    # What a request costs in tokens that names none.
    plain_tokens: int = 1

    def cost(self, tokens: int) -> int:
        """Return what a request is charged; 0 tokens: it names none."""
        if not self.counts_tokens:
            return 1
        return tokens or self.plain_tokens


class Bounds(msgspec.Struct, frozen=True):
    """What callers may send, and how slowly; sizes in bytes, times in seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class Catalog(msgspec.Struct, frozen=True, dict=True):
    """A whole configuration of the operator's."""

    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    accounts: tuple[Account, ...] = ()
    # Account by key.
    keys: dict[str, ids.AccountId] = {}
    bounds: Bounds = Bounds()


class ServerState(enum.Enum):
    """What a backend server says of itself."""

    READY = "ready"
    LEAVING = "leaving"


class BackendServer(msgspec.Struct, frozen=True):
    """One incarnation of a backend server."""

    name: ids.BackendServerId
    service: ids.PoolId
    host: str
    port: int
    data_centre: ids.DataCentreId
    # Requests that it works on at once.
    slots: int
    state: ServerState
    start: ids.ServerStart = ids.NO_START
    # Of its software.
    version: str = ""
