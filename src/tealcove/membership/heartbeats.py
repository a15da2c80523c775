"""The tasks that send heartbeats and find peers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import logbook
import msgspec

from tealcove import clock, errors, ids, tasks
from tealcove.membership import members, messages, relaying
from tealcove.peers import endpoint, mesh
from tealcove.storage import instances

log = logbook.Logger("membership")

# Seconds between two looks at the platform's list, which lags anyway.
LIST_INTERVAL = 2.0


class ListIntervals(msgspec.Struct, frozen=True):
    """Seconds between two looks at the list: at first, and at the longest.

    Doubled from look to look, where each look is paid for and heartbeats tell of
    new peers; the longest at once when all that are listed are heard.
    """

    first: float = LIST_INTERVAL
    longest: float = LIST_INTERVAL


# A heartbeat names the peers that the sender knows when they have changed, and
# otherwise after so many seconds, in case the one that did was lost.
KNOWN_INTERVAL = 10.0


# The first heartbeat to a peer is lost while the connection is being made. For so many
# seconds it's tried again after so many. A dispatcher that hasn't heard an entry yet
# has no address for its answers: they're lost, and their slots kept until given up.
CONNECT_RETRY_SECONDS = 0.5
CONNECT_RETRY_PAUSE = 0.02


class HeartbeatService:
    """Sends heartbeats to peers, one task each, and discovers new peers."""

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
        # Where instances are or may be, and since when that is known.
        self.known: dict[endpoint.Endpoint, ids.Instant] = {}
        # The tasks that send heartbeats, by whom they send to.
        self.senders: dict[endpoint.Endpoint, asyncio.Task[None]] = {}
        self.relaying = relaying.Relaying(transport, known, self.record_heartbeat)
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
        self.transport.handle(messages.Heartbeat, self.handle_heartbeat)
        for seed in self.seeds:
            self.add_peer(seed)
        self.relaying.start()
        self.tasks.append(tasks.start(self.sweep(), "membership sweep"))
        self.tasks.append(tasks.start(self.poll_list(), "instance list"))

    async def stop(self) -> None:
        """Tell all peers that this instance is gone, and end the tasks."""
        self.members.update_own(lifecycle=messages.Lifecycle.GONE)
        self.broadcast()
        await self.relaying.stop()
        await tasks.stop([*self.tasks, *self.senders.values()])

    def handle_heartbeat(
        self, sender: ids.InstanceId, heartbeat: messages.Heartbeat
    ) -> None:
        """Record a heartbeat from its sender, and whatever peers it names."""
        now = clock.now()
        self.relaying.note_heartbeat(heartbeat, now)
        before = self.members.find(heartbeat.instance)
        is_new = before is None or before.incarnation != heartbeat.incarnation
        if is_new and self.members.is_large():
            self.send_known_peers(heartbeat.endpoint, now)
        self.record_heartbeat(heartbeat)
        for address in heartbeat.known:
            self.add_peer(endpoint.parse(address))

    def send_known_peers(self, peer: endpoint.Endpoint, now: ids.Instant) -> None:
        """Tell a newcomer to a large group of all, since it may know nobody else."""
        known = tuple(self.known_addresses(now))
        own = msgspec.structs.replace(self.members.own, known=known)
        self.transport.send(peer, own)

    def record_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Record a heartbeat, passed on or not."""
        self.members.record_heartbeat(heartbeat, clock.now())
        self.add_peer(heartbeat.endpoint)
        for listener in self.listeners:
            listener(heartbeat)

    def add_peer(self, peer: endpoint.Endpoint) -> None:
        """Send heartbeats to a peer from now on, or to those who pass them on to it."""
        if peer == self.transport.listen or peer in self.known:
            return
        self.known[peer] = clock.now()
        if not self.members.is_large():
            self.start_sending(peer)

    def start_sending(self, peer: endpoint.Endpoint) -> None:
        """Start the heartbeats to a peer."""
        if peer not in self.senders:
            self.senders[peer] = tasks.start(
                self.send_heartbeats(peer), f"heartbeats to {peer}"
            )

    def update_recipients(self, now: ids.Instant) -> None:
        """Begin and end heartbeats, so that they go to whom they should.

        In a large group that is the relays, and addresses where nobody is known to
        be: seeds and listed ones bring two halves together again after a cut.
        """
        wanted = set(self.known)
        self.transport.queues_first_messages = self.members.is_large()
        if self.members.is_large():
            relays = self.relaying.choose(now)
            if not self.relaying.has_lost_all_relays(now):
                wanted -= {member.endpoint for member in self.members.peers.values()}
                wanted |= relays
        for peer in wanted - self.senders.keys():
            self.start_sending(peer)
        for peer in self.senders.keys() - wanted:
            self.senders.pop(peer).cancel()

    async def send_heartbeats(self, peer: endpoint.Endpoint) -> None:
        """Tell one peer how this instance is, until the peer is forgotten."""
        sent_known: frozenset[str] = frozenset()
        began = sent_at = clock.now()
        while True:
            now = clock.now()
            known = self.known_addresses(now)
            heartbeat = self.members.own
            with_known = known != sent_known or now - sent_at >= KNOWN_INTERVAL
            if with_known:
                heartbeat = msgspec.structs.replace(heartbeat, known=tuple(known))
            is_sent = self.transport.send(peer, heartbeat)
            if is_sent and with_known:
                sent_known = known
                sent_at = now
            is_new = now - began < CONNECT_RETRY_SECONDS
            pause = CONNECT_RETRY_PAUSE if is_new and not is_sent else self.interval
            await asyncio.sleep(pause)

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

    def broadcast(self) -> None:
        """Send a heartbeat to all peers now, since something has changed."""
        self.members.notify_if_changed(clock.now())
        for peer in self.senders:
            self.transport.send(peer, self.members.own)
        self.relaying.schedule_forward()

    async def sweep(self) -> None:
        """Forget peers that are long silent."""
        while True:
            await asyncio.sleep(self.interval)
            now = clock.now()
            self.members.sweep(now)
            self.relaying.sweep(now)
            self.forget_silent(now)
            self.update_recipients(now)

    def forget_silent(self, now: ids.Instant) -> None:
        """Forget addresses where nobody has answered for long.

        Seeds and listed instances are kept: after a cut between data centres that
        outlasts the time to forget, they bring the two halves together again.
        All others end, or a deployment that replaces hundreds of instances a day
        would go on sending to every address it ever had.
        """
        kept = {*self.seeds, *self.listed_endpoints()}
        kept.update(member.endpoint for member in self.members.peers.values())
        for peer, since in list(self.known.items()):
            if peer in kept or now - since <= self.members.forget_after:
                continue
            del self.known[peer]
            self.transport.forget(peer)

    def listed_endpoints(self) -> list[endpoint.Endpoint]:
        """Return where the platform's list says that instances are."""
        return [
            endpoint.Endpoint(listed.host, listed.peer_port)
            for listed in self.listed
            if listed.kind is instances.ListedKind.INSTANCE
        ]

    async def poll_list(self) -> None:
        """Learn of peers from the platform's list."""
        pause = self.list_intervals.first
        while True:
            try:
                self.listed = await self.instance_list.listed()
                self.add_listed_peers()
            except errors.PlatformError as error:
                log.debug("the list of instances can't be read: {}", error)
            await asyncio.sleep(pause)
            pause = min(self.list_intervals.longest, 2 * pause)
            if self.has_heard_all_listed():
                pause = self.list_intervals.longest

    def has_heard_all_listed(self) -> bool:
        """Tell whether the list has somebody else, and nobody that is unheard."""
        own = self.transport.listen
        listed = set(self.listed_endpoints()) - {own}
        heard = {heartbeat.endpoint for heartbeat in self.members.alive(clock.now())}
        return bool(listed) and listed <= heard

    def add_listed_peers(self) -> None:
        """Send heartbeats to every instance on the list."""
        for peer in self.listed_endpoints():
            self.add_peer(peer)
