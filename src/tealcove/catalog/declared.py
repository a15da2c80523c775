"""Declared routes, services, client accounts and backend servers."""

from __future__ import annotations

import enum

import msgspec

from tealcove import ids
from tealcove.limits import limit

# More requests at once than any backend server runs: tables by slots are kept of each.
MAX_SLOTS = 10_000


class Repeat(enum.Enum):
    """Whether a request may be retried after an incomplete answer."""

    # Idempotent: it may run any number of times.
    SAFE = "safe"
    # It may run only once; it must not be sent again after a lost answer.
    ONCE = "once"
    # A stream: another run may resume after the last forwarded event.
    RESUMABLE = "resumable"


class Share(msgspec.Struct, frozen=True):
    """A target service of a route, and its weight among the targets."""

    service: ids.PoolId
    weight: float


class Route(msgspec.Struct, frozen=True):
    """The services and limits for requests of one host and path prefix."""

    name: str
    host: str
    prefix: str
    shares: tuple[Share, ...]
    repeat: Repeat
    is_stream: bool
    # Seconds within which the caller must get a final answer.
    timeout: float
    # Target in seconds for the answer, or for a stream's first event.
    goal: float
    # Priority, 0 is the highest; an account's rank overrides it.
    rank: int
    # Maximum number of backend servers that one request is sent to.
    attempts: int
    # Whether callers need no key.
    is_public: bool = False
    # Target in seconds for the gap between two events of a stream.
    gap: float = 0.0


class Service(msgspec.Struct, frozen=True):
    """A pool of interchangeable backend servers."""

    name: ids.PoolId
    # Output tokens per event of a stream; 0 if the servers aren't model engines.
    event_tokens: int = 0
    # Requests a second that each of its servers bears while it is cold; 0: any.
    cold_rate: float = 0.0


class Account(msgspec.Struct, frozen=True):
    """A client account with its priority and rate limit."""

    name: ids.AccountId
    # None: the route's rank applies.
    rank: int | None
    # None: no limit.
    limit: limit.Limit | None
    # Whether the limit counts tokens; otherwise each request counts as 1.
    counts_tokens: bool = True
    # Tokens charged for a request that declares none.
    plain_tokens: int = 1

    def cost(self, tokens: int) -> int:
        """Return the charge for a request; 0 tokens: it declares none."""
        if not self.counts_tokens:
            return 1
        return tokens or self.plain_tokens


class Bounds(msgspec.Struct, frozen=True):
    """Size and time limits for callers' requests, in bytes and seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class Catalog(msgspec.Struct, frozen=True, dict=True):
    """The operator's whole configuration."""

    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    accounts: tuple[Account, ...] = ()
    # Account by key.
    keys: dict[str, ids.AccountId] = {}
    bounds: Bounds = Bounds()
    # The operator's own number, which rises with each configuration; 0: none.
    version: int = 0


class ServerState(enum.Enum):
    """The state that a backend server reports."""

    READY = "ready"
    LEAVING = "leaving"


class BackendServer(msgspec.Struct, frozen=True):
    """One incarnation of a backend server."""

    name: ids.BackendServerId
    service: ids.PoolId
    host: str
    port: int
    data_centre: ids.DataCentreId
    # Maximum number of concurrent requests.
    slots: int
    state: ServerState
    start: ids.ServerStart = ids.NO_START
    version: ids.SoftwareVersion = ids.SoftwareVersion("")
    # Seconds for which it was still cold when it wrote its entry.
    cold_seconds: float = 0.0
