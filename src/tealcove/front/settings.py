"""The settings of an instance on the users' platform: JSON with comments."""

from __future__ import annotations

from typing import Annotated

import msgspec

from tealcove import checked, settings, settingsfile
from tealcove.resources import kinds

BYTES_IN_MBIT = 1_000_000 / 8
Amount = Annotated[float, msgspec.Meta(gt=0)]


class Listen(settings.Group):
    """The addresses on which this instance listens."""

    # For requests of callers.
    callers: checked.Address
    # For readiness checks of the platform.
    ready: checked.Address
    # For callers that look up the addresses of instances.
    directory: checked.Address
    # For other instances.
    peers: checked.Address
    # For scrapes of the metrics; 0 turns them off.
    metrics_port: settings.Port = 0
    # For requests of instances that can't reach a backend server, on the IP number for
    # other instances; 0: this instance passes none on.
    relay_port: settings.Port = 0
    # For operators' commands, on the loopback interface only; 0: takes none.
    admin_port: settings.Port = 0


class Store(settings.Group):
    """The platform's store."""

    address: checked.Address
    # A call that takes longer counts as failed with unknown outcome. The store takes
    # 4 ms, and 60 times as long at its slowest.
    timeout_seconds: settings.Seconds = 2.0


class Repeats(settings.Group):
    """How many retries of requests are allowed over all instances."""

    # Within a window of `window_seconds`: retries for each request (`ratio`), plus a
    # fixed number (`slack`).
    ratio: settings.Delay = 0.2
    slack: settings.Delay = 50.0
    window_seconds: settings.Seconds = 10.0


class AccountLimits(settings.Group):
    """How the limits of client accounts are enforced over all instances."""

    # Tokens (or requests) that an account may use above its limit in a window of some
    # seconds, in addition to a tenth of the limit. Without it, requests are refused
    # while messages about their limit are still on their way.
    slack: settings.Delay = 100_000.0


class Leaving(settings.Group):
    """How an instance shuts down after SIGTERM."""

    # How long callers may cache an answer of the directory. Some cache it three times
    # as long, and a leaving instance accepts requests for that long.
    directory_ttl_seconds: settings.Seconds = 1.0
    # Seconds from SIGTERM to SIGKILL.
    grace_seconds: settings.Seconds = 8.0


class Rollouts(settings.Group):
    """Roll-outs of new versions of backend servers, ordered by operators."""

    # Whether the store is polled for roll-out orders; each poll is one call.
    enabled: bool = False


class FairAccounts(settings.Group):
    """Fair sharing of the servers' slots among client accounts."""

    enabled: bool = False


class Admission(settings.Group):
    """Early refusals under overload, and planned returns of refused callers."""

    enabled: bool = False
    # The largest part of its remaining time that a refused caller waits as told.
    return_share: settings.Share = 1 / 3


class ServerLoad(settings.Group):
    """Use of the load that backend servers state in their answers."""

    enabled: bool = False
    # Only of services whose servers state how long work takes there at the moment,
    # since they share their machines with others.
    only_shared: bool = False


class InstanceLoad(settings.Group):
    """Distribution of callers by what each instance can carry at present."""

    enabled: bool = False


class Crossing(settings.Group):
    """Limits on traffic between data centres."""

    enabled: bool = False
    # Bytes a second from one data centre to another that all instances together spend
    # on shorter waits; beyond them, only requests that would miss their goal cross.
    bytes_per_second: Amount = 1_000_000.0


class StreamCopies(settings.Group):
    """Copies of running streams that can't be resumed, on a second server."""

    enabled: bool = False
    # Bytes a second of copies that this instance's dispatcher starts; beyond them,
    # streams start without a copy.
    bytes_per_second: Amount = 2_000_000_000.0


class Machine(settings.Machine):
    """The capacity of this instance's machine."""

    # Cores of its processor, and the share of them that the instance may use.
    cores: Amount = 1.0
    share: Amount = 1.0
    # Bandwidth of its network link in Mbit/s.
    link_mbps: Amount = 1000.0

    @property
    def link_bytes_per_second(self) -> float:
        """Return the bandwidth of the link in bytes a second."""
        return self.link_mbps * BYTES_IN_MBIT


class Limits(settings.Limits):
    """Limits of this instance above which callers are refused."""

    # None: as the operator's configuration says.
    body_bytes: settings.Count | None = None
    header_bytes: settings.Count | None = None


class Log(settings.Log):
    """What is written to standard output, as JSON lines."""

    # Above this many lines a second, lines below a warning are dropped and counted.
    # An instance with 10 requests a second writes some 40.
    most_lines_per_second: settings.Count = 300


class FrontSettings(settings.Group):
    """All settings of one instance."""

    # No default: two instances of one name would be treated as one.
    instance: kinds.Name
    data_centre: kinds.Name
    listen: Listen
    store: Store
    # Instances ("ip:port") to contact first; the store's list adds others.
    seeds: tuple[checked.Address, ...] = ()
    heartbeat: settings.Heartbeat = settings.Heartbeat()
    dispatch: settings.Dispatch = settings.Dispatch(
        policy="tealcove.dispatch.goal:GoalScheduler"
    )
    quarantine: settings.Quarantine = settings.Quarantine()
    limits: Limits = Limits()
    repeats: Repeats = Repeats()
    account_limits: AccountLimits = AccountLimits()
    leaving: Leaving = Leaving()
    machine: Machine = Machine()
    fair_accounts: FairAccounts = FairAccounts()
    admission: Admission = Admission()
    server_load: ServerLoad = ServerLoad()
    instance_load: InstanceLoad = InstanceLoad()
    crossing: Crossing = Crossing()
    stream_copies: StreamCopies = StreamCopies()
    rollouts: Rollouts = Rollouts()
    telemetry: settings.Telemetry = settings.Telemetry()
    log: Log = Log()


def load(path: str) -> FrontSettings:
    """Read and check a settings file; raises errors.SettingsError."""
    found = settingsfile.read(path, FrontSettings)
    settings.check_heartbeat(path, found.heartbeat)
    return found
