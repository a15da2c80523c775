"""The catalog reaches all instances of a large group by way of a few."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

import msgspec
import pytest

from tealcove import clock, ids
from tealcove.catalog import following
from tealcove.catalog.tests import builders
from tealcove.tests import virtual

COUNT, DATA_CENTRES = 90, 3
ROUTES = 1600
# Seconds within which a configuration must be in force everywhere: operators require
# 2 s in small groups, 3 s in groups of this size.
BOUND = 3.0
# Part of it reserved for what virtual time leaves out: processing and busy links.
MARGIN = 0.75


@pytest.fixture
def play(monkeypatch: pytest.MonkeyPatch):
    """Return a function that runs a coroutine in virtual time."""

    def run(main: Coroutine[None, None, None]) -> None:
        virtual.run(monkeypatch, main)

    return run


def test_a_growing_configuration_delays_no_request(play) -> None:
    """Almost no request is served for seconds after a configuration has grown.

    Symptom: requests time out everywhere without a failed instance. Sequence: a
    configuration of 1,600 routes gets four revisions within 4 s. Cause: each instance
    reads each whole revision from the store over its own link, .8 s at 5 Mbit/s, treats
    the wait as an outage and asks the same few peers, whose links then carry whole
    documents; everything else waits behind them.
    """

    async def run() -> None:
        group = builders.Group(COUNT, DATA_CENTRES)
        await builders.settled(group)
        assert len(group.chosen()) == following.FOLLOWERS * DATA_CENTRES
        probing = asyncio.create_task(group.probe(1, 8.0))
        seconds = []
        for revision in range(4):
            content = builders.big_configuration(ROUTES, revision + 2)
            group.configurations.put(builders.KEY, content)
            seconds.append(await group.in_force())
            await asyncio.sleep(max(0.0, 1.0 - seconds[-1]))
        await probing
        # Where all follow and ask, the second revision isn't in force within 60 s.
        assert max(group.probed) < 0.25
        assert max(seconds) < BOUND
        await group.stop()

    play(run())


def test_calls_to_the_store_do_not_grow_with_instances(play) -> None:
    """Calls to the store are the largest cost at 195 instances.

    Symptom: 9,373 calls in a day. Sequence: servers start, the history is lost, the
    store is down for 6 s. Cause: each instance follows both tables itself.
    """

    async def run() -> None:
        found = {}
        for count in (60, 120):
            group = builders.Group(count, DATA_CENTRES)
            await builders.settled(group)
            tables = (group.configurations, group.servers)
            before = sum(table.calls for table in tables)
            for number in range(20):
                group.servers.put(f"s-{number}", builders.server())
                await asyncio.sleep(0.5)
            for table in tables:
                table.forget()
            await asyncio.sleep(2.0)
            for table in tables:
                table.fail(True)
            await asyncio.sleep(6.0)
            for table in tables:
                table.fail(False)
            await asyncio.sleep(8.0)
            group.configurations.put(builders.KEY, builders.big_configuration(9, 3))
            assert await group.in_force() < BOUND
            assert all(len(part.servers.known) == 20 for part in group.parts)
            found[count] = sum(table.calls for table in tables) - before
            await group.stop()
        # Where all follow, 2,640 and 5,280.
        assert found[60] < 900
        assert found[120] < 1.3 * found[60]

    play(run())


@pytest.mark.parametrize("fault", ["dead", "refused", "mute"])
def test_a_change_reaches_all_when_a_data_centres_followers_fail(
    fault: str, play
) -> None:
    """A data centre keeps accepting revoked keys.

    Symptom: requests with an old key are served there. Sequence: all followers of that
    data centre die, are refused by the store, or get no more answers from it; a key is
    revoked. Cause: the other instances depend on them alone.
    """

    async def run() -> None:
        group = builders.Group(COUNT, DATA_CENTRES)
        await builders.settled(group)
        for number in group.chosen():
            if number % DATA_CENTRES != 0:
                continue
            if fault == "dead":
                group.network.dead.add(number)
            for store in group.parts[number].stores:
                store.refuses = fault == "refused"
                store.is_mute = fault == "mute"
        group.configurations.put(builders.KEY, builders.big_configuration(30, 2))
        assert await group.in_force() < BOUND
        # And again, when other followers have replaced them.
        await asyncio.sleep(10.0)
        group.configurations.put(builders.KEY, builders.big_configuration(40, 3))
        assert await group.in_force() < 1.0
        await group.stop()

    play(run())


def test_an_isolated_instance_follows_the_store_itself(play) -> None:
    """An instance serves an old configuration for as long as it is isolated.

    Symptom: it alone serves routes that were removed. Sequence: it is disconnected from
    all other instances, but not from the store. Cause: it depends on the others.
    """

    async def run() -> None:
        group = builders.Group(COUNT, DATA_CENTRES)
        await builders.settled(group)
        lost = next(n for n in range(COUNT) if n not in group.chosen())
        group.network.alone.add(lost)
        # In a large group, peers are suspect after 3 s.
        await asyncio.sleep(4.0)
        group.configurations.put(builders.KEY, builders.big_configuration(30, 2))
        assert await group.in_force() < 1.0
        await group.stop()

    play(run())


def test_an_isolated_instance_gets_a_change_before_its_peers_are_suspect(
    play,
) -> None:
    """An instance that was just isolated from its peers serves an old revision."""

    async def run() -> None:
        group = builders.Group(COUNT, DATA_CENTRES)
        await builders.settled(group)
        lost = next(n for n in range(COUNT) if n not in group.chosen())
        group.network.alone.add(lost)
        await asyncio.sleep(0.1)
        group.configurations.put(builders.KEY, builders.big_configuration(30, 2))
        assert await group.in_force() < BOUND - MARGIN
        await group.stop()

    play(run())


@pytest.mark.parametrize("seed", range(8))
def test_survivors_of_a_mass_kill_learn_of_a_change_in_time(seed: int, play) -> None:
    """Survivors serve an old revision: relays, followers and peers died together."""

    async def run() -> None:
        group = builders.Group(COUNT, 5, seed)
        await builders.settled(group)
        group.kill(int(0.6 * COUNT), seed)
        await asyncio.sleep(0.1)
        for revision in range(4):
            content = builders.big_configuration(30 + revision, revision + 2)
            group.configurations.put(builders.KEY, content)
            if revision == 0:
                first = asyncio.create_task(group.in_force())
            await asyncio.sleep(0.6)
        assert await first < BOUND - MARGIN
        await group.stop()

    play(run())


def test_an_instance_refused_by_the_store_keeps_up_with_its_peers(play) -> None:
    """A server gets a request 2.3 s after it has declared that it is leaving.

    Symptom: requests reach servers that left, from one instance only. Sequence: the
    store refuses that instance; servers leave one after the other. Cause: after a
    peer's answer the timer of the request runs on, and the next revision isn't
    requested until it fires.
    """

    async def run() -> None:
        group = builders.Group(6, 1)
        await builders.settled(group)
        late = group.parts[3]
        for store in late.stores:
            store.refuses = True
        await asyncio.sleep(2.0)
        lags = []
        for number in range(30):
            group.servers.put(f"s-{number}", builders.server())
            lags.append(await builders.caught_up(late, group.servers.version))
            await asyncio.sleep(max(0.0, 0.3 - lags[-1]))
        # A heartbeat interval, the patience, and the network delays.
        assert max(lags) < 0.75
        await group.stop()

    play(run())


@pytest.mark.parametrize("count", [9, COUNT])
def test_a_change_after_the_stores_return_reaches_all(count: int, play) -> None:
    """Instances with a copy of the earlier era had the highest revision."""

    async def run() -> None:
        group = builders.Group(count, DATA_CENTRES)
        await builders.settled(group)
        table = group.configurations
        saved, version = dict(table.rows), table.version
        for number in range(2, 9):
            table.put(builders.KEY, builders.big_configuration(9, number))
        await group.in_force_version(8)
        # One follows the store in vain, and hears of the new era by peers only.
        group.parts[0].stores[0].refuses = True
        for one in (group.configurations, group.servers):
            one.fail(True)
        await asyncio.sleep(1.0)
        table.restore(saved, version)
        group.servers.restore({}, 0)
        for one in (group.configurations, group.servers):
            one.fail(False)
        await asyncio.sleep(1.0)
        assert all(part.configuration.version == 8 for part in group.parts)
        table.put(builders.KEY, builders.big_configuration(9, 9))
        assert await group.in_force_version(9) < BOUND - MARGIN
        await group.stop()

    play(run())


def test_halves_that_know_different_eras_agree_once_they_meet(play) -> None:
    """An instance cut off from all others went on with the earlier era's copy."""

    async def run() -> None:
        group = builders.Group(9, DATA_CENTRES)
        await builders.settled(group)
        table = group.configurations
        saved, version = dict(table.rows), table.version
        for number in range(2, 9):
            table.put(builders.KEY, builders.big_configuration(9, number))
        await group.in_force_version(8)
        group.network.alone.add(0)
        for store in group.parts[0].stores:
            store.refuses = True
        table.restore(saved, version)
        table.put(builders.KEY, builders.big_configuration(9, 9))
        await asyncio.sleep(5.0)
        assert group.parts[0].configuration.version == 8
        group.network.alone.clear()
        assert await group.in_force_version(9) < BOUND - MARGIN
        await group.stop()

    play(run())


def test_followers_that_know_the_newest_era_go_first(play) -> None:
    """Instances of the version before, which know no eras, were all that followed."""

    async def run() -> None:
        group = builders.Group(30, 1)
        group.servers.era = ids.Era(1)
        group.servers.put("s-0", builders.server())
        await builders.settled(group)
        part = group.parts[0]
        now = clock.now()
        own = part.members.own.instance
        outdated = [name for name in part.following.chosen(now) if name != own]
        for instance in outdated:
            heard = part.members.find(instance)
            old = msgspec.structs.replace(
                heard, servers_revision=ids.Revision(7), change=heard.change + 1
            )
            part.members.record_heartbeat(old, now)
        assert outdated
        assert not set(outdated) & set(part.following.chosen(now))
        await group.stop()

    play(run())
