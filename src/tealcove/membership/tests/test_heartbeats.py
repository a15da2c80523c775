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
LOOKS = heartbeats.ListIntervals(first=0.1, longest=60.0)


class Network:
    """Carries messages between the meshes of one test."""

    def __init__(self) -> None:
        self.meshes: dict[endpoint.Endpoint, LocalMesh] = {}
        # How long a first message has to wait; what is sent before is lost.
        self.connect_seconds = 0.0


class LocalMesh:
    """Stands in for a mesh: 25 real ones would have 600 connections to make."""

    def __init__(self, name: ids.InstanceId, network: Network) -> None:
        self.name = name
        self.network = network
        self.listen = endpoint.Endpoint(HOST, 1 + len(network.meshes))
        self.handlers: dict[type, Callable[[ids.InstanceId, object], None]] = {}
        self.sent = 0
        self.queues_first_messages = False
        # When each connection was begun.
        self.connecting: dict[endpoint.Endpoint, ids.Instant] = {}
        network.meshes[self.listen] = self

    def handle(self, kind: type, handler: Callable) -> None:
        """See mesh.Mesh."""
        self.handlers[kind] = handler

    def send(self, peer: endpoint.Endpoint, sent: object) -> bool:
        """See mesh.Mesh; what is sent arrives in the loop's next turn."""
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
        """Hand a message over, if its receiver still lives."""
        found = self.network.meshes.get(peer)
        if found is not None:
            found.handlers[type(sent)](self.name, sent)

    def forget(self, peer: endpoint.Endpoint) -> None:
        """See mesh.Mesh."""

    def stop(self) -> None:
        """Send and take nothing from now on."""
        self.network.meshes.pop(self.listen, None)


class ShortList(instances.InstanceList):
    """A list that counts how often it's looked at."""

    def __init__(self, *listed: instances.ListedInstance) -> None:
        self.found = listed
        self.looks = 0

    async def listed(self) -> tuple[instances.ListedInstance, ...]:
        """Return who is listed."""
        self.looks += 1
        return self.found


class One:
    """One instance, as far as membership goes."""

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
            self.mesh, self.members, self.list, seeds, INTERVAL, LOOKS
        )

    async def start(self) -> None:
        """Begin to beat."""
        self.heart.start()

    async def stop(self) -> None:
        """Leave."""
        await self.heart.stop()
        self.mesh.stop()

    def names(self) -> set[str]:
        """Return who is alive, as far as this one knows."""
        return {heartbeat.instance for heartbeat in self.members.alive(clock.now())}


@contextlib.asynccontextmanager
async def group(count: int, is_listed: bool = False) -> AsyncIterator[list[One]]:
    """Start instances that all know the first one only, and a list if there's one."""
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
    """Tell whether all know just each other."""
    wanted = {one.name for one in found}
    return all(one.names() == wanted for one in found)


async def until(check: Callable[[], bool]) -> None:
    """Wait until a check holds; far beyond any healthy wait."""
    async with asyncio.timeout(PATIENCE):
        while True:
            if check():
                return
            await asyncio.sleep(0.02)


async def watch(found: list[One], seconds: float) -> set[str]:
    """Return who counted as lost by anyone meanwhile."""
    end = clock.now() + seconds
    lost: set[str] = set()
    while clock.now() < end:
        wanted = {one.name for one in found}
        for one in found:
            lost |= wanted - one.names()
        await asyncio.sleep(0.05)
    return lost


async def kill(one: One, found: list[One]) -> None:
    """End an instance without a farewell."""
    one.heart.broadcast = lambda: None
    one.heart.relaying.is_relay = False
    await one.stop()
    found.remove(one)


async def kill_first_ranked(found: list[One]) -> None:
    """End the relays and twice as many of those next in rank."""
    ranked = ranking.rank("relay", [str(one.mesh.listen) for one in found])
    dead = ranked[: 3 * relay.RELAYS]
    for one in [one for one in found if str(one.mesh.listen) in dead]:
        await kill(one, found)


async def test_large_groups_send_few_heartbeats() -> None:
    """The more instances there are, the less work each of them gets done.

    Symptom: at 63 instances a tenth of a core each goes into heartbeats. Sequence:
    none; it's so all the time. Cause: each tells each of the others of itself.
    """
    async with group(LARGE) as found:
        # What the start sets off is over by then.
        await asyncio.sleep(2.0)
        before = sum(one.mesh.sent for one in found)
        assert await watch(found, 2.0) == set()
        sent = sum(one.mesh.sent for one in found) - before
    each_to_each = LARGE * (LARGE - 1) * 2.0 / INTERVAL
    assert sent < each_to_each / 3


async def test_a_lost_relay_takes_nobody_with_it() -> None:
    """All instances count as lost when those that pass heartbeats on are.

    Symptom: every instance believes that it's alone, and leads everything. Sequence:
    the relays die at the same moment. Cause: nobody else passes heartbeats on in
    time.
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
    """Every instance believes for 7 s that it's alone, after most have died.

    Symptom: as when all relays die, but until the dead are forgotten. Sequence: the
    relays die together with the next ones in rank. Cause: the next ones are chosen
    while nobody suspects them; when they are found silent, all others have become so.
    """
    async with group(LARGE) as found:
        await asyncio.sleep(2.0)
        await kill_first_ranked(found)
        assert await watch(found, 4.0) == set()


async def watch_the_others(seed: int, stall: float) -> set[str]:
    """Let instances that began one by one lose their relays and those after them.

    All stand still for some seconds in the middle of that. Returns who of the living
    counted as lost by anyone.
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
    loop.call_later(source.uniform(0.5, 2.5), loop.stand_still, stall)
    lost = await watch(found, 4.0)
    for one in found:
        await one.stop()
    return lost


@pytest.mark.parametrize("stall", [0.0, 0.6])
@pytest.mark.parametrize("seed", range(6))
def test_relays_that_die_one_after_the_other_take_nobody_with_them(
    seed: int, stall: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All living instances count as lost after more than a third has died at once.

    Symptom: as when all relays die, on some days only. Sequence: the relays die with
    the next six in rank; each instance looks at its relays at moments of its own, and
    finds one after the other silent. Cause: it tells everyone of itself only when it
    finds all of them silent at one look. Until then dead ones take the places of dead
    ones, with 1.25 s each.
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
    """Calls to the platform's list are paid for, and tell nothing new."""
    async with group(3, is_listed=True) as found:
        await asyncio.sleep(1.0)
        before = [one.list.looks for one in found]
        await asyncio.sleep(1.5)
        assert [one.list.looks for one in found] == before


async def test_peers_know_each_other_as_soon_as_they_are_connected() -> None:
    """Grants after a restart of everything go nowhere.

    Symptom: "no address" in a dispatcher's log, and slots that are given up as untold.
    Sequence: an entry hears a dispatcher and sends it a ticket; its own heartbeat to
    it was lost, since the connection was only being made. Cause: the next one came
    0.25 s later.
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
    """Return an instance as the list has it."""
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
