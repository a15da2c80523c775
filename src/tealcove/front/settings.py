"""The settings of an instance on the users' platform: JSON with comments."""

from __future__ import annotations

from typing import Annotated

import msgspec

from tealcove import checked, settings, settingsfile
from tealcove.resources import kinds

BYTES_IN_MBIT = 1_000_000 / 8
Amount = Annotated[float, msgspec.Meta(gt=0)]


class Listen(settings.Group):
    """Where this instance is reached."""

    # By callers.
    callers: checked.Address
    # By the platform, which asks whether it's ready.
    ready: checked.Address
    # By callers who ask where to connect.
    directory: checked.Address
    # By its peers.
    peers: checked.Address
    # Where the metrics are read; port 0 shows none.
    metrics_port: settings.Port = 0


class Store(settings.Group):
    """The platform's store."""

    address: checked.Address
    # A call that takes longer counts as failed, its outcome as unknown. The store
    # takes 4 ms, and 60 times as long at its slowest.
    timeout_seconds: settings.Seconds = 2.0


class Repeats(settings.Group):
    """How often requests may be sent once more, over all instances."""

    # Repeats for each request, and besides, in a window of so many seconds.
    ratio: settings.Delay = 0.2
    slack: settings.Delay = 50.0
    window_seconds: settings.Seconds = 10.0


class AccountLimits(settings.Group):
    """How the limits of client accounts are kept, over all instances."""

    # Tokens (or requests) that an account may get beyond its limit in a window of some
    # seconds, besides a tenth: what crosses on its way is refused otherwise.
    slack: settings.Delay = 100_000.0


class Leaving(settings.Group):
    """How an instance leaves after SIGTERM."""

    # How long callers may keep an answer of the directory; some keep it three
    # times as long, and for that long a leaving instance serves on.
    directory_ttl_seconds: settings.Seconds = 1.0
    # Seconds from SIGTERM to SIGKILL.
    grace_seconds: settings.Seconds = 8.0


class Rollouts(settings.Group):
    """Roll-outs of new versions of backend servers, by the operators' order."""

    # Whether orders are looked for; each look is a call of the store.
    enabled: bool = False


class Machine(settings.Group):
    """What this instance's machine can do."""

    # Its processor: so many cores, of which it may use this share.
    cores: Amount = 1.0
    share: Amount = 1.0
    # Its link, in Mbit/s.
    link_mbps: Amount = 1000.0

    @property
    def link_bytes_per_second(self) -> float:
        """What the link can carry."""
        return self.link_mbps * BYTES_IN_MBIT


class Log(settings.Log):
    """What is written to standard output, as JSON lines."""

    # Lines a second beyond which lines below a warning are dropped and counted.
    # An instance with 10 requests a second writes some 40.
    most_lines_per_second: settings.Count = 300


class FrontSettings(settings.Group):
    """All settings of one instance."""

    # No default: two instances of one name would be taken for one.
    instance: kinds.Name
    data_centre: kinds.Name
    listen: Listen
    store: Store
    # Instances ("ip:port") to ask first; the store's list adds others.
    seeds: tuple[checked.Address, ...] = ()
    heartbeat: settings.Heartbeat = settings.Heartbeat()
    dispatch: settings.Dispatch = settings.Dispatch(
        policy="tealcove.dispatch.goal:GoalScheduler"
    )
    quarantine: settings.Quarantine = settings.Quarantine()
    limits: settings.Limits = settings.Limits()
    repeats: Repeats = Repeats()
    account_limits: AccountLimits = AccountLimits()
    leaving: Leaving = Leaving()
    machine: Machine = Machine()
    rollouts: Rollouts = Rollouts()
    telemetry: settings.Telemetry = settings.Telemetry()
    log: Log = Log()


def load(path: str) -> FrontSettings:
    """Read and check a settings file; raises errors.SettingsError."""
    found = settingsfile.read(path, FrontSettings)
    settings.check_heartbeat(path, found.heartbeat)
    return found
