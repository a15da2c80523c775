"""Heartbeats of small and large groups, in one process."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Callable

import pytest

from tealcove import clock, ids
from tealcove.membership import heartbeats, members, messages, ranking, relay
from tealcove.peers import endpoint
from tealcove.storage import instances
from tealcove.tests import virtual

HOST = "127.0.0.1"
LARGE = members.FULL_MESH_PEERS + 5
PATIENCE = 30.0
INTERVAL = 0.25
LIST_INTERVALS = heartbeats.ListIntervals(first=0.1, longest=60.0)


class Network:
    """Carries messages between the meshes of one test."""

    def __init__(self) -> None:
        self.meshes: dict[endpoint.Endpoint, LocalMesh] = {}
        # Seconds until a connection is established; earlier messages are lost.
        self.connect_seconds = 0.0


class LocalMesh:
    """Stub of a mesh: 25 real ones would open 600 connections."""

    def __init__(self, name: ids.InstanceId, network: Network) -> None:
        self.name = name
        self.network = network
        self.listen = endpoint.Endpoint(HOST, 1 + len(network.meshes))
        self.handlers: dict[type, Callable[[ids.InstanceId, object], None]] = {}
        self.sent = 0
        self.queues_first_messages = False
        # When each connection attempt started.
        self.connecting: dict[endpoint.Endpoint, ids.Instant] = {}
        network.meshes[self.listen] = self

    def handle(self, kind: type, handler: Callable) -> None:
        """See mesh.Mesh."""
        self.handlers[kind] = handler

    def send(self, peer: endpoint.Endpoint, sent: object) -> bool:
        """See mesh.Mesh; messages arrive in the next turn of the event loop."""
        if peer not in self.network.meshes:
            return False
        if self.network.connect_seconds > 0.0:
            now = clock.now()
            since = self.connecting.setdefault(peer, now)
            if now - since < self.network.connect_seconds:
                return False
        self.sent += 1
        asyncio.get_running_loop().call_soon(self.deliver, peer, sent)
        return True

    def deliver(self, peer: endpoint.Endpoint, sent: object) -> None:
        """Deliver a message, if its receiver is still running."""
        found = self.network.meshes.get(peer)
        if found is not None:
            found.handlers[type(sent)](self.name, sent)

    def forget(self, peer: endpoint.Endpoint) -> None:
        """See mesh.Mesh."""

    def stop(self) -> None:
        """Stop sending and receiving."""
        self.network.meshes.pop(self.listen, None)


class ShortList(instances.InstanceList):
    """A list that counts how often it is read."""

    def __init__(self, *listed: instances.ListedInstance) -> None:
        self.found = listed
        self.reads = 0

    async def listed(self) -> tuple[instances.ListedInstance, ...]:
        """Return the listed instances."""
        self.reads += 1
        return self.found

    def forget_own(self) -> None:
        """See InstanceList."""


class One:
    """The membership part of one instance."""

    def __init__(
        self, name: str, network: Network, seeds: tuple[endpoint.Endpoint, ...]
    ) -> None:
        self.name = ids.InstanceId(name)
        incarnation = ids.Incarnation(f"of {name}")
        self.mesh = LocalMesh(self.name, network)
        own = messages.Heartbeat(
            instance=self.name,
            incarnation=incarnation,
            lifecycle=messages.Lifecycle.SERVING,
            data_centre=ids.DataCentreId("dc"),
            host=HOST,
            http_port=1,
            peer_host=HOST,
            peer_port=self.mesh.listen.port,
            revision=ids.Revision(1),
        )
        self.members = members.Members(own, suspect_after=1.0, forget_after=10.0)
        self.list = ShortList()
        self.heart = heartbeats.HeartbeatService(
            self.mesh, self.members, self.list, seeds, INTERVAL, LIST_INTERVALS
        )

    async def start(self) -> None:
        """Start sending heartbeats."""
        self.heart.start()

    async def stop(self) -> None:
        """Stop, and announce it to the peers."""
        await self.heart.stop()
        self.mesh.stop()

    def names(self) -> set[str]:
        """Return the instances that this one considers alive."""
        return {heartbeat.instance for heartbeat in self.members.alive(clock.now())}


@contextlib.asynccontextmanager
async def group(count: int, is_listed: bool = False) -> AsyncIterator[list[One]]:
    """Start instances that know only the first one, and the list if wanted."""
    network = Network()
    first = One("i-0", network, ())
    seeds = (first.mesh.listen,)
    found = [first, *(One(f"i-{n}", network, seeds) for n in range(1, count))]
    if is_listed:
        for one in found:
            one.list.found = tuple(listed(other) for other in found)
    try:
        for one in found:
            await one.start()
        await until(lambda: agree(found))
        yield found
    finally:
        for one in found:
            await one.stop()


def agree(found: list[One]) -> bool:
    """Return whether all instances know exactly each other."""
    wanted = {one.name for one in found}
    return all(one.names() == wanted for one in found)


async def until(check: Callable[[], bool]) -> None:
    """Wait until a check holds, for at most PATIENCE seconds."""
    async with asyncio.timeout(PATIENCE):
        while True:
            if check():
                return
            await asyncio.sleep(0.02)


async def watch(found: list[One], seconds: float) -> set[str]:
    """Return the instances that any other considered lost during some seconds."""
    end = clock.now() + seconds
    lost: set[str] = set()
    while clock.now() < end:
        wanted = {one.name for one in found}
        for one in found:
            lost |= wanted - one.names()
        await asyncio.sleep(0.05)
    return lost


async def kill(one: One, found: list[One]) -> None:
    """Stop an instance without an announcement."""
    one.heart.broadcast = lambda: None
    one.heart.relaying.is_relay = False
    await one.stop()
    found.remove(one)


async def kill_first_ranked(found: list[One]) -> None:
    """Kill the relays and twice as many of those next in rank."""
    ranked = ranking.rank("relay", [str(one.mesh.listen) for one in found])
    dead = ranked[: 3 * relay.RELAYS]
    for one in [one for one in found if str(one.mesh.listen) in dead]:
        await kill(one, found)


async def test_large_groups_send_few_heartbeats() -> None:
    """Heartbeats use a tenth of a core on each of 63 instances.

    Cause: each instance sends its own to each of the others.
    """
    async with group(LARGE) as found:
        # The traffic of the start is over by then.
        await asyncio.sleep(2.0)
        before = sum(one.mesh.sent for one in found)
        assert await watch(found, 2.0) == set()
        sent = sum(one.mesh.sent for one in found) - before
    each_to_each = LARGE * (LARGE - 1) * 2.0 / INTERVAL
    assert sent < each_to_each / 3


async def test_a_lost_relay_takes_nobody_with_it() -> None:
    """All instances become suspect when the relays are lost.

    Symptom: every instance considers itself the only one, and leads everything.
    Sequence: the relays die at the same moment. Cause: no other instance forwards
    heartbeats in time.
    """
    async with group(LARGE) as found:
        await asyncio.sleep(2.0)
        relays = [one for one in found if one.heart.relaying.is_relay]
        assert relays
        for one in relays:
            await kill(one, found)
        assert await watch(found, 4.0) == set()
        await until(lambda: agree(found))


async def test_relays_that_die_with_those_after_them_take_nobody_with_them() -> None:
    """Every instance considers itself the only one for 7 s after a mass failure.

    Symptom: as when all relays die, but until the dead are removed. Sequence: the
    relays die together with the next ones in rank. Cause: the next ones are selected
    before they are suspect; by the time they are, all others have become suspect, too.
    """
    async with group(LARGE) as found:
        await asyncio.sleep(2.0)
        await kill_first_ranked(found)
        assert await watch(found, 4.0) == set()


async def watch_the_others(seed: int, stall: float) -> set[str]:
    """Kill the relays and the next in rank of instances that started one by one.

    All stall for some seconds meanwhile. Returns the live instances that any other
    considered lost.
    """
    source = random.Random(seed)
    network = Network()
    found = [One("i-0", network, ())]
    seeds = (found[0].mesh.listen,)
    found += [One(f"i-{n}", network, seeds) for n in range(1, LARGE)]
    for one in found:
        await one.start()
        await asyncio.sleep(source.uniform(0.0, 0.05))
    await until(lambda: agree(found))
    await asyncio.sleep(source.uniform(2.0, 2.5))
    await kill_first_ranked(found)
    loop = asyncio.get_running_loop()
    loop.call_later(source.uniform(0.5, 2.5), loop.freeze, stall)
    lost = await watch(found, 4.0)
    for one in found:
        await one.stop()
    return lost


@pytest.mark.parametrize("stall", [0.0, 0.6])
@pytest.mark.parametrize("seed", range(6))
def test_relays_that_die_one_after_the_other_take_nobody_with_them(
    seed: int, stall: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All live instances become suspect after more than a third has died at once.

    Symptom: as when all relays die, but intermittent. Sequence: the relays die with the
    next six in rank; each instance checks its relays at times of its own, and finds one
    after the other silent. Cause: it sends heartbeats to all peers only when one check
    finds all relays silent. Until then dead ones replace dead ones, at 1.25 s each.
    """

    async def main() -> None:
        assert await watch_the_others(seed, stall) == set()

    virtual.run(monkeypatch, main())


async def test_a_leaving_instance_is_known_to_leave_at_once() -> None:
    async with group(LARGE) as found:
        await asyncio.sleep(2.0)
        leaving = next(one for one in found if not one.heart.relaying.is_relay)
        leaving.members.update_own(lifecycle=messages.Lifecycle.LEAVING)
        leaving.heart.broadcast()
        began = clock.now()
        others = [one for one in found if one is not leaving]

        def all_know() -> bool:
            states = [one.members.find(leaving.name).lifecycle for one in others]
            return set(states) == {messages.Lifecycle.LEAVING}

        await until(all_know)
        assert clock.now() - began < 0.5


async def test_a_newcomer_to_a_large_group_needs_one_address() -> None:
    async with group(LARGE) as found:
        await asyncio.sleep(2.0)
        network = found[-1].mesh.network
        newcomer = One("newcomer", network, (found[-1].mesh.listen,))
        found.append(newcomer)
        await newcomer.start()
        await until(lambda: agree(found))


async def test_a_small_group_beats_from_each_to_each() -> None:
    async with group(3) as found:
        assert all(len(one.heart.senders) == 2 for one in found)
        await kill(found[2], found)
        await until(lambda: agree(found))


async def test_the_list_is_left_alone_once_all_on_it_are_heard() -> None:
    """Reads of the platform's list are paid for, and add nothing then."""
    async with group(3, is_listed=True) as found:
        await asyncio.sleep(1.0)
        before = [one.list.reads for one in found]
        await asyncio.sleep(1.5)
        assert [one.list.reads for one in found] == before


async def test_peers_know_each_other_as_soon_as_they_are_connected() -> None:
    """Grants are lost after a restart of all instances.

    Symptom: "no address" in a dispatcher's log, and slots released after a timeout.
    Sequence: an entry receives a dispatcher's heartbeat and sends it a ticket; its own
    heartbeat was lost while the connection was being established. Cause: the next one
    followed 0.25 s later.
    """
    network = Network()
    network.connect_seconds = 0.03
    first = One("i-0", network, ())
    second = One("i-1", network, (first.mesh.listen,))
    began = clock.now()
    for one in (first, second):
        await one.start()
    await until(lambda: agree([first, second]))
    assert clock.now() - began < INTERVAL
    for one in (first, second):
        await one.stop()


def listed(one: One) -> instances.ListedInstance:
    """Return the list entry of an instance."""
    own = one.members.own
    return instances.ListedInstance(
        name=own.instance,
        kind=instances.ListedKind.INSTANCE,
        state=instances.ListedState.LIVE,
        host=own.peer_host,
        http_port=own.http_port,
        peer_port=own.peer_port,
        data_centre=own.data_centre,
    )
