"""The settings of an instance: JSON with comments, checked when read."""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from tealcove import checked, ids, settingsfile
from tealcove.resources import kinds

# 0 lets the operating system choose a free port, which suits tests only.
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
Delay = Annotated[float, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]

KIB = 1024
MIB = 1024 * KIB


class Group(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of the groups of settings."""


class Tls(Group):
    """Files in PEM form; without them, HTTP is spoken in the clear."""

    certificate: str
    key: str


class Http(Group):
    """Where callers and operators reach this instance."""

    # Bound, and told to callers as it stands, so it can't be 0.0.0.0.
    host: checked.IpNumber = checked.IpNumber("127.0.0.1")
    port: Port = 7000
    tls: Tls | None = None


class Curve(Group):
    """Keys of CURVE in Z85 form (40 characters each)."""

    public_key: checked.CurveKey
    secret_key: checked.Secret
    # Public keys of all instances, this one's too; others are refused.
    allowed: tuple[checked.CurveKey, ...]


class Peer(Group):
    """Where other instances reach this one."""

    host: checked.IpNumber = checked.IpNumber("127.0.0.1")
    port: Port = 7001
    # Absent: messages between instances are neither encrypted nor authenticated.
    curve: Curve | None = None


class Platform(Group):
    """The platform's table service, object store and lists."""

    url: checked.Url = checked.Url("http://127.0.0.1:7080")
    # A call that takes longer counts as failed, its outcome as unknown.
    timeout_seconds: Seconds = 2.0
    # PEM file of the authority that signed its certificate; absent: the system's.
    ca: str | None = None


class Operator(Group):
    """Somebody who may use the administration API."""

    name: kinds.Name
    # SHA-256 of the bearer key in hex; the key itself is never stored.
    key_hash: kinds.KeyHash


class DataCentre(Group):
    """A data centre, and how far it is from others."""

    name: kinds.Name
    region: str = ""
    # One-way delay in seconds to other data centres, by name; it ranks entry points.
    delays: dict[str, Delay] = {}


class Heartbeat(Group):
    """When other instances are told of, suspected and forgotten."""

    interval: Seconds = 0.25
    # Silence after which a peer gets no new work.
    suspect_after: Seconds = 1.0
    # Silence after which a peer is dropped from the membership.
    forget_after: Seconds = 10.0


class Dispatch(Group):
    """How entries and dispatchers work together."""

    # A ticket unanswered for so long goes to the next dispatcher in rank.
    ticket_timeout: Seconds = 0.3
    # How often a dispatcher asks its backend servers for their load.
    load_poll_interval: Seconds = 0.5
    # Kept free between the predicted end of a request and its deadline, in seconds.
    deadline_margin: Delay = 0.05
    # "module:Class" of the Scheduler that decides for a cell.
    policy: str = "tealcove.dispatch.fair:FairScheduler"
    # How long an entry waits for word of an earlier sending of a request with a
    # key; 0 keeps no records of where such requests run.
    witness_timeout: Delay = 0.05


class Quarantine(Group):
    """How long a request that crashes backend servers isn't run."""

    # After its second crash; a suspect after its first one runs alone as long.
    seconds: Seconds = 600.0


class Limits(Group):
    """What callers may use of an instance before they are refused."""

    body_bytes: Count = 4 * MIB
    header_bytes: Count = 16 * KIB
    connections: Count = 2000
    # A connection without a request, or a caller that reads nothing, is closed.
    idle_seconds: Seconds = 75.0


class Shutdown(Group):
    """How an instance leaves after SIGTERM."""

    # How long callers may keep an answer of /v1/entry-points; a leaving
    # instance accepts requests until the last of these answers has run out.
    entry_points_ttl: Seconds = 5.0
    # Requests in progress get so long to finish.
    drain_seconds: Seconds = 60.0


class Configuration(Group):
    """How an instance keeps its copy of the resources."""

    # How often it reads the head revision.
    poll_interval: Seconds = 1.0
    # Out of reach of the platform and all peers for so long, it stops accepting.
    isolated_after: Seconds = 30.0


class Claims(Group):
    """How claims of non-idempotent requests reach the platform's table."""

    # Instances that write claims at any one time; it bounds the write rate.
    writers: Count = 2
    # How long a writer gathers claims before it commits them together.
    batch_interval: Seconds = 0.02


class Orders(Group):
    """How an instance takes charge of a pool's engines and orders them."""

    # Duration of the lease of a pool; its holder's successor waits for so long.
    lease_seconds: Seconds = 8.0
    # No engine carries an order out later than this after it was sent.
    longest_seconds: Seconds = 300.0


class Telemetry(Group):
    """Where traces go; metrics are always at /metrics."""

    # Absent: no traces are recorded.
    otlp_endpoint: checked.Url | None = None
    # Part of the requests that are traced when their caller doesn't say.
    trace_share: Share = 1.0


class Level(enum.Enum):
    """How grave a log line must be to be written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Log(Group):
    """What is written to standard error, as JSON lines."""

    level: Level = Level.INFO
    # Slices whose debug lines are written whatever the level, such as "dispatch".
    debug: tuple[str, ...] = ()


class Settings(Group):
    """All settings of one instance."""

    # No default: two instances of one name would be taken for one.
    instance: kinds.Name
    # No default: it decides which cells and callers are near.
    data_centre: kinds.Name
    http: Http = Http()
    peer: Peer = Peer()
    platform: Platform = Platform()
    # Instances ("ip:peer port") to ask first; the platform's list adds others.
    seeds: tuple[checked.Address, ...] = ()
    # Without an operator, nobody can use the administration API.
    operators: tuple[Operator, ...] = ()
    data_centres: tuple[DataCentre, ...] = ()
    heartbeat: Heartbeat = Heartbeat()
    dispatch: Dispatch = Dispatch()
    quarantine: Quarantine = Quarantine()
    limits: Limits = Limits()
    shutdown: Shutdown = Shutdown()
    configuration: Configuration = Configuration()
    claims: Claims = Claims()
    orders: Orders = Orders()
    telemetry: Telemetry = Telemetry()
    log: Log = Log()

    def delay_to(self, other: ids.DataCentreId) -> float | None:
        """Return the one-way delay in seconds to a data centre; None: unknown."""
        if other == self.data_centre:
            return 0.0
        by_name = {centre.name: centre for centre in self.data_centres}
        here = by_name.get(self.data_centre)
        there = by_name.get(other)
        if here is not None and other in here.delays:
            return here.delays[other]
        if there is not None:
            return there.delays.get(self.data_centre)
        return None


def load(path: str) -> Settings:
    """Read and check a settings file; raises errors.SettingsError."""
    found = settingsfile.read(path, Settings)
    check_heartbeat(path, found.heartbeat)
    check_data_centres(path, found)
    return found


def check_heartbeat(path: str, heartbeat: Heartbeat) -> None:
    """Refuse times by which a healthy peer would be suspected or forgotten."""
    if heartbeat.suspect_after <= heartbeat.interval:
        raise settingsfile.location_error(
            path,
            "$.heartbeat.suspect_after",
            f"{heartbeat.suspect_after} isn't above the interval",
            f"Write more than {heartbeat.interval}",
        )
    if heartbeat.forget_after <= heartbeat.suspect_after:
        raise settingsfile.location_error(
            path,
            "$.heartbeat.forget_after",
            f"{heartbeat.forget_after} isn't above suspect_after",
            f"Write more than {heartbeat.suspect_after}",
        )


def check_data_centres(path: str, found: Settings) -> None:
    """Refuse data centres that are named twice, or only where they are used."""
    names = [centre.name for centre in found.data_centres]
    known = ", ".join(names)
    for index, centre in enumerate(found.data_centres):
        where = f"$.data_centres[{index}]"
        if centre.name in names[:index]:
            raise settingsfile.location_error(
                path, where, f"`{centre.name}` stands twice", "Remove one of the two"
            )
        for other in centre.delays:
            if other not in names:
                raise settingsfile.location_error(
                    path,
                    f"{where}.delays",
                    f"`{other}` isn't in $.data_centres",
                    f"Write one of: {known}",
                )
    if names and found.data_centre not in names:
        raise settingsfile.location_error(
            path,
            "$.data_centre",
            f"`{found.data_centre}` isn't in $.data_centres",
            f"Write one of: {known}",
        )
