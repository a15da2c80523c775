"""Tests of what the store has of the origins of streams."""

from __future__ import annotations

import asyncio

import pytest

from tealcove import clock, errors, ids
from tealcove.origins import keeping, known, messages
from tealcove.origins.tests import builders
from tealcove.storage import memory

V1, V2, SERVICE = builders.V1, builders.V2, builders.SERVICE


def origins(count: int, first: int = 0) -> tuple[messages.Origin, ...]:
    numbers = range(first, first + count)
    ids_of = (ids.RequestId(f"r-{number}") for number in numbers)
    return tuple(messages.Origin(messages.digest(one), V1) for one in ids_of)


def instant(seconds: float) -> ids.Instant:
    return ids.Instant(1000.0 + seconds)


@pytest.fixture
def platform() -> memory.MemoryPlatform:
    return memory.MemoryPlatform()


def keeper(platform: memory.MemoryPlatform, writer: str = "a") -> keeping.Keeper:
    return keeping.Keeper(platform.table, ids.Incarnation(writer))


def keys(platform: memory.MemoryPlatform) -> list[str]:
    return [key for table, key in platform.table.rows if table == keeping.TABLE]


async def write(found: keeping.Keeper, now: ids.Instant) -> None:
    """Write all that is to be kept."""
    rows = found.of_service(SERVICE)
    while rows.is_pending:
        await found.write(rows, now)


async def test_what_is_kept_is_read_by_others(
    platform: memory.MemoryPlatform,
) -> None:
    found = keeper(platform)
    kept = origins(2 * keeping.ROW_ORIGINS + 1)
    found.add(SERVICE, kept, instant(0.0))
    await write(found, instant(0.0))
    assert len(keys(platform)) == 3
    assert (await keeper(platform, "b").read(SERVICE)).origins == kept
    assert (await keeper(platform, "b").read(ids.PoolId("eng"))).origins == ()


async def test_a_large_report_is_written_in_several_transactions(
    platform: memory.MemoryPlatform,
) -> None:
    """The store refuses a transaction of over 1 MB."""
    found = keeper(platform)
    rows = keeping.MAX_WRITTEN + 2
    found.add(SERVICE, origins(rows * keeping.ROW_ORIGINS), instant(0.0))
    await found.write(found.of_service(SERVICE), instant(0.0))
    assert len(keys(platform)) == keeping.MAX_WRITTEN
    await write(found, instant(0.0))
    assert len(keys(platform)) == rows


async def test_rows_of_ended_streams_are_deleted(
    platform: memory.MemoryPlatform,
) -> None:
    """Those of earlier processes as well, after the life of a stream."""
    before = keeper(platform, "before")
    before.add(SERVICE, origins(1), instant(0.0))
    await write(before, instant(0.0))
    found = keeper(platform)
    found.add(SERVICE, origins(1, first=1), instant(1.0))
    await write(found, instant(1.0))
    assert len(keys(platform)) == 2
    later = instant(known.STREAM_SECONDS + 3.0)
    found.add(SERVICE, origins(1, first=2), later)
    await write(found, later)
    assert (await found.read(SERVICE)).origins == origins(1, first=2)


async def test_versions_are_kept_with_the_time_when_they_left(
    platform: memory.MemoryPlatform,
) -> None:
    found = keeper(platform)
    for times in ({V1: None, V2: None}, {V2: None}):
        found.note_versions(SERVICE, times)
        await write(found, instant(0.0))
    assert (await found.read(SERVICE)).served.keys() == {V1, V2}


async def test_a_version_that_left_long_ago_has_not_served(
    platform: memory.MemoryPlatform,
) -> None:
    found = keeper(platform)
    long_ago = instant(-known.STREAM_SECONDS - 1.0)
    found.note_versions(SERVICE, {V1: long_ago, V2: None})
    await write(found, instant(0.0))
    served = (await found.read(SERVICE)).served
    assert served[V1] > known.STREAM_SECONDS
    assert served[V2] == 0.0


async def test_the_time_when_a_version_left_is_kept(
    platform: memory.MemoryPlatform,
) -> None:
    """A process that reads of a version later takes it for one that just left."""
    seen, late = keeper(platform), keeper(platform, "b")
    seen.note_versions(SERVICE, {V1: instant(-20.0), V2: None})
    await write(seen, instant(0.0))
    before = await platform.table.read(keeping.TABLE, SERVICE)
    late.note_versions(SERVICE, {V1: instant(0.0), V2: None})
    await write(late, instant(0.0))
    assert await platform.table.read(keeping.TABLE, SERVICE) == before


async def test_a_service_that_comes_during_a_write_is_kept_too(
    platform: memory.MemoryPlatform,
) -> None:
    found = keeper(platform)
    other = ids.PoolId("others")
    platform.faults.slow = 0.05
    found.start()
    try:
        found.add(SERVICE, origins(1), clock.now())
        await asyncio.sleep(0.0)
        found.add(other, origins(1), clock.now())
        await builders.until(lambda: len(keys(platform)) == 2)
    finally:
        await found.stop()


async def test_nothing_is_written_twice_for_the_same_versions(
    platform: memory.MemoryPlatform,
) -> None:
    found = keeper(platform)
    for _ in range(3):
        found.note_versions(SERVICE, {V1: None, V2: None})
        await write(found, instant(0.0))
    assert platform.table.arrived[keeping.TABLE] == 1


async def test_what_the_store_refused_is_written_later(
    platform: memory.MemoryPlatform,
) -> None:
    found = keeper(platform)
    platform.faults.down = True
    found.start()
    try:
        found.note_versions(SERVICE, {V1: None, V2: None})
        found.add(SERVICE, origins(3), clock.now())
        with pytest.raises(errors.PlatformError):
            await found.read(SERVICE)
        platform.faults.down = False
        await builders.until(lambda: len(keys(platform)) == 2)
    finally:
        await found.stop()
    kept = await found.read(SERVICE)
    assert kept == keeping.Kept(origins(3), {V1: 0.0, V2: 0.0})


def test_an_undecodable_row_is_ignored() -> None:
    assert keeping.decode(b"\xc1") == []
