"""Whether an instance may accept requests by the configuration that it has."""

from __future__ import annotations

import asyncio

import logbook

from tealcove import clock, ids
from tealcove.membership import heartbeats, members, messages
from tealcove.resources import role as configuration

LOG = logbook.Logger("readiness")

# Seconds between two looks.
INTERVAL = 0.25


class Readiness:
    """Moves the instance between joining and serving, and tells the peers."""

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
        """Look again and again until cancelled."""
        while True:
            self.update(clock.now())
            await asyncio.sleep(INTERVAL)

    def update(self, now: ids.Instant) -> None:
        """Accept requests while the configuration may be relied on."""
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
        """Tell whether to accept: fully up to date at first, not isolated later."""
        if lifecycle is messages.Lifecycle.SERVING:
            return not self.configuration.reader.isolated(now)
        return self.configuration.may_serve(now)
