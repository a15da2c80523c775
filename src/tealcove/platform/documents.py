"""Decodes the documents that operators and backend servers write into the store."""

from __future__ import annotations

import enum
from typing import Annotated, Any, TypeVar

import msgspec

from tealcove import checked, count, decoding, errors, ids
from tealcove.catalog import declared
from tealcove.limits import limit
from tealcove.platform import names

T = TypeVar("T")

MILLISECONDS = 1000.0
# Rank of a route without one: after all routes that have one.
DEFAULT_RANK = 9
DEFAULT_TIMEOUT_MS = 30_000.0
# The largest number that messages between instances can hold.
MAX_VERSION = 2**63 - 1
# The largest TCP port number.
MAX_PORT = 65_535


class WireShare(msgspec.Struct):
    """One of several services of a route."""

    service: str
    weight: float = 1.0


class WireRoute(msgspec.Struct):
    """A route as the operator writes it."""

    name: str
    host: str
    prefix: str
    # Not a media type: whether requests may be repeated, and whether they stream.
    type: str = ""
    timeout_ms: float = DEFAULT_TIMEOUT_MS
    goal_ms: float = 0.0
    priority: checked.Whole = DEFAULT_RANK
    service: str = ""
    # Replaces `service`.
    split: tuple[WireShare, ...] = ()
    attempts: checked.Whole = 1
    public: bool = False
    resumable: bool = False
    gap_target_ms: float = 0.0


class WireEngine(msgspec.Struct):
    """Settings shared by the engines of a service."""

    # Output tokens per event of a stream.
    stride: checked.Whole = 1


class WireService(msgspec.Struct):
    """A service as the operator writes it."""

    name: str
    engine: WireEngine | None = None
    # Requests a second that a cold server bears; 0: any.
    cold_per_s: float = 0.0


class WireLimits(msgspec.Struct):
    """Limits on callers' requests."""

    max_header_bytes: checked.Whole = 16 * 1024
    max_body_bytes: checked.Whole = 4 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class WireTenant(msgspec.Struct):
    """A client account as the operator writes it."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: checked.Whole | None = None
    # Unit of the rate and burst below: tokens if "token", otherwise requests.
    unit: str = ""
    plain_tokens: checked.Whole = 1
    rate_per_s: float = 0.0
    burst: float = 0.0


class WireConfiguration(msgspec.Struct):
    """The complete configuration as the operator writes it."""

    # Rises with each configuration; one that is no count is taken for none.
    version: Any = 0
    routes: tuple[WireRoute, ...] = ()
    services: tuple[WireService, ...] = ()
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: tuple[WireTenant, ...] = ()


class WireServerState(enum.Enum):
    """The state that a backend server reports."""

    READY = "ready"
    DRAINING = "draining"


class WireServer(msgspec.Struct):
    """A backend server's row, as the server writes it.

    Fields that every server writes are required, even if unused: a row without one
    comes from another writer, and requests sent to its address would fail.
    """

    service: str
    # IP:PORT.
    addr: str
    zone: str
    # The version of its software; unlike `born` it's the same after a restart.
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=declared.MAX_SLOTS)]
    state: WireServerState
    cold_left_ms: float
    seq: int
    # Unix time of its start in milliseconds; absent where servers don't restart.
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)] = 0


def decode_configuration(content: bytes) -> declared.Catalog:
    """Decode the operator's configuration; raises PlatformError."""
    found = decode(content, WireConfiguration)
    return declared.Catalog(
        routes=tuple(route_of(route) for route in found.routes),
        services=tuple(service_of(service) for service in found.services),
        accounts=tuple(account_of(tenant) for tenant in found.tenants),
        keys={
            key: ids.AccountId(tenant.name)
            for tenant in found.tenants
            for key in tenant.api_keys
        },
        bounds=declared.Bounds(
            header_bytes=found.limits.max_header_bytes,
            body_bytes=found.limits.max_body_bytes,
            header_seconds=found.limits.header_timeout_ms / MILLISECONDS,
            idle_seconds=found.limits.idle_timeout_ms / MILLISECONDS,
        ),
        version=version_of(found.version),
    )


def version_of(written: object) -> int:
    """Return the operator's number of a configuration; 0: it has none."""
    is_count = isinstance(written, int) and not isinstance(written, bool)
    return written if is_count and 0 < written <= MAX_VERSION else 0


def route_of(route: WireRoute) -> declared.Route:
    """Convert a route to the internal representation."""
    is_stream = route.type == names.STREAM
    repeat = declared.Repeat.ONCE
    if route.type == names.SAFE:
        repeat = declared.Repeat.SAFE
    elif is_stream and route.resumable:
        repeat = declared.Repeat.RESUMABLE
    shares = tuple(
        declared.Share(ids.PoolId(share.service), share.weight) for share in route.split
    )
    return declared.Route(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        shares=shares or (declared.Share(ids.PoolId(route.service), 1.0),),
        repeat=repeat,
        is_stream=is_stream,
        timeout=route.timeout_ms / MILLISECONDS,
        goal=route.goal_ms / MILLISECONDS,
        rank=route.priority,
        attempts=max(1, route.attempts),
        is_public=route.public,
        gap=route.gap_target_ms / MILLISECONDS,
    )


def service_of(service: WireService) -> declared.Service:
    """Convert a service to the internal representation."""
    tokens = 0 if service.engine is None else service.engine.stride
    return declared.Service(ids.PoolId(service.name), tokens, service.cold_per_s)


def account_of(tenant: WireTenant) -> declared.Account:
    """Convert a client account to the internal representation."""
    bound = None
    if tenant.rate_per_s > 0:
        bound = limit.Limit(tenant.rate_per_s, tenant.burst)
    return declared.Account(
        name=ids.AccountId(tenant.name),
        rank=tenant.priority,
        limit=bound,
        counts_tokens=tenant.unit == names.TOKENS,
        plain_tokens=tenant.plain_tokens,
    )


def decode_server(key: str, content: bytes) -> declared.BackendServer:
    """Decode a backend server's row; raises PlatformError."""
    found = decode(content, WireServer)
    host, _, number = found.addr.rpartition(":")
    port = count.read(number)
    if port is None or not 0 < port <= MAX_PORT or not checked.is_ip(host):
        raise unreadable(f"{found.addr!r} is no address")
    state = declared.ServerState.READY
    if found.state is WireServerState.DRAINING:
        state = declared.ServerState.LEAVING
    return declared.BackendServer(
        name=ids.BackendServerId(key),
        service=ids.PoolId(found.service),
        host=host,
        port=port,
        data_centre=ids.DataCentreId(found.zone),
        slots=found.slots,
        state=state,
        start=ids.ServerStart(found.born),
        version=ids.SoftwareVersion(found.version),
        cold_seconds=found.cold_left_ms / MILLISECONDS,
    )


def decode(content: bytes, kind: type[T]) -> T:
    """Decode a document; raises PlatformError."""
    try:
        return decoding.decode_json(content, kind)
    except msgspec.MsgspecError as error:
        raise unreadable(str(error)) from error


def unreadable(problem: str) -> errors.PlatformError:
    """Return the error for an unusable document."""
    return errors.PlatformError(
        f"a document in the store can't be read: {problem}",
        "Compare its writer's version with docs/design/platform.md.",
    )
