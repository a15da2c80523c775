"""Sending of heartbeats and discovery of peers."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import random
from collections.abc import Callable

import logbook
import msgspec

from tealcove import clock, errors, ids, tasks
from tealcove.membership import members, messages, relaying
from tealcove.peers import endpoint, mesh
from tealcove.storage import instances

log = logbook.Logger("membership")

# Seconds between two reads of the platform's list, which lags anyway.
LIST_INTERVAL = 2.0


class ListIntervals(msgspec.Struct, frozen=True):
    """Seconds between two reads of the list: initial and maximum.

    Doubled after each read, since each read is paid for and heartbeats announce new
    peers. The maximum applies at once when heartbeats of all listed peers arrive.
    """

    first: float = LIST_INTERVAL
    longest: float = LIST_INTERVAL


# A heartbeat lists the known peers when they have changed, and otherwise every so many
# seconds, in case the message that listed them was lost.
KNOWN_INTERVAL = 10.0


# Maximum seconds from the store's return to the check that this instance is listed,
# spread so that hundreds of instances don't call at once.
RELIST_SECONDS = 5.0


# The first heartbeat to a peer is lost while the connection is being established. It
# is retried at the pause below for so many seconds. A dispatcher without a heartbeat
# of an entry has no address for its answers: they are lost, and their slots stay
# reserved until the timeout.
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
        # Known or possible peer addresses, with the time each was added.
        self.known: dict[endpoint.Endpoint, ids.Instant] = {}
        # Sending tasks by recipient.
        self.senders: dict[endpoint.Endpoint, asyncio.Task[None]] = {}
        self.relaying = relaying.Relaying(transport, known, self.record_heartbeat)
        self.tasks: list[asyncio.Task[None]] = []
        # Addresses of live peers, computed once for all heartbeats of an interval.
        self.addresses: frozenset[str] | None = None
        self.addresses_at = ids.Instant(0.0)
        self.listed: tuple[instances.ListedInstance, ...] = ()
        self.is_relisting = asyncio.Event()
        # Called with each received heartbeat, such as the configuration reader that
        # learns of higher revisions.
        self.listeners: list[Callable[[messages.Heartbeat], None]] = []

    def start(self) -> None:
        """Start sending; `transport` must already handle messages."""
        self.transport.handle(messages.Heartbeat, self.handle_heartbeat)
        for seed in self.seeds:
            self.add_peer(seed)
        self.relaying.start()
        self.tasks.append(tasks.start_loop(self.sweep, "membership sweep"))
        self.tasks.append(tasks.start_loop(self.poll_list, "instance list"))

    async def stop(self) -> None:
        """Announce to all peers that this instance is gone, and stop the tasks."""
        self.members.update_own(lifecycle=messages.Lifecycle.GONE)
        self.broadcast()
        await self.relaying.stop()
        await tasks.stop([*self.tasks, *self.senders.values()])

    def handle_heartbeat(
        self, sender: ids.InstanceId, heartbeat: messages.Heartbeat
    ) -> None:
        """Record a heartbeat received from its sender, and the peers it lists."""
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
        """Send all known addresses to a new member, which may know no other peer."""
        known = tuple(self.known_addresses(now))
        own = msgspec.structs.replace(self.members.own, known=known)
        self.transport.send(peer, own)

    def record_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Record a heartbeat, received directly or from a relay."""
        self.members.record_heartbeat(heartbeat, clock.now())
        self.add_peer(heartbeat.endpoint)
        for listener in self.listeners:
            listener(heartbeat)

    def add_peer(self, peer: endpoint.Endpoint) -> None:
        """Add an address; in a small group, start sending heartbeats to it."""
        if peer == self.transport.listen or peer in self.known:
            return
        self.known[peer] = clock.now()
        if not self.members.is_large():
            self.start_sending(peer)

    def start_sending(self, peer: endpoint.Endpoint) -> None:
        """Start the task that sends heartbeats to a peer."""
        if peer not in self.senders:
            self.senders[peer] = tasks.start_loop(
                functools.partial(self.send_heartbeats, peer), f"heartbeats to {peer}"
            )

    def update_recipients(self, now: ids.Instant) -> None:
        """Start and stop sending tasks to match the wanted recipients.

        In a large group these are the relays and the addresses without a known member:
        seeds and listed addresses rejoin two halves after a network partition.
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
        """Send heartbeats to one peer until cancelled."""
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
        """Return the addresses of the peers that are not suspect."""
        if self.addresses is None or now - self.addresses_at >= self.interval:
            self.addresses_at = now
            self.addresses = frozenset(
                str(member.endpoint)
                for member in self.members.peers.values()
                if not self.members.is_suspect(member, now)
            )
        return self.addresses

    def broadcast(self) -> None:
        """Send a heartbeat to all recipients now, after a change."""
        self.members.notify_if_changed(clock.now())
        for peer in self.senders:
            self.transport.send(peer, self.members.own)
        self.relaying.schedule_forward()

    async def sweep(self) -> None:
        """Periodically remove silent peers and update the recipients."""
        while True:
            await asyncio.sleep(self.interval)
            now = clock.now()
            self.members.sweep(now)
            self.relaying.sweep(now)
            self.forget_silent(now)
            self.update_recipients(now)

    def forget_silent(self, now: ids.Instant) -> None:
        """Remove addresses without a known member after `forget_after`.

        Seeds and listed instances are kept: they rejoin two halves after a partition
        between data centres that lasts longer than that. All others are removed, or a
        deployment that replaces hundreds of instances a day would go on sending to
        every address it ever had.
        """
        kept = {*self.seeds, *self.listed_endpoints()}
        kept.update(member.endpoint for member in self.members.peers.values())
        for peer, since in list(self.known.items()):
            if peer in kept or now - since <= self.members.forget_after:
                continue
            del self.known[peer]
            self.transport.forget(peer)

    def listed_endpoints(self) -> list[endpoint.Endpoint]:
        """Return the peer addresses of the instances on the platform's list."""
        return [
            endpoint.Endpoint(listed.host, listed.peer_port)
            for listed in self.listed
            if listed.kind is instances.ListedKind.INSTANCE
        ]

    async def poll_list(self) -> None:
        """Periodically add the peers on the platform's list."""
        pause = self.list_intervals.first
        while True:
            try:
                self.listed = await self.instance_list.listed()
                self.add_listed_peers()
            except errors.PlatformError as error:
                log.debug("cannot read the list of instances: {}", error)
            await self.pause_list(pause)
            pause = min(self.list_intervals.longest, 2 * pause)
            if self.has_heard_all_listed():
                pause = self.list_intervals.longest

    async def pause_list(self, seconds: float) -> None:
        """Wait until the next read of the list, for less if the store was restored."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.is_relisting.wait()
                await asyncio.sleep(random.uniform(0.0, RELIST_SECONDS))
        if self.is_relisting.is_set():
            self.is_relisting.clear()
            self.instance_list.forget_own()

    def relist(self) -> None:
        """Read the list soon, and write this instance's row if it was lost."""
        self.is_relisting.set()

    def has_heard_all_listed(self) -> bool:
        """Return whether the list names other instances, all of them alive."""
        own = self.transport.listen
        listed = set(self.listed_endpoints()) - {own}
        heard = {heartbeat.endpoint for heartbeat in self.members.alive(clock.now())}
        return bool(listed) and listed <= heard

    def add_listed_peers(self) -> None:
        """Add every instance on the list as a peer."""
        for peer in self.listed_endpoints():
            self.add_peer(peer)
