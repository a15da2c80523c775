"""Keeps an instance's copy at the highest revision that it knows of."""

from __future__ import annotations

import abc
import asyncio
from collections.abc import Callable

import logbook
import msgspec

from tealcove import clock, errors, ids
from tealcove.resources import copy, log, snapshots

LOG = logbook.Logger("resources")


class PeerSource(abc.ABC):
    """Other instances, as a source of the configuration."""

    @abc.abstractmethod
    async def fetch(self, revision: ids.Revision) -> bytes:
        """Return a peer's `snapshots.encode(copy.current)`; raises PeerError.

        The peer's revision should be `revision` or higher; a lower one is useful
        only if it's higher than this instance's own.
        """


class ReaderSettings(msgspec.Struct, frozen=True):
    """Intervals and time limits of the reader, in seconds."""

    # Between two reads of the head.
    poll_interval: float = 1.0
    # Between two reads of the head if other instances are designated to read it.
    relaxed_interval: float = 10.0
    # If the platform has been unreachable since the start: time for all peers to
    # report their revisions before the highest received one counts as current.
    settling_seconds: float = 1.0
    # Without contact to platform or peers for this long, an instance is isolated.
    isolated_after: float = 30.0


class ConfigurationReader:
    """Advances the copy by the log, or by a peer while the platform is down."""

    def __init__(
        self,
        change_log: log.ConfigurationLog,
        local_copy: copy.ConfigurationCopy,
        peers: PeerSource,
        now: ids.Instant,
        settings: ReaderSettings | None = None,
    ) -> None:
        self.log = change_log
        self.copy = local_copy
        self.peers = peers
        self.settings = settings or ReaderSettings()
        # Whether this instance reads the head every `poll_interval`. Cleared if other
        # instances do so and announce the revision by heartbeat.
        self.designated = True
        self.highest_known = copy.NO_REVISION
        self.platform_reached: ids.Instant | None = None
        self.first_contact: ids.Instant | None = None
        self.last_contact = now
        self.poll_requested = asyncio.Event()

    def record_revision(
        self, revision: ids.Revision, peer: str, now: ids.Instant
    ) -> None:
        """Record the revision in force at a peer."""
        self.last_contact = now
        if self.first_contact is None:
            self.first_contact = now
        if revision > self.highest_known:
            LOG.debug("Peer {} is at revision {}", peer, revision)
            self.highest_known = revision
            if revision > self.copy.revision:
                self.poll_requested.set()

    def ready(self, now: ids.Instant) -> bool:
        """Tell whether the copy is at the highest known revision.

        Used at the start of an instance. Until the platform was reached once, it
        waits `settling_seconds` for all peers: the first may have an old revision.
        """
        if self.copy.revision < self.highest_known:
            return False
        if self.platform_reached is not None:
            return True
        if self.first_contact is None:
            return False
        return now - self.first_contact >= self.settings.settling_seconds

    def isolated(self, now: ids.Instant) -> bool:
        """Tell whether the last contact to platform or peers was too long ago."""
        return now - self.last_contact > self.settings.isolated_after

    async def run(self, now: Callable[[], ids.Instant] = clock.now) -> None:
        """Poll for new revisions until cancelled."""
        while True:
            self.poll_requested.clear()
            await self.poll(now())
            await self.wait()

    async def wait(self) -> None:
        """Wait until the next poll is due or requested for a higher revision."""
        settings = self.settings
        interval = settings.poll_interval
        if not self.designated and self.platform_reached is not None:
            interval = settings.relaxed_interval
        try:
            await asyncio.wait_for(self.poll_requested.wait(), interval)
        except TimeoutError:
            return

    async def poll(self, now: ids.Instant) -> None:
        """Catch up once from the platform, or else from a peer; log failures."""
        try:
            await self.follow_platform(now)
            return
        except errors.TealcoveError as error:
            LOG.warning("The configuration can't be read from the platform: {}", error)
        try:
            await self.follow_peer()
        except errors.TealcoveError as error:
            LOG.warning("No peer sent its configuration: {}", error)

    async def follow_platform(self, now: ids.Instant) -> None:
        """Advance the copy to the head; raises PlatformError, ResourceError."""
        head = (await self.log.read_head()).head
        self.last_contact = max(self.last_contact, now)
        self.highest_known = max(self.highest_known, head.revision)
        await self.log.advance(self.copy, head)
        self.platform_reached = now
        if self.copy.revision > head.revision:
            await self.log.check_not_restored(self.copy)

    async def follow_peer(self) -> None:
        """Advance the copy to a peer's; raises PeerError, ResourceError."""
        if self.highest_known <= self.copy.revision:
            return
        content = await self.peers.fetch(self.highest_known)
        self.copy.activate(await asyncio.to_thread(snapshots.decode, content))
