"""Sends copies to peers at a limited rate, so that requests go before them."""

from __future__ import annotations

import asyncio

import logbook

from tealcove import clock, ids, tasks
from tealcove.catalog import copies, messages
from tealcove.membership import members
from tealcove.peers import mesh

log = logbook.Logger("catalog")

# The share of the link's bandwidth for copies. A configuration of 1,600 routes (54 kB)
# sent at once to half of 29 instances takes 1.2 s of a link of 5 Mbit/s, and all else
# waits behind it: tickets, grants and callers' answers.
LINK_SHARE = 0.25
# Minimum seconds of a pause, since timers aren't accurate for shorter ones.
MIN_PAUSE = 0.005


class CopySender:
    """Sends copies to peers one by one, each at its newest revision by then."""

    def __init__(
        self,
        transport: mesh.Mesh,
        known: members.Members,
        held: dict[messages.Topic, copies.Copy],
        bytes_per_second: float,
    ) -> None:
        self.transport = transport
        self.members = known
        self.copies = held
        self.bytes_per_second = bytes_per_second
        # Recipients and topics in order of sending, and whether to send a copy that the
        # recipient seems to have.
        self.queue: dict[tuple[ids.InstanceId, messages.Topic], bool] = {}
        self.has_queued = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        # Seconds of the link's share that were used and not yet paused for.
        self.unpaused_seconds = 0.0

    def start(self) -> None:
        """Start sending."""
        self.task = tasks.start_loop(self.run, "telling peers of the catalog")

    async def stop(self) -> None:
        """Stop the task."""
        if self.task is not None:
            await tasks.stop([self.task])

    def add(
        self, instance: ids.InstanceId, topic: messages.Topic, is_due: bool = False
    ) -> None:
        """Queue a copy for a peer; `is_due`: even if it seems to be up to date."""
        queued = self.queue.get((instance, topic), False)
        self.queue[instance, topic] = queued or is_due
        self.has_queued.set()

    async def run(self) -> None:
        """Send the queued copies until cancelled."""
        while True:
            if not self.queue:
                self.has_queued.clear()
                await self.has_queued.wait()
            instance, topic = next(iter(self.queue))
            is_due = self.queue.pop((instance, topic))
            sent = self.send(instance, topic, is_due)
            self.unpaused_seconds += sent / self.bytes_per_second / LINK_SHARE
            if self.unpaused_seconds >= MIN_PAUSE:
                pause, self.unpaused_seconds = self.unpaused_seconds, 0.0
                await asyncio.sleep(pause)

    def send(
        self, instance: ids.InstanceId, topic: messages.Topic, is_due: bool = False
    ) -> int:
        """Send to one peer, unless it is up to date; return the bytes sent."""
        copy = self.copies[topic]
        heard = self.members.find(instance)
        if heard is None:
            return 0
        if not is_due and not copy.position.is_after(
            messages.position_in(heard, topic)
        ):
            return 0
        told = messages.Told(
            topic=topic,
            revision=copy.revision,
            content=copy.encode(clock.now()),
            version=copy.version,
        )
        if not self.transport.send(heard.endpoint, told):
            log.debug("{} is not sent the {}", instance, topic.value)
            return 0
        return len(told.content)
