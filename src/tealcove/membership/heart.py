"""The tasks that send heartbeats and find peers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import logbook
import msgspec

from tealcove import clock, errors, ids
from tealcove.membership import members, messages
from tealcove.peers import endpoint, mesh
from tealcove.platform import instances

log = logbook.Logger("membership")

# Seconds between two looks at the platform's list, which lags anyway.
LIST_INTERVAL = 2.0


class Heart:
    """One task for each peer that beats, and one that looks for new peers."""

    def __init__(
        self,
        transport: mesh.Mesh,
        known: members.Members,
        instance_list: instances.InstanceList,
        seeds: tuple[endpoint.Endpoint, ...],
        interval: float,
    ) -> None:
        self.transport = transport
        self.members = known
        self.instance_list = instance_list
        self.seeds = seeds
        self.interval = interval
        self.beats: dict[endpoint.Endpoint, asyncio.Task[None]] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.listed: tuple[instances.ListedInstance, ...] = ()
        # Functions that see each heartbeat taken in, such as the configuration
        # reader that learns of higher revisions.
        self.listeners: list[Callable[[messages.Heartbeat], None]] = []

    def start(self) -> None:
        """Begin to beat; `transport` must already handle messages."""
        self.transport.handle(messages.Heartbeat, self.hear)
        for seed in self.seeds:
            self.beat_to(seed)
        self.tasks.append(asyncio.create_task(self.sweep()))
        self.tasks.append(asyncio.create_task(self.read_list()))

    async def stop(self) -> None:
        """Tell all peers that this instance is gone, and end the tasks."""
        self.members.update_own(lifecycle=messages.Lifecycle.GONE)
        self.tell_all()
        tasks = [*self.tasks, *self.beats.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def hear(self, sender: ids.InstanceId, heartbeat: messages.Heartbeat) -> None:
        """Take in a heartbeat and whatever peers it names."""
        self.members.hear(heartbeat, clock.now())
        self.beat_to(endpoint.Endpoint(heartbeat.host, heartbeat.peer_port))
        for address in heartbeat.known:
            self.beat_to(endpoint.parse(address))
        for listener in self.listeners:
            listener(heartbeat)

    def beat_to(self, peer: endpoint.Endpoint) -> None:
        """Send heartbeats to a peer from now on."""
        if peer == self.transport.listen or peer in self.beats:
            return
        self.beats[peer] = asyncio.create_task(self.beat(peer))

    async def beat(self, peer: endpoint.Endpoint) -> None:
        """Tell one peer how this instance is, until the peer is forgotten."""
        while True:
            self.transport.send(peer, self.current())
            await asyncio.sleep(self.interval)

    def current(self) -> messages.Heartbeat:
        """Return the heartbeat of now."""
        now = clock.now()
        known = tuple(
            str(member.endpoint)
            for member in self.members.peers.values()
            if not self.members.is_suspect(member, now)
        )
        return msgspec.structs.replace(self.members.own, known=known)

    def tell_all(self) -> None:
        """Send a heartbeat to all peers now, since something has changed."""
        self.members.tell_changes(clock.now())
        for peer in self.beats:
            self.transport.send(peer, self.current())

    async def sweep(self) -> None:
        """Forget peers that are long silent."""
        while True:
            await asyncio.sleep(self.interval)
            for member in self.members.sweep(clock.now()):
                self.stop_beat(member.endpoint)

    def stop_beat(self, peer: endpoint.Endpoint) -> None:
        """End the heartbeats to a forgotten peer, unless it's a seed.

        A seed is kept: after a cut between data centres that outlasts the time
        to forget, the seeds are what brings the two halves together again.
        """
        if peer in self.seeds or peer not in self.beats:
            return
        self.beats.pop(peer).cancel()
        self.transport.forget(peer)

    async def read_list(self) -> None:
        """Learn of peers from the platform's list."""
        while True:
            try:
                self.listed = await self.instance_list.listed()
                self.greet_listed()
            except errors.PlatformError as error:
                log.debug("the list of instances can't be read: {}", error)
            await asyncio.sleep(LIST_INTERVAL)

    def greet_listed(self) -> None:
        """Send heartbeats to every instance on the list."""
        for listed in self.listed:
            if listed.kind is instances.ListedKind.INSTANCE:
                self.beat_to(endpoint.Endpoint(listed.host, listed.peer_port))
