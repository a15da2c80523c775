"""The kinds of resources and the shape of each one's spec."""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from tealcove import ids

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}\Z")]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
Fraction = Annotated[float, msgspec.Meta(ge=0, lt=1)]
ByteCount = Annotated[int, msgspec.Meta(ge=0)]
KeyHash = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}\Z")]

# Servers of one pool that one dispatcher's queue serves at the most.
CELL_SERVERS = 16


class Kind(enum.Enum):
    """A kind of resource, by its name in the API's paths."""

    CLIENT_ACCOUNT = "client-accounts"
    SERVICE_TIER = "service-tiers"
    ENGINE_POOL = "engine-pools"
    SERVICE_POOL = "service-pools"
    MODEL = "models"
    ADAPTER = "adapters"
    ROUTING_RULE = "routing-rules"


class Spec(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base class of the specs, which operators write."""


class ClientAccountSpec(Spec):
    """A customer of the deployment, with its keys and limits."""

    tier: Name
    # SHA-256 of each bearer key in hex; the keys themselves are never stored.
    key_hashes: tuple[KeyHash, ...] = ()
    # Tokens (prompt and output together) a second in the long run; None: no limit.
    tokens_per_second: Positive | None = None
    # Tokens that may be used at once after a pause; None: ten seconds' worth.
    burst_tokens: Positive | None = None


class ServiceTierSpec(Spec):
    """A class of service; requests of a lower rank number go first."""

    rank: Annotated[int, msgspec.Meta(ge=0, le=99)]
    # For requests that name no deadline of their own, in seconds.
    default_deadline: Positive = 60.0


class ServerState(enum.Enum):
    """What an operator wants of a backend server."""

    SERVING = "serving"
    LEAVING = "leaving"


class EngineRole(enum.Enum):
    """Which part of a request a model engine computes."""

    BOTH = "both"
    PREFILL = "prefill"
    DECODE = "decode"


class BackendServerSpec(Spec):
    """One backend server of a pool; `host` is an IP number."""

    name: Name
    host: str
    port: Port
    data_centre: Name
    # Requests that it runs at once; further ones would queue inside it.
    slots: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 8
    # Hardware generation: servers of one are expected to be equally fast.
    generation: str = ""
    role: EngineRole = EngineRole.BOTH
    state: ServerState = ServerState.SERVING
    # Tells its starts apart where it says when it started.
    start: ids.ServerStart = ids.NO_START
    # Of its software; empty where it doesn't say.
    version: str = ""


class EnginePoolSpec(Spec):
    """Model engines that serve the same models."""

    servers: tuple[BackendServerSpec, ...] = ()
    models: tuple[Name, ...] = ()
    adapters: tuple[Name, ...] = ()
    # Share of each server's slots that long work may not take.
    short_share: Fraction = 0.25
    # Requests of at most this many tokens (uncached prompt and output) are short.
    short_tokens: Annotated[int, msgspec.Meta(ge=1)] = 256
    # Whether its servers refuse an order that carries an old fencing number.
    checks_fencing: bool = False


class ServicePoolSpec(Spec):
    """Servers of a plain service."""

    servers: tuple[BackendServerSpec, ...] = ()


class ModelSpec(Spec):
    """A model in one version; the weight store knows it by `weights`."""

    version: str
    weights: str = ""
    # Size of the weights, by which loads get their turn at the weight store.
    weight_bytes: ByteCount = 0


class AdapterSpec(Spec):
    """An adapter of a model in one version."""

    model: Name
    version: str
    weights: str = ""
    # Size of the weights, by which loads get their turn at the weight store.
    weight_bytes: ByteCount = 0


class RoutingRuleSpec(Spec, kw_only=True):
    """Which requests go to which pool; the lowest `order` that matches wins."""

    order: Annotated[int, msgspec.Meta(ge=0)] = 100
    pool: Name
    path_prefix: str = "/"
    # Empty: every method.
    methods: tuple[str, ...] = ()
    # Empty: every model (and requests that name none).
    models: tuple[Name, ...] = ()
    # Empty: every client account.
    accounts: tuple[Name, ...] = ()
    # Whether a call may be repeated; the caller's header can only say "no".
    idempotent: bool = True


SPECS: dict[Kind, type[Spec]] = {
    Kind.CLIENT_ACCOUNT: ClientAccountSpec,
    Kind.SERVICE_TIER: ServiceTierSpec,
    Kind.ENGINE_POOL: EnginePoolSpec,
    Kind.SERVICE_POOL: ServicePoolSpec,
    Kind.MODEL: ModelSpec,
    Kind.ADAPTER: AdapterSpec,
    Kind.ROUTING_RULE: RoutingRuleSpec,
}


class Metadata(msgspec.Struct, frozen=True, kw_only=True):
    """What the system keeps about a resource."""

    name: Name
    # Revision of its last change; what `If-Match` must name.
    revision: ids.Revision
    # How many times its spec has been written.
    generation: int
    changed_by: str


class Resource(msgspec.Struct, frozen=True, kw_only=True):
    """A resource as it stands in a copy of the configuration."""

    kind: Kind
    metadata: Metadata
    spec: Spec
