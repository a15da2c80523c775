"""Tests of following the log, and peers while the platform is down."""

from __future__ import annotations

import asyncio

import pytest

from tealcove import errors, ids
from tealcove.resources import kinds, reader, snapshots
from tealcove.resources.tests import builders
from tealcove.storage import memory

TIER = kinds.Kind.SERVICE_TIER


class OnePeer(reader.PeerSource):
    """Returns the copy of one instance, or fails if it is unreachable."""

    def __init__(self, peer: builders.Instance) -> None:
        self.peer = peer
        self.reachable = True

    async def fetch(self, revision: ids.Revision) -> bytes:
        if not self.reachable:
            raise errors.PeerError("no peer answers", "Try again.")
        return snapshots.encode(self.peer.copy.current)


class Following:
    """A running instance and one that starts."""

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
    created = Following()
    await created.write("gold")
    await created.write("tin")
    return created


async def test_start_with_the_platform(following):
    assert not following.reader.ready(ids.Instant(100.0))
    await following.reader.poll(ids.Instant(100.0))
    assert following.reader.ready(ids.Instant(100.0))
    assert following.new.copy.current.names(TIER) == ["gold", "tin"]


async def test_start_while_the_platform_is_down(following):
    """Guards against an instance that serves an outdated revision, or none.

    The platform is down; an instance starts and receives the revision of an outdated
    peer first, then that of a current one. The first one mustn't count as current.
    """
    config_reader = following.reader
    following.platform.faults.down = True
    await config_reader.poll(ids.Instant(100.0))
    assert not config_reader.ready(ids.Instant(200.0))
    config_reader.record_revision(ids.Revision(0), "behind", ids.Instant(200.0))
    assert not config_reader.ready(ids.Instant(200.5))
    config_reader.record_revision(ids.Revision(2), "ahead", ids.Instant(200.6))
    assert not config_reader.ready(ids.Instant(201.5))
    following.peers.reachable = False
    await config_reader.poll(ids.Instant(201.5))
    assert not config_reader.ready(ids.Instant(201.5))
    following.peers.reachable = True
    await config_reader.poll(ids.Instant(201.6))
    assert config_reader.ready(ids.Instant(201.6))
    assert following.new.copy.current.names(TIER) == ["gold", "tin"]


async def test_copy_does_not_regress_to_an_outdated_peer(following):
    """Guards against an instance that returns to an older configuration.

    The platform is down, a heartbeat announces a higher revision, and the peer that
    replies is at a lower one. Its copy must not be activated.
    """
    await following.reader.poll(ids.Instant(100.0))
    following.peers.peer = builders.instance(following.platform)
    following.platform.faults.down = True
    following.reader.record_revision(ids.Revision(9), "ahead", ids.Instant(101.0))
    await following.reader.poll(ids.Instant(101.0))
    assert following.new.copy.revision == 2
    assert not following.reader.ready(ids.Instant(101.0))


async def test_isolated_without_platform_and_peers(following):
    """Guards against serving requests by an outdated configuration.

    An instance reaches neither platform nor peers, but callers reach it. The time
    since its last contact must have a limit.
    """
    config_reader = following.reader
    limit = config_reader.settings.isolated_after
    await config_reader.poll(ids.Instant(110.0))
    following.platform.faults.down = True
    await config_reader.poll(ids.Instant(120.0))
    assert not config_reader.isolated(ids.Instant(110.0 + limit))
    assert config_reader.isolated(ids.Instant(110.1 + limit))
    config_reader.record_revision(ids.Revision(2), "peer", ids.Instant(150.0))
    assert not config_reader.isolated(ids.Instant(150.0 + limit))


async def test_missing_snapshot_is_fetched_from_a_peer(following):
    """Guards against a replaced instance that never serves.

    The table is available, but the snapshot that the instance needs is lost. Peers
    must be asked then too, and not only while the table is down.
    """
    await following.old.compactor.compact()
    following.platform.objects.contents.clear()
    for row in await following.platform.table.scan("configuration-changes"):
        del following.platform.table.rows["configuration-changes", row.key]
    following.platform.table.sorted_keys["configuration-changes"] = []
    await following.reader.poll(ids.Instant(100.0))
    assert following.new.copy.revision == 2


async def test_higher_revision_of_a_peer_triggers_a_poll(following):
    """Otherwise, the next poll would be an hour later."""
    following.reader.settings = reader.ReaderSettings(poll_interval=3600.0)
    running = asyncio.create_task(following.reader.run(lambda: ids.Instant(100.0)))
    async with asyncio.timeout(20):
        await following.new.copy.wait_for(ids.Revision(2))
        await following.write("brass")
        following.reader.record_revision(ids.Revision(3), "peer", ids.Instant(101.0))
        await following.new.copy.wait_for(ids.Revision(3))
    running.cancel()
