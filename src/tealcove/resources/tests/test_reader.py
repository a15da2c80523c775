"""Instances follow the log, and each other while the platform is down."""

from __future__ import annotations

import asyncio

import pytest

from tealcove import errors, ids
from tealcove.resources import kinds, reader, snapshots
from tealcove.resources.tests import builders
from tealcove.storage import memory

TIER = kinds.Kind.SERVICE_TIER


class OnePeer(reader.PeerSource):
    """Gives the copy of one instance, or nothing."""

    def __init__(self, peer: builders.Instance) -> None:
        self.peer = peer
        self.reachable = True

    async def fetch(self, revision: ids.Revision) -> bytes:
        if not self.reachable:
            raise errors.PeerError("no peer answers", "Try again.")
        return snapshots.encode(self.peer.copy.current)


class Following:
    """An instance that was up before, and one that starts."""

    def __init__(self) -> None:
        self.platform = memory.MemoryPlatform()
        self.old = builders.instance(self.platform)
        self.new = builders.instance(self.platform)
        self.peers = OnePeer(self.old)
        self.reader = reader.ConfigurationReader(
            self.new.log, self.new.copy, self.peers, ids.Instant(100.0)
        )

    async def write(self, name: str) -> None:
        await self.old.store.change(builders.put(TIER, name, builders.tier()))


@pytest.fixture
async def following() -> Following:
    made = Following()
    await made.write("gold")
    await made.write("tin")
    return made


async def test_start_with_the_platform(following):
    assert not following.reader.ready(ids.Instant(100.0))
    await following.reader.poll(ids.Instant(100.0))
    assert following.reader.ready(ids.Instant(100.0))
    assert following.new.copy.current.names(TIER) == ["gold", "tin"]


async def test_start_while_the_platform_is_down(following):
    """Symptom: a replaced instance serves at an older revision, or at none.

    Events: the platform is down; an instance starts and hears first a peer that
    is behind, then one that is not.
    Cause: taking the first revision heard for the highest there is.
    """
    own = following.reader
    following.platform.faults.down = True
    await own.poll(ids.Instant(100.0))
    assert not own.ready(ids.Instant(200.0))
    own.record_revision(ids.Revision(0), "behind", ids.Instant(200.0))
    assert not own.ready(ids.Instant(200.5))
    own.record_revision(ids.Revision(2), "ahead", ids.Instant(200.6))
    assert not own.ready(ids.Instant(201.5))
    following.peers.reachable = False
    await own.poll(ids.Instant(201.5))
    assert not own.ready(ids.Instant(201.5))
    following.peers.reachable = True
    await own.poll(ids.Instant(201.6))
    assert own.ready(ids.Instant(201.6))
    assert following.new.copy.current.names(TIER) == ["gold", "tin"]


async def test_peer_that_is_behind_takes_nothing_back(following):
    """Symptom: an instance goes back to an older configuration.

    Events: the platform is down, a heartbeat tells of a higher revision, and the peer
    that answers is at a lower one.
    Cause: taking a peer's copy whatever its revision.
    """
    await following.reader.poll(ids.Instant(100.0))
    following.peers.peer = builders.instance(following.platform)
    following.platform.faults.down = True
    following.reader.record_revision(ids.Revision(9), "ahead", ids.Instant(101.0))
    await following.reader.poll(ids.Instant(101.0))
    assert following.new.copy.revision == 2
    assert not following.reader.ready(ids.Instant(101.0))


async def test_isolated_without_platform_and_peers(following):
    """Symptom: requests are decided by a configuration that changed long ago.

    Events: an instance reaches neither platform nor peers, and its callers reach it.
    Cause: no bound on the time since the last word from others.
    """
    own = following.reader
    limit = own.settings.isolated_after
    await own.poll(ids.Instant(110.0))
    following.platform.faults.down = True
    await own.poll(ids.Instant(120.0))
    assert not own.isolated(ids.Instant(110.0 + limit))
    assert own.isolated(ids.Instant(110.1 + limit))
    own.record_revision(ids.Revision(2), "peer", ids.Instant(150.0))
    assert not own.isolated(ids.Instant(150.0 + limit))


async def test_snapshot_store_down_is_made_good_by_a_peer(following):
    """Symptom: a replaced instance never serves.

    Events: the table answers, but the snapshot that the instance needs is lost.
    Cause: asking peers only while the table is down.
    """
    await following.old.compactor.compact()
    following.platform.objects.contents.clear()
    for row in await following.platform.table.scan("configuration-changes"):
        del following.platform.table.rows["configuration-changes", row.key]
    following.platform.table.sorted_keys["configuration-changes"] = []
    await following.reader.poll(ids.Instant(100.0))
    assert following.new.copy.revision == 2


async def test_news_from_a_peer_bring_the_poll_forward(following):
    """Without the news, the next poll would come in an hour."""
    following.reader.settings = reader.ReaderSettings(poll_interval=3600.0)
    running = asyncio.create_task(following.reader.run(lambda: ids.Instant(100.0)))
    async with asyncio.timeout(20):
        await following.new.copy.wait_for(ids.Revision(2))
        await following.write("brass")
        following.reader.record_revision(ids.Revision(3), "peer", ids.Instant(101.0))
        await following.new.copy.wait_for(ids.Revision(3))
    running.cancel()
