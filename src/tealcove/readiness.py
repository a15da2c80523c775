"""Decides from an instance's configuration whether it accepts requests."""

from __future__ import annotations

import asyncio

import logbook

from tealcove import clock, ids
from tealcove.membership import heartbeats, members, messages
from tealcove.resources import role as configuration

LOG = logbook.Logger("readiness")

# Seconds between checks.
INTERVAL = 0.25


class Readiness:
    """Switches the instance between joining and serving, and notifies the peers."""

    def __init__(
        self,
        known: members.Members,
        service: heartbeats.HeartbeatService,
        configured: configuration.ConfigurationRole,
    ) -> None:
        self.members = known
        self.heartbeats = service
        self.configuration = configured

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            self.update(clock.now())
            await asyncio.sleep(INTERVAL)

    def update(self, now: ids.Instant) -> None:
        """Set the lifecycle to serving while the configuration is reliable."""
        lifecycle = self.members.own.lifecycle
        if lifecycle not in (messages.Lifecycle.JOINING, messages.Lifecycle.SERVING):
            return
        wanted = messages.Lifecycle.JOINING
        if self.may_serve(lifecycle, now):
            wanted = messages.Lifecycle.SERVING
        if wanted is not lifecycle:
            LOG.info("{}", wanted.value)
            self.members.update_own(lifecycle=wanted)
            self.heartbeats.broadcast()

    def may_serve(self, lifecycle: messages.Lifecycle, now: ids.Instant) -> bool:
        """Return whether to serve: up to date to start, not isolated to go on."""
        if lifecycle is messages.Lifecycle.SERVING:
            return not self.configuration.reader.isolated(now)
        return self.configuration.may_serve(now)
