"""Tests of guarantees of the in-memory platform that clients can't observe."""

from __future__ import annotations

import asyncio

import pytest

from tealcove import errors
from tealcove.storage import faults, memory, table
from tealcove.storage.tests import builders


class Clock:
    """A clock that the test advances."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


async def test_list_shows_changes_after_the_lag_only():
    clock = Clock()
    platform = memory.MemoryPlatform(clock)
    platform.faults.list_lag = 5.0
    platform.instances.register(builders.entry("one"))
    assert await platform.instances.listed() == ()
    clock.now += 5.0
    assert await platform.instances.listed() == (builders.entry("one"),)
    platform.instances.remove("one")
    clock.now += 4.9
    assert await platform.instances.listed() == (builders.entry("one"),)
    clock.now += 0.2
    assert await platform.instances.listed() == ()
    clock.now += memory.MAX_LIST_LAG + 1.0
    platform.instances.register(builders.entry("two"))
    assert len(platform.instances.changes) == 1


async def test_rate_limits_count_reads_and_writes_separately_per_second():
    clock = Clock()
    platform = memory.MemoryPlatform(clock)
    platform.faults = faults.Faults(writes_per_second=2, reads_per_second=1)
    await platform.table.commit(builders.put("a"))
    await platform.table.commit(builders.put("b"))
    with pytest.raises(faults.RateLimitedError):
        await platform.table.commit(builders.put("c"))
    await platform.table.read("t", "a")
    with pytest.raises(faults.RateLimitedError):
        await platform.table.scan("t")
    clock.now += 1.0
    await platform.table.commit(builders.put("c"))
    assert (platform.read_count, platform.write_count) == (1, 3)


async def test_version_is_never_reused_after_a_delete():
    """Guards against a write with an outdated condition that overwrites a newer row.

    If versions were counted per row, the condition would hold again after the row is
    deleted and written anew.
    """
    platform = memory.MemoryPlatform()
    first = await platform.table.commit(builders.put("a"))
    removal = table.Transaction((), (table.Delete("t", "a"),))
    await platform.table.commit(removal)
    await platform.table.commit(builders.put("a"))
    stale = table.VersionIs("t", "a", first.version)
    with pytest.raises(table.ConditionFailedError):
        await platform.table.commit(builders.put("a", b"x", stale))


async def test_delayed_call_is_refused_when_the_platform_goes_down():
    """Guards against a write that is applied during an outage.

    A delayed call is in progress when the platform goes down. Faults must be checked
    after the delay too, and not only when the call begins.
    """
    platform = memory.MemoryPlatform()
    platform.faults.slow = 1e-3
    writing = asyncio.create_task(platform.table.commit(builders.put("a")))
    await asyncio.sleep(0)
    platform.faults.down = True
    with pytest.raises(errors.PlatformUnavailableError):
        await writing
    assert platform.table.rows == {}


async def test_weight_loads_wait_for_earlier_ones():
    clock = Clock()
    platform = memory.MemoryPlatform(clock, weight_rate=10.0)
    assert await platform.weights.reserve(50) == 0.0
    assert await platform.weights.reserve(50) == 5.0
    clock.now += 12.0
    assert await platform.weights.reserve(1) == 0.0
