"""This instance's part in passing heartbeats on, in a large group."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tealcove import clock, ids, tasks
from tealcove.membership import members, messages, relay
from tealcove.peers import endpoint, mesh

Take = Callable[[messages.Heartbeat], None]


class Relaying:
    """Chooses relays, listens to them, and is one where it's chosen itself."""

    def __init__(
        self, transport: mesh.Mesh, known: members.Members, take: Take
    ) -> None:
        self.transport = transport
        self.members = known
        self.take = take
        self.choice = relay.Choice()
        self.passing = relay.Passing()
        self.numbers = relay.Numbers()
        self.is_relay = False
        self.soon: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to listen to relays."""
        self.transport.handle(messages.Digest, self.take_digest)
        self.transport.handle(messages.AskDigest, self.take_ask)
        self.task = tasks.start(self.run(), "passing heartbeats on")

    async def stop(self) -> None:
        """Pass on what is new, and end."""
        if self.is_relay:
            self.pass_on(clock.now())
        if self.soon is not None:
            self.soon.cancel()
        if self.task is not None:
            await tasks.stop([self.task])

    async def run(self) -> None:
        """Pass on again and again, until cancelled."""
        while True:
            await asyncio.sleep(relay.PASS_SECONDS)
            if self.is_relay:
                self.pass_on(clock.now())

    def hear(self, heartbeat: messages.Heartbeat, now: ids.Instant) -> None:
        """Note a heartbeat from its sender."""
        self.choice.hear(heartbeat.endpoint, now)
        if self.passing.hear(heartbeat, now):
            self.pass_soon()

    def choose(self, now: ids.Instant) -> set[endpoint.Endpoint]:
        """Return the relays that this instance tells of itself."""
        own = self.transport.listen
        alive = {beat.endpoint: beat.strength for beat in self.members.alive(now)}
        chosen = self.choice.choose(own, alive, now)
        self.is_relay = own in chosen
        return chosen - {own}

    def is_lost(self, now: ids.Instant) -> bool:
        """Tell whether nobody passes heartbeats on at present."""
        return self.choice.is_lost(now)

    def sweep(self, now: ids.Instant) -> None:
        """Forget what is long silent."""
        if not self.members.is_large():
            self.is_relay = False
        self.passing.sweep(self.members.forget_after, now)
        peers = self.members.peers.values()
        self.numbers.forget({peer.heartbeat.incarnation for peer in peers})

    def pass_soon(self) -> None:
        """Pass on news in a moment, together with what else is new by then."""
        if self.is_relay and self.soon is None:
            loop = asyncio.get_running_loop()
            self.soon = loop.call_later(relay.NEWS_SECONDS, self.pass_news)

    def pass_news(self) -> None:
        """Pass on news now."""
        self.soon = None
        if self.is_relay:
            self.pass_on(clock.now())

    def pass_on(self, now: ids.Instant) -> None:
        """Send all peers what this instance has heard."""
        short, full = self.passing.digests(self.members.own, now)
        for member in self.members.peers.values():
            peer = member.endpoint
            if self.passing.is_told(peer):
                self.transport.send(peer, short)
            elif self.transport.send(peer, full):
                self.passing.note_told(peer, now)

    def take_digest(self, sender: ids.InstanceId, digest: messages.Digest) -> None:
        """Take in what a relay has heard."""
        now = clock.now()
        self.choice.hear(digest.relay.endpoint, now)
        self.numbers.learn(digest)
        self.take(digest.relay)
        for one in digest.entries:
            self.take(one.heartbeat)
        found, is_complete = self.numbers.find(digest)
        for instance, incarnation in found:
            if not self.members.hear_again(instance, incarnation, now):
                is_complete = False
        if not is_complete:
            self.transport.send(digest.relay.endpoint, messages.AskDigest())

    def take_ask(self, sender: ids.InstanceId, ask: messages.AskDigest) -> None:
        """Tell an instance of all at the next passing."""
        peer = self.members.endpoint_of(sender)
        if peer is not None:
            self.passing.told.pop(peer, None)
