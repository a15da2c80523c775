"""A group of instances in virtual time, with a store and links of some bandwidth."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable

import msgspec

from tealcove import clock, errors, ids
from tealcove.catalog import copies, follower, following, serverlist, sharing
from tealcove.membership import members, messages
from tealcove.membership.tests import builders as membership_builders
from tealcove.peers import endpoint, message
from tealcove.platform import documents
from tealcove.platform.tests import builders as platform_builders
from tealcove.storage import feed, revisions

KEY = "config"
CONFIGURATION_TABLE = "declared"
SERVERS_TABLE = "servers"
# The network delay between any two instances, in seconds.
WAY = 0.002
# The interval of heartbeats, which reach all others within two by way of the relays.
BEAT = 0.25
ANSWER_SECONDS = 0.005
# Seconds until live instances receive each other's heartbeats after all relays have
# died: the silence timeout of relays, a check, and a heartbeat to every peer.
RELAYS_REPLACED = 1.75
LINKS = (5.0, 10.0, 20.0, 50.0, 100.0)
BYTES_IN_MBIT = 1_000_000 / 8
WAIT = 5.0
# The store sends a document as base64 within JSON.
BASE64 = 4 / 3


def big_configuration(routes: int, seed: int) -> bytes:
    """Return an encoded configuration with many routes."""
    source = random.Random(seed)

    def word(length: int) -> str:
        return "".join(source.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=length))

    written = [
        {
            "name": word(9),
            "host": f"{word(6)}.example",
            "prefix": f"/{word(7)}/{word(2)}/",
            "type": "stream",
            "timeout_ms": 11_134,
            "goal_ms": 445,
            "priority": 1,
            "service": word(7),
            "attempts": 2,
            "public": False,
            "resumable": True,
            "gap_target_ms": 300,
        }
        for _ in range(routes)
    ]
    return msgspec.json.encode({"version": seed, "routes": written})


class Network:
    """Carries messages over the links of both ends, one at a time on each."""

    def __init__(self, widths: list[float]) -> None:
        self.widths = [width * BYTES_IN_MBIT for width in widths]
        self.free = {
            (number, way): 0.0
            for number, way in itertools.product(range(len(widths)), ("up", "down"))
        }
        self.dead: set[int] = set()
        # Instances that are disconnected from all others, but reach the store.
        self.alone: set[int] = set()

    def carry(self, number: int, way: str, size: float, since: float) -> float:
        """Return when bytes that enter a link at `since` have passed it."""
        begun = max(since, self.free[number, way])
        self.free[number, way] = begun + size / self.widths[number]
        return self.free[number, way]

    def arrival(self, sender: int, receiver: int, size: float) -> float:
        """Return when bytes from one instance arrive at another."""
        gone = self.carry(sender, "up", size, clock.now())
        return self.carry(receiver, "down", size, gone) + WAY

    def separates(self, one: int, other: int) -> bool:
        """Return whether two instances can't reach each other."""
        if one == other:
            return False
        return bool({one, other} & (self.dead | self.alone))


class Store(feed.Feed):
    """One table's changes, for one instance over its own link."""

    def __init__(self, shared: Table, network: Network, number: int) -> None:
        self.table = shared
        self.network = network
        self.number = number
        # Refuses at once, or never answers.
        self.refuses = False
        self.is_mute = False

    async def read_all(self, table: str) -> feed.Page:
        """Return the newest row of each key."""
        return await self.answer(0)

    async def wait_for_changes(
        self,
        table: str,
        since: int,
        seconds: float,
        arriving: Callable[[], None] | None = None,
    ) -> feed.Page:
        """Return the newest rows after a version, once there are any."""
        self.table.calls += 1
        if self.refuses and arriving is not None:
            # A refusal is an answer, too.
            arriving()
        await self.admit()
        self.check_history(since)
        try:
            async with asyncio.timeout(seconds):
                while self.table.revision() <= since or self.is_mute:
                    await self.table.wait()
                    self.check()
        except TimeoutError:
            if self.is_mute:
                raise unavailable() from None
        self.check_history(since)
        if arriving is not None:
            arriving()
        return await self.answer(since, paid=True)

    def check_history(self, since: int) -> None:
        """Raise HistoryLostError unless the changes since a revision are kept."""
        is_other_era = revisions.era_of(since) != self.table.era
        if is_other_era or revisions.number_of(since) < self.table.kept_from:
            raise feed.HistoryLostError("changes are gone", "Read the whole table.")

    async def admit(self) -> None:
        """Accept a call; raises PlatformUnavailableError."""
        await asyncio.sleep(ANSWER_SECONDS)
        self.check()

    def check(self) -> None:
        """Raise PlatformUnavailableError if the store refuses calls or is down."""
        if self.refuses or self.table.is_down:
            raise unavailable()

    async def answer(self, since: int, paid: bool = False) -> feed.Page:
        """Return the rows when the link has carried them."""
        if not paid:
            self.table.calls += 1
            await self.admit()
        rows = [row for row in self.table.numbered() if row.version > since]
        version = self.table.revision()
        size = sum(len(row.value or b"") for row in rows) * BASE64
        until = self.network.carry(self.number, "down", size, clock.now())
        await asyncio.sleep(until - clock.now())
        return feed.Page(tuple(rows), version)


def unavailable() -> errors.PlatformUnavailableError:
    """Return the error of a call that the store refuses."""
    return errors.PlatformUnavailableError("turned away", "wait")


class Table:
    """The rows of a table, shared by all instances."""

    def __init__(self) -> None:
        self.rows: dict[str, feed.Entry] = {}
        self.version = 0
        self.era = ids.NO_ERA
        self.kept_from = 0
        self.calls = 0
        self.is_down = False
        self.waiting: list[asyncio.Future[None]] = []

    def put(self, key: str, value: bytes) -> None:
        """Write a row."""
        self.version += 1
        self.rows[key] = feed.Entry(key, value, self.version)
        self.wake()

    def revision(self) -> int:
        """Return the newest version as a revision."""
        return revisions.revision_of(self.era, self.version)

    def numbered(self) -> list[feed.Entry]:
        """Return the rows with their revisions."""
        return [
            feed.Entry(row.key, row.value, revisions.revision_of(self.era, row.version))
            for row in self.rows.values()
        ]

    def restore(self, rows: dict[str, feed.Entry], version: int) -> None:
        """Return from a copy that has some rows, as of a version."""
        self.era = ids.Era(self.era + 1)
        self.rows = dict(rows)
        self.version = version
        self.wake()

    def forget(self) -> None:
        """Discard the history of changes."""
        self.kept_from = self.version + 1
        self.version += 1
        self.wake()

    def fail(self, is_down: bool) -> None:
        """Start or end an outage."""
        self.is_down = is_down
        self.wake()

    def wake(self) -> None:
        """Wake all waiting calls."""
        waiting, self.waiting = self.waiting, []
        for future in waiting:
            if not future.done():
                future.set_result(None)

    async def wait(self) -> None:
        """Wait for the next change."""
        future = asyncio.get_running_loop().create_future()
        self.waiting.append(future)
        await future


class Transport:
    """An instance's side of the network."""

    def __init__(self, group: Group, number: int) -> None:
        self.group = group
        self.number = number
        self.handlers: dict[type, Callable[..., None]] = {}

    def handle(self, kind: type, handler: Callable[..., None]) -> None:
        """Register the handler of a message type."""
        self.handlers[kind] = handler

    def send(self, peer: endpoint.Endpoint, sent: message.Message) -> bool:
        """Send a message over the links of both."""
        self.group.send(self.number, self.group.number_at[peer], sent)
        return True


class StubHeartbeats:
    """Stub of the heartbeat service; Group.beat delivers the heartbeats."""

    def __init__(self) -> None:
        self.listeners: list[Callable[[messages.Heartbeat], None]] = []

    def broadcast(self) -> None:
        """Do nothing: heartbeats are sent periodically anyway."""


class Part:
    """The catalog parts of one instance."""

    def __init__(self, group: Group, number: int, width: float) -> None:
        beat = membership_builders.heartbeat(
            number, data_centre=f"dc-{number % group.data_centres}", revision=0
        )
        own = msgspec.structs.replace(beat, link_class=int(width))
        self.members = members.Members(own, 1.0, 10.0)
        self.heartbeats = StubHeartbeats()
        self.transport = Transport(group, number)
        self.configuration = copies.ConfigurationCopy(
            KEY, documents.decode_configuration
        )
        self.servers = serverlist.ServersCopy(documents.decode_server)
        self.stores = (
            Store(group.configurations, group.network, number),
            Store(group.servers, group.network, number),
        )
        held = (self.configuration, self.servers)
        tables = (CONFIGURATION_TABLE, SERVERS_TABLE)
        self.following = following.Following(
            self.members,
            tuple(
                follower.Follower(source, table, copy, follower.Pace(WAIT))
                for source, table, copy in zip(self.stores, tables, held, strict=True)
            ),
        )
        self.sharing = sharing.Sharing(
            self.transport,
            self.members,
            self.heartbeats,
            held,
            self.following,
            width * BYTES_IN_MBIT,
        )
        self.sharing.start()

    def follows(self) -> bool:
        """Return whether it follows the store."""
        return bool(self.following.tasks)


class Group:
    """Instances of some data centres, the store's tables and the links."""

    def __init__(self, count: int, data_centres: int, seed: int = 1) -> None:
        source = random.Random(seed)
        self.data_centres = data_centres
        self.configurations = Table()
        self.servers = Table()
        widths = [source.choice(LINKS) for _ in range(count)]
        self.network = Network(widths)
        self.parts = [Part(self, n, width) for n, width in enumerate(widths)]
        self.number_at = {
            part.members.own.endpoint: number for number, part in enumerate(self.parts)
        }
        # Until when no relay forwards heartbeats.
        self.silent_until = 0.0
        # Transfer times of messages of a request's size, in seconds.
        self.probed: list[float] = []
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Write the first configuration, and start all instances and heartbeats."""
        self.configurations.put(KEY, big_configuration(20, 1))
        for part in self.parts:
            part.following.start()
        self.tasks.append(asyncio.create_task(self.beat()))

    async def stop(self) -> None:
        """Stop all tasks."""
        for task in self.tasks:
            task.cancel()
        for part in self.parts:
            await part.following.stop()
            await part.sharing.stop()

    def send(self, sender: int, receiver: int, sent: message.Message) -> None:
        """Schedule the delivery of a message over the links."""
        if self.network.separates(sender, receiver):
            return
        size = len(msgspec.msgpack.encode(sent))
        at = self.network.arrival(sender, receiver, size)
        asyncio.get_running_loop().call_at(at, self.deliver, sender, receiver, sent)

    def deliver(self, sender: int, receiver: int, sent: message.Message) -> None:
        """Deliver a message to its handler."""
        if receiver in self.network.dead:
            return
        name = self.parts[sender].members.own.instance
        self.parts[receiver].transport.handlers[type(sent)](name, sent)

    async def beat(self) -> None:
        """Deliver all heartbeats to all instances periodically."""
        while True:
            told = [part.members.own for part in self.parts]
            await asyncio.sleep(BEAT)
            if clock.now() < self.silent_until:
                continue
            for receiver, part in enumerate(self.parts):
                self.deliver_heartbeats(receiver, part, told)

    def deliver_heartbeats(
        self, receiver: int, part: Part, told: list[messages.Heartbeat]
    ) -> None:
        """Deliver the heartbeats of all reachable instances to one."""
        if receiver in self.network.dead:
            return
        for sender, heartbeat in enumerate(told):
            if sender == receiver or self.network.separates(sender, receiver):
                continue
            part.members.record_heartbeat(heartbeat, clock.now())
            for listener in part.heartbeats.listeners:
                listener(heartbeat)

    async def probe(self, seed: int, seconds: float, size: int = 2000) -> None:
        """Measure transfers of a request's size between random instances."""
        source = random.Random(seed)
        end = clock.now() + seconds
        while clock.now() < end:
            sender, receiver = source.sample(range(len(self.parts)), 2)
            at = self.network.arrival(sender, receiver, size)
            self.probed.append(at - clock.now())
            await asyncio.sleep(0.01)

    def kill(self, count: int, seed: int) -> None:
        """Kill instances, relays among them, which are replaced later."""
        source = random.Random(seed)
        self.network.dead.update(source.sample(range(len(self.parts)), count))
        self.silent_until = clock.now() + RELAYS_REPLACED

    def living(self) -> list[Part]:
        """Return the instances that aren't dead."""
        return [p for n, p in enumerate(self.parts) if n not in self.network.dead]

    def chosen(self) -> list[int]:
        """Return the instances that follow the store."""
        return [number for number, part in enumerate(self.parts) if part.follows()]

    async def in_force_version(self, version: int) -> float:
        """Return the seconds until all have the operator's version."""
        began = clock.now()
        while any(p.configuration.version < version for p in self.living()):
            await asyncio.sleep(0.01)
            assert clock.now() - began < 60.0
        return clock.now() - began

    async def in_force(self) -> float:
        """Return the seconds until the newest configuration is in force everywhere."""
        began = clock.now()
        version = self.configurations.version
        while any(p.configuration.revision < version for p in self.living()):
            await asyncio.sleep(0.01)
            assert clock.now() - began < 60.0
        return clock.now() - began


async def settled(group: Group) -> None:
    """Wait until a group serves and only the selected followers remain."""
    group.start()
    await group.in_force()
    await asyncio.sleep(5.0)


async def caught_up(part: Part, version: int) -> float:
    """Return the seconds until an instance has the servers of a version."""
    began = clock.now()
    while part.servers.revision < version:
        await asyncio.sleep(0.01)
        assert clock.now() - began < 60.0
    return clock.now() - began


def server() -> bytes:
    """Return a backend server's entry."""
    return msgspec.json.encode(platform_builders.WRITTEN)
