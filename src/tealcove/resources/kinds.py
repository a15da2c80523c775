"""The kinds of resources and the schema of each kind's spec."""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from tealcove import ids

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}\Z")]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
Fraction = Annotated[float, msgspec.Meta(ge=0, lt=1)]
# The largest weight of an account; it is also that of ordered ones.
MAX_ACCOUNT_WEIGHT = 1000.0
AccountWeight = Annotated[float, msgspec.Meta(gt=0, le=MAX_ACCOUNT_WEIGHT)]
ByteCount = Annotated[int, msgspec.Meta(ge=0)]
KeyHash = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}\Z")]

# Maximum number of servers of a pool that share one dispatcher's queue.
CELL_SERVERS = 16


class Kind(enum.Enum):
    """A kind of resource; the value is its name in API paths."""

    CLIENT_ACCOUNT = "client-accounts"
    SERVICE_TIER = "service-tiers"
    ENGINE_POOL = "engine-pools"
    SERVICE_POOL = "service-pools"
    MODEL = "models"
    ADAPTER = "adapters"
    ROUTING_RULE = "routing-rules"


class Spec(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base class of the specs that operators write."""


class ClientAccountSpec(Spec):
    """A client account with its keys and limits."""

    tier: Name
    # SHA-256 of each bearer key in hex; the keys themselves are never stored.
    key_hashes: tuple[KeyHash, ...] = ()
    # Sustained rate of tokens (prompt and output) a second; None: no limit.
    tokens_per_second: Positive | None = None
    # Tokens that may be used in a burst; None: ten seconds' worth of the rate.
    burst_tokens: Positive | None = None
    # Share of the slots beside that of the tier's other accounts, where there aren't
    # enough for all; unset: 1. It isn't written then, so that instances of a release
    # without the field can read the account.
    weight: AccountWeight | msgspec.UnsetType = msgspec.UNSET


class ServiceTierSpec(Spec):
    """A class of service; a lower rank number means a higher priority."""

    rank: Annotated[int, msgspec.Meta(ge=0, le=99)]
    # In seconds, for requests without a deadline of their own.
    default_deadline: Positive = 60.0


class ServerState(enum.Enum):
    """The state of a backend server that the operator wants."""

    SERVING = "serving"
    LEAVING = "leaving"


class EngineRole(enum.Enum):
    """Which part of a request a model engine computes."""

    BOTH = "both"
    PREFILL = "prefill"
    DECODE = "decode"


class BackendServerSpec(Spec):
    """A backend server of a pool; `host` is an IP address."""

    name: Name
    host: str
    port: Port
    data_centre: Name
    # Requests that it runs concurrently; further ones would queue inside it.
    slots: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 8
    # Hardware generation; servers of the same one are expected to be equally fast.
    generation: str = ""
    role: EngineRole = EngineRole.BOTH
    state: ServerState = ServerState.SERVING
    # Identifies a run of the server, if the server reports when it started.
    start: ids.ServerStart = ids.NO_START
    # Software version; empty if the server doesn't report it.
    version: ids.SoftwareVersion = ids.SoftwareVersion("")
    # Requests a second that it bears while it is cold, 0 for any; and the seconds for
    # which it is, from when this was listed.
    cold_rate: float = 0.0
    cold_seconds: float = 0.0


class EnginePoolSpec(Spec):
    """Model engines that serve the same models."""

    servers: tuple[BackendServerSpec, ...] = ()
    models: tuple[Name, ...] = ()
    adapters: tuple[Name, ...] = ()
    # Share of each server's slots that is reserved for short requests.
    short_share: Fraction = 0.25
    # Requests of at most this many tokens (uncached prompt and output) are short.
    short_tokens: Annotated[int, msgspec.Meta(ge=1)] = 256
    # Whether its servers refuse an order with an outdated fencing number.
    checks_fencing: bool = False


class ServicePoolSpec(Spec):
    """Backend servers of a plain service."""

    servers: tuple[BackendServerSpec, ...] = ()


class ModelSpec(Spec):
    """A version of a model; `weights` is its name in the weight store."""

    version: str
    weights: str = ""
    # Size of the weights, by which the weight store schedules loads.
    weight_bytes: ByteCount = 0


class AdapterSpec(Spec):
    """A version of an adapter of a model."""

    model: Name
    version: str
    weights: str = ""
    # Size of the weights, by which the weight store schedules loads.
    weight_bytes: ByteCount = 0


class RoutingRuleSpec(Spec, kw_only=True):
    """Maps requests to a pool; the matching rule of the lowest `order` applies."""

    order: Annotated[int, msgspec.Meta(ge=0)] = 100
    pool: Name
    path_prefix: str = "/"
    # Empty: every method.
    methods: tuple[str, ...] = ()
    # Empty: every model (and requests that name none).
    models: tuple[Name, ...] = ()
    # Empty: every client account.
    accounts: tuple[Name, ...] = ()
    # Whether a call may be repeated; the caller's header can only forbid it.
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
    """Metadata of a resource, maintained by the system."""

    name: Name
    # Revision of its last change, which `If-Match` must name.
    revision: ids.Revision
    # Number of times that its spec has been written.
    generation: int
    changed_by: str


class Resource(msgspec.Struct, frozen=True, kw_only=True):
    """A resource in a copy of the configuration."""

    kind: Kind
    metadata: Metadata
    spec: Spec
