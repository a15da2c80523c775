"""The log is compacted while others write and read."""

from __future__ import annotations

import asyncio

import pytest

from tealcove.resources import compaction, kinds, log, refusals
from tealcove.resources.tests import builders
from tealcove.storage import memory

TIER = kinds.Kind.SERVICE_TIER
SETTINGS = compaction.CompactionSettings(every=10, retained=5)


@pytest.fixture
def platform() -> memory.MemoryPlatform:
    return memory.MemoryPlatform()


async def write(own: builders.Instance, numbers: range) -> None:
    for number in numbers:
        request = builders.put(TIER, f"t{number}", builders.tier(), key=f"k{number}")
        await own.store.change(request)


async def test_old_changes_and_repeats_go_new_ones_stay(platform):
    own = builders.instance(platform)
    own.compactor.settings = SETTINGS
    await write(own, range(1, 21))
    for _ in range(2):
        await own.compactor.compact()
    changes = await platform.table.scan(log.CHANGES)
    assert [int(row.key) for row in changes] == [16, 17, 18, 19, 20]
    assert len(await platform.table.scan(log.IDEMPOTENCY)) == 5
    await write(own, range(21, 31))
    await own.compactor.compact()
    assert list(platform.objects.contents) == [log.snapshot_name(30)]
    with pytest.raises(refusals.CompactedError):
        await own.log.changes_after(24)
    new = builders.instance(platform)
    assert (await new.catch_up()).names(TIER) == own.copy.current.names(TIER)


async def test_writers_and_readers_go_on_during_compaction(platform):
    """Symptom: a copy misses a change, or a reader finds no snapshot.

    Events: three compactors delete changes and snapshots while others write and read.
    Cause: deleting something before the head names what takes its place.
    """
    writers = [builders.instance(platform) for _ in range(3)]
    reading = builders.instance(platform)
    tasks = []
    for own in writers:
        own.compactor.settings = compaction.CompactionSettings(3, 1)
        tasks.append(asyncio.create_task(own.compactor.run()))
    writing = asyncio.gather(
        *(write(own, range(n, 60, 3)) for n, own in enumerate(writers))
    )
    while not writing.done():
        for own in writers:
            own.compactor.requested.set()
        await reading.catch_up()
    await writing
    assert len((await reading.catch_up()).names(TIER)) == 60
    assert (await reading.log.read_head()).head.snapshot > 0
    for task in tasks:
        task.cancel()


async def test_late_compactor_takes_no_newer_snapshot_back(platform):
    """Symptom: the head names an older snapshot, whose following changes are gone.

    Events: a compactor is paused before it names its snapshot; another compacts
    at a later revision; the first wakes.
    Cause: writing the head without looking at what it names.
    """
    own = builders.instance(platform)
    await write(own, range(5))
    late = builders.instance(platform)
    await late.catch_up()
    await write(own, range(5, 9))
    own.compactor.settings = SETTINGS
    await own.compactor.compact()
    assert await late.compactor.publish(late.copy.revision) == 5
    assert (await own.log.read_head()).head.snapshot == 9
    assert (await builders.instance(platform).catch_up()).revision == 9


async def test_two_compactors_leave_one_snapshot(platform):
    """Symptom: old snapshots stay in the object store for ever.

    Events: a compactor has read the head; another names a newer snapshot; then the
    first names its own.
    Cause: deleting the snapshot that was read, not the one that was replaced.
    """
    own, other = builders.instance(platform), builders.instance(platform)
    await write(own, range(3))
    await own.compactor.compact()
    publish = other.compactor.publish

    async def publish_late(revision):
        await write(own, range(3, 4))
        await own.compactor.compact()
        return await publish(revision)

    await write(other, range(4, 6))
    other.compactor.publish = publish_late
    await other.compactor.compact()
    assert list(platform.objects.contents) == [log.snapshot_name(6)]
