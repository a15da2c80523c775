"""The tasks that send heartbeats and find peers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import logbook
import msgspec

from tealcove import clock, errors, ids, tasks
from tealcove.membership import members, messages
from tealcove.peers import endpoint, mesh
from tealcove.storage import instances

log = logbook.Logger("membership")

# Seconds between two looks at the platform's list, which lags anyway.
LIST_INTERVAL = 2.0


class ListIntervals(msgspec.Struct, frozen=True):
    """Seconds between two looks at the list: at first, and at the longest.

    Doubled from look to look, where each look is paid for and heartbeats tell of
    new peers.
    """

    first: float = LIST_INTERVAL
    longest: float = LIST_INTERVAL


# A heartbeat names the peers that the sender knows when they have changed, and
# otherwise after so many seconds, in case the one that did was lost.
KNOWN_INTERVAL = 10.0


class Beat(msgspec.Struct):
    """The task that sends heartbeats to one address, and its start."""

    task: asyncio.Task[None]
    since: ids.Instant


class Heart:
    """One task for each peer that beats, and one that looks for new peers."""

    def __init__(
        self,
        transport: mesh.Mesh,
        known: members.Members,
        instance_list: instances.InstanceList,
        seeds: tuple[endpoint.Endpoint, ...],
        interval: float,
        list_intervals: ListIntervals | None = None,
    ) -> None:
        self.transport = transport
        self.members = known
        self.instance_list = instance_list
        self.seeds = seeds
        self.interval = interval
        self.list_intervals = list_intervals or ListIntervals()
        self.beats: dict[endpoint.Endpoint, Beat] = {}
        self.tasks: list[asyncio.Task[None]] = []
        # Addresses of the peers heard lately, made once for all heartbeats of a round.
        self.addresses: frozenset[str] | None = None
        self.addresses_at = ids.Instant(0.0)
        self.listed: tuple[instances.ListedInstance, ...] = ()
        # Functions that see each heartbeat taken in, such as the configuration
        # reader that learns of higher revisions.
        self.listeners: list[Callable[[messages.Heartbeat], None]] = []

    def start(self) -> None:
        """Begin to beat; `transport` must already handle messages."""
        self.transport.handle(messages.Heartbeat, self.hear)
        for seed in self.seeds:
            self.beat_to(seed)
        self.tasks.append(tasks.start(self.sweep(), "membership sweep"))
        self.tasks.append(tasks.start(self.read_list(), "instance list"))

    async def stop(self) -> None:
        """Tell all peers that this instance is gone, and end the tasks."""
        self.members.update_own(lifecycle=messages.Lifecycle.GONE)
        self.tell_all()
        await tasks.stop([*self.tasks, *(beat.task for beat in self.beats.values())])

    def hear(self, sender: ids.InstanceId, heartbeat: messages.Heartbeat) -> None:
        """Take in a heartbeat and whatever peers it names."""
        self.members.hear(heartbeat, clock.now())
        self.beat_to(heartbeat.endpoint)
        for address in heartbeat.known:
            self.beat_to(endpoint.parse(address))
        for listener in self.listeners:
            listener(heartbeat)

    def beat_to(self, peer: endpoint.Endpoint) -> None:
        """Send heartbeats to a peer from now on."""
        if peer == self.transport.listen or peer in self.beats:
            return
        task = tasks.start(self.beat(peer), f"heartbeats to {peer}")
        self.beats[peer] = Beat(task, clock.now())

    async def beat(self, peer: endpoint.Endpoint) -> None:
        """Tell one peer how this instance is, until the peer is forgotten."""
        told: frozenset[str] = frozenset()
        told_at = clock.now()
        while True:
            now = clock.now()
            known = self.known_addresses(now)
            heartbeat = self.members.own
            with_known = known != told or now - told_at >= KNOWN_INTERVAL
            if with_known:
                heartbeat = msgspec.structs.replace(heartbeat, known=tuple(known))
            if self.transport.send(peer, heartbeat) and with_known:
                told = known
                told_at = now
            await asyncio.sleep(self.interval * self.members.stretch())

    def known_addresses(self, now: ids.Instant) -> frozenset[str]:
        """Return the addresses of the peers that were heard lately."""
        if self.addresses is None or now - self.addresses_at >= self.interval:
            self.addresses_at = now
            self.addresses = frozenset(
                str(member.endpoint)
                for member in self.members.peers.values()
                if not self.members.is_suspect(member, now)
            )
        return self.addresses

    def tell_all(self) -> None:
        """Send a heartbeat to all peers now, since something has changed."""
        self.members.tell_changes(clock.now())
        for peer in self.beats:
            self.transport.send(peer, self.members.own)

    async def sweep(self) -> None:
        """Forget peers that are long silent."""
        while True:
            await asyncio.sleep(self.interval)
            now = clock.now()
            self.members.sweep(now)
            self.stop_beats(now)

    def stop_beats(self, now: ids.Instant) -> None:
        """End the heartbeats to addresses where nobody has answered for long.

        Seeds and listed instances are kept: after a cut between data centres that
        outlasts the time to forget, they bring the two halves together again.
        All others end, or a deployment that replaces hundreds of instances a day
        would go on sending to every address it ever had.
        """
        kept = {*self.seeds, *self.listed_endpoints()}
        kept.update(member.endpoint for member in self.members.peers.values())
        for peer, beat in list(self.beats.items()):
            if peer in kept or now - beat.since <= self.members.forget_after:
                continue
            del self.beats[peer]
            beat.task.cancel()
            self.transport.forget(peer)

    def listed_endpoints(self) -> list[endpoint.Endpoint]:
        """Return where the platform's list says that instances are."""
        return [
            endpoint.Endpoint(listed.host, listed.peer_port)
            for listed in self.listed
            if listed.kind is instances.ListedKind.INSTANCE
        ]

    async def read_list(self) -> None:
        """Learn of peers from the platform's list."""
        pause = self.list_intervals.first
        while True:
            try:
                self.listed = await self.instance_list.listed()
                self.greet_listed()
            except errors.PlatformError as error:
                log.debug("the list of instances can't be read: {}", error)
            await asyncio.sleep(pause)
            pause = min(self.list_intervals.longest, 2 * pause)

    def greet_listed(self) -> None:
        """Send heartbeats to every instance on the list."""
        for peer in self.listed_endpoints():
            self.beat_to(peer)
