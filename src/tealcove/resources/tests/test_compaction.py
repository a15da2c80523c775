"""Tests of compaction with concurrent writers and readers."""

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


async def write(instance: builders.Instance, numbers: range) -> None:
    for number in numbers:
        request = builders.put(TIER, f"t{number}", builders.tier(), key=f"k{number}")
        await instance.store.change(request)


async def test_only_old_changes_and_idempotency_rows_are_deleted(platform):
    instance = builders.instance(platform)
    instance.compactor.settings = SETTINGS
    await write(instance, range(1, 21))
    for _ in range(2):
        await instance.compactor.compact()
    changes = await platform.table.scan(log.CHANGES)
    assert [int(row.key) for row in changes] == [16, 17, 18, 19, 20]
    assert len(await platform.table.scan(log.IDEMPOTENCY)) == 5
    await write(instance, range(21, 31))
    await instance.compactor.compact()
    assert list(platform.objects.contents) == [log.snapshot_name(30)]
    with pytest.raises(refusals.CompactedError):
        await instance.log.changes_after(24)
    new = builders.instance(platform)
    assert (await new.catch_up()).names(TIER) == instance.copy.current.names(TIER)


async def test_writes_and_reads_continue_during_compaction(platform):
    """Guards against a copy that misses a change, or a missing snapshot.

    Three compactors delete changes and snapshots during writes and reads. Nothing may
    be deleted before the head names its replacement.
    """
    writers = [builders.instance(platform) for _ in range(3)]
    reading = builders.instance(platform)
    tasks = []
    for instance in writers:
        instance.compactor.settings = compaction.CompactionSettings(3, 1)
        tasks.append(asyncio.create_task(instance.compactor.run()))
    writing = asyncio.gather(
        *(write(instance, range(n, 60, 3)) for n, instance in enumerate(writers))
    )
    while not writing.done():
        for instance in writers:
            instance.compactor.requested.set()
        await reading.catch_up()
    await writing
    assert len((await reading.catch_up()).names(TIER)) == 60
    assert (await reading.log.read_head()).head.snapshot > 0
    for task in tasks:
        task.cancel()


async def test_late_compactor_does_not_replace_a_newer_snapshot(platform):
    """Guards against a head with an old snapshot whose next changes are deleted.

    A compactor is paused before it names its snapshot; another compacts at a later
    revision; the first resumes. It must read the head before it writes it.
    """
    instance = builders.instance(platform)
    await write(instance, range(5))
    late = builders.instance(platform)
    await late.catch_up()
    await write(instance, range(5, 9))
    instance.compactor.settings = SETTINGS
    await instance.compactor.compact()
    assert await late.compactor.publish(late.copy.revision) == 5
    assert (await instance.log.read_head()).head.snapshot == 9
    assert (await builders.instance(platform).catch_up()).revision == 9


async def test_two_compactors_leave_one_snapshot(platform):
    """Guards against old snapshots that are never deleted from the object store.

    A compactor has read the head; another names a newer snapshot; then the first
    names its own. It must delete the snapshot that it replaced, not the one it read.
    """
    instance, other = builders.instance(platform), builders.instance(platform)
    await write(instance, range(3))
    await instance.compactor.compact()
    publish = other.compactor.publish

    async def publish_late(revision):
        await write(instance, range(3, 4))
        await instance.compactor.compact()
        return await publish(revision)

    await write(other, range(4, 6))
    other.compactor.publish = publish_late
    await other.compactor.compact()
    assert list(platform.objects.contents) == [log.snapshot_name(6)]
