"""Relaying of heartbeats in a large group."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tealcove import clock, ids, tasks
from tealcove.membership import members, messages, relay
from tealcove.peers import endpoint, mesh

RecordHeartbeat = Callable[[messages.Heartbeat], None]


class Relaying:
    """Selects relays, receives their digests, and acts as a relay if selected."""

    def __init__(
        self,
        transport: mesh.Mesh,
        known: members.Members,
        record_heartbeat: RecordHeartbeat,
    ) -> None:
        self.transport = transport
        self.members = known
        self.record_heartbeat = record_heartbeat
        self.selection = relay.RelaySelection()
        self.forwarder = relay.Forwarder()
        self.numbers = relay.NumberTable()
        self.is_relay = False
        self.forward_timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start receiving digests and, if selected, forwarding."""
        self.transport.handle(messages.Digest, self.handle_digest)
        self.transport.handle(messages.AskDigest, self.handle_ask_digest)
        self.task = tasks.start_loop(self.run, "passing heartbeats on")

    async def stop(self) -> None:
        """Forward the last changes, and stop."""
        if self.is_relay:
            self.forward(clock.now())
        if self.forward_timer is not None:
            self.forward_timer.cancel()
        if self.task is not None:
            await tasks.stop([self.task])

    async def run(self) -> None:
        """Forward periodically until cancelled."""
        while True:
            await asyncio.sleep(relay.FORWARD_INTERVAL)
            if self.is_relay:
                self.forward(clock.now())

    def note_heartbeat(self, heartbeat: messages.Heartbeat, now: ids.Instant) -> None:
        """Record a heartbeat received from its sender."""
        running = self.members.stalls.running(now)
        self.selection.note_contact(heartbeat.endpoint, running)
        if self.forwarder.record(heartbeat, now):
            self.schedule_forward()

    def choose(self, now: ids.Instant) -> set[endpoint.Endpoint]:
        """Return the relays that this instance sends heartbeats to."""
        own = self.transport.listen
        alive = {beat.endpoint: beat.strength for beat in self.members.alive(now)}
        running = self.members.stalls.running(now)
        chosen = self.selection.choose(own, alive, running)
        self.is_relay = own in chosen
        return chosen - {own}

    def has_lost_all_relays(self, now: ids.Instant) -> bool:
        """Return whether all relays fell silent recently."""
        return self.selection.has_lost_all_relays(self.members.stalls.running(now))

    def sweep(self, now: ids.Instant) -> None:
        """Remove state of instances that are gone or long silent."""
        if not self.members.is_large():
            self.is_relay = False
        self.forwarder.sweep(self.members.forget_after, now)
        peers = self.members.peers.values()
        self.numbers.forget({peer.heartbeat.incarnation for peer in peers})

    def schedule_forward(self) -> None:
        """Schedule a digest after a short delay, which groups changes."""
        if self.is_relay and self.forward_timer is None:
            loop = asyncio.get_running_loop()
            self.forward_timer = loop.call_later(
                relay.FORWARD_DELAY, self.forward_changes
            )

    def forward_changes(self) -> None:
        """Forward the changes now."""
        self.forward_timer = None
        if self.is_relay:
            self.forward(clock.now())

    def forward(self, now: ids.Instant) -> None:
        """Send a digest to each peer."""
        short, full = self.forwarder.digests(self.members.own, now)
        for member in self.members.peers.values():
            peer = member.endpoint
            if self.forwarder.has_full_digest(peer):
                self.transport.send(peer, short)
            elif self.transport.send(peer, full):
                self.forwarder.note_full_digest(peer, now)

    def handle_digest(self, sender: ids.InstanceId, digest: messages.Digest) -> None:
        """Record the heartbeats of a relay's digest."""
        now = clock.now()
        running = self.members.stalls.running(now)
        self.selection.note_contact(digest.relay.endpoint, running)
        self.numbers.learn(digest)
        self.record_heartbeat(digest.relay)
        for one in digest.entries:
            self.record_heartbeat(one.heartbeat)
        found, is_complete = self.numbers.find(digest)
        for instance, incarnation in found:
            if not self.members.record_contact(instance, incarnation, now):
                is_complete = False
        if not is_complete:
            self.transport.send(digest.relay.endpoint, messages.AskDigest())

    def handle_ask_digest(
        self, sender: ids.InstanceId, ask: messages.AskDigest
    ) -> None:
        """Let the next digest for the sender be a full one."""
        peer = self.members.endpoint_of(sender)
        if peer is not None:
            self.forwarder.full_sent.pop(peer, None)
