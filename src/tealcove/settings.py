"""The settings of an instance: JSON with comments, validated when loaded."""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from tealcove import checked, ids, settingsfile
from tealcove.resources import kinds

# 0 lets the operating system choose a free port, which is useful in tests only.
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
Delay = Annotated[float, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]

KIB = 1024
MIB = 1024 * KIB


class Group(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of groups of settings."""


class Tls(Group):
    """Certificate and key files in PEM format; without them, HTTP is unencrypted."""

    certificate: str
    key: str


class Http(Group):
    """Where callers and operators reach this instance."""

    # Also announced to callers as their address, so it can't be 0.0.0.0.
    host: checked.IpNumber = checked.IpNumber("127.0.0.1")
    port: Port = 7000
    tls: Tls | None = None


class Curve(Group):
    """CURVE keys, Z85-encoded (40 characters each)."""

    public_key: checked.CurveKey
    secret_key: checked.Secret
    # Public keys of all instances, including this one; others are refused.
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
    # A call that takes longer counts as failed with unknown outcome.
    timeout_seconds: Seconds = 2.0
    # PEM file of the authority that signed the platform's certificate; if absent, the
    # system's authorities are trusted.
    ca: str | None = None


class Operator(Group):
    """A user of the administration API."""

    name: kinds.Name
    # SHA-256 of the bearer key in hex; the key itself is never stored.
    key_hash: kinds.KeyHash


class DataCentre(Group):
    """A data centre and its delays to others."""

    name: kinds.Name
    region: str = ""
    # One-way delay in seconds to other data centres, by name; it ranks entry points.
    delays: dict[str, Delay] = {}


class Heartbeat(Group):
    """Intervals of heartbeats and timeouts of the failure detector."""

    interval: Seconds = 0.25
    # Seconds without a heartbeat after which a peer gets no new work.
    suspect_after: Seconds = 1.0
    # Seconds without a heartbeat after which a peer is removed from the membership.
    forget_after: Seconds = 10.0


class Dispatch(Group):
    """Timeouts and policy of dispatching."""

    # A ticket that is unanswered for this long goes to the next dispatcher in rank.
    ticket_timeout: Seconds = 0.3
    # Interval at which a dispatcher polls the load of its backend servers.
    load_poll_interval: Seconds = 0.5
    # Safety margin between the predicted end of a request and its deadline, in seconds.
    deadline_margin: Delay = 0.05
    # "module:Class" of the Scheduler that cells use.
    policy: str = "tealcove.dispatch.fair:FairScheduler"
    # How long an entry waits for a record of an earlier attempt of a request with an
    # idempotency key; 0 disables these records.
    witness_timeout: Delay = 0.05


class Quarantine(Group):
    """Duration of the quarantine of requests that crash backend servers."""

    # A request is quarantined for this long after its second crash. After its first
    # one, it is suspect for this long and doesn't share a backend server.
    seconds: Seconds = 600.0


class Machine(Group):
    """The memory and descriptors that an instance may use; 0: as the system says."""

    memory_mb: Delay = 0.0
    descriptors: Annotated[int, msgspec.Meta(ge=0)] = 0


class Limits(Group):
    """Limits of an instance above which callers are refused."""

    body_bytes: Count = 4 * MIB
    header_bytes: Count = 16 * KIB
    connections: Count = 2000
    # Connections are closed after this time without a request, or if the caller doesn't
    # read the answer.
    idle_seconds: Seconds = 75.0


class Shutdown(Group):
    """How an instance shuts down after SIGTERM."""

    # How long callers may cache an answer of /v1/entry-points. A leaving instance
    # accepts requests until the last of these answers has expired.
    entry_points_ttl: Seconds = 5.0
    # Time for requests in progress to finish.
    drain_seconds: Seconds = 60.0


class Configuration(Group):
    """How an instance keeps its copy of the resources up to date."""

    # Interval at which it polls the head revision.
    poll_interval: Seconds = 1.0
    # After this time without contact to the platform or any peer, an instance stops
    # accepting requests.
    isolated_after: Seconds = 30.0


class Claims(Group):
    """How claims of non-idempotent requests are written to the platform."""

    # Number of instances that write claims at the same time; it limits the write rate.
    writers: Count = 2
    # How long a writer collects claims before it commits them as a batch.
    batch_interval: Seconds = 0.02


class Orders(Group):
    """How an instance leases a pool and sends orders to its engines."""

    # Duration of a pool's lease; the next holder waits for this long.
    lease_seconds: Seconds = 8.0
    # Latest time after sending an order at which an engine may still carry it out.
    longest_seconds: Seconds = 300.0


class Telemetry(Group):
    """Where traces are exported; metrics are always served at /metrics."""

    # Absent: no traces are recorded.
    otlp_endpoint: checked.Url | None = None
    # Share of requests that are traced if the caller makes no sampling decision.
    trace_share: Share = 1.0


class Level(enum.Enum):
    """The lowest level of log lines that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Log(Group):
    """What is written to standard error, as JSON lines."""

    level: Level = Level.INFO
    # Components whose debug lines are written at any level, such as "dispatch".
    debug: tuple[str, ...] = ()


class Settings(Group):
    """All settings of one instance."""

    # No default: two instances with the same name would be treated as one.
    instance: kinds.Name
    # No default: it determines which cells and callers are close.
    data_centre: kinds.Name
    http: Http = Http()
    peer: Peer = Peer()
    platform: Platform = Platform()
    # Instances ("ip:peer port") to contact first; the platform's list adds others.
    seeds: tuple[checked.Address, ...] = ()
    # Without an operator, nobody can use the administration API.
    operators: tuple[Operator, ...] = ()
    data_centres: tuple[DataCentre, ...] = ()
    heartbeat: Heartbeat = Heartbeat()
    dispatch: Dispatch = Dispatch()
    quarantine: Quarantine = Quarantine()
    limits: Limits = Limits()
    machine: Machine = Machine()
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
    """Refuse timeouts with which healthy peers would be suspected or forgotten."""
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
    """Refuse data centres that are defined twice, or referred to but not defined."""
    names = [centre.name for centre in found.data_centres]
    known = ", ".join(names)
    for index, centre in enumerate(found.data_centres):
        where = f"$.data_centres[{index}]"
        if centre.name in names[:index]:
            raise settingsfile.location_error(
                path,
                where,
                f"`{centre.name}` is defined twice",
                "Remove one of the two",
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
