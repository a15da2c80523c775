"""Storage of marks in the platform's table."""

from __future__ import annotations

import pytest

from tealcove import errors
from tealcove.quarantine import marks, persistence
from tealcove.quarantine.tests import builders
from tealcove.storage import faults, memory

D = builders.DIGEST
T0 = builders.at(1000.0)
WALL = 5e8


async def test_marks_survive_a_restart_of_every_instance() -> None:
    """Guard against marks that are lost when all instances are restarted.

    If marks were in memory only, a quarantined request would crash servers again.
    """
    platform = memory.MemoryPlatform()
    before = builders.new_marks()
    store = persistence.store_of_marks(platform.table, before)
    for number, server in enumerate(("s1", "s2")):
        before.add_crash(D, builders.crash(f"r{number}", server), T0)
    store.add(D)
    await store.step(T0, WALL)
    after = builders.new_marks()
    later = persistence.store_of_marks(platform.table, after)
    await later.step(builders.at(7.0), WALL + 100.0)
    assert after.verdict(D, builders.at(7.0)) is marks.Verdict.QUARANTINED
    assert after.remaining(D, builders.at(7.0)) == builders.SECONDS - 100.0


async def test_marks_that_an_outage_delayed_are_written_later() -> None:
    """Guard against marks that are lost because they are written only once.

    The platform is down when a request crashes its servers, and recovers. Without a
    retry, the request would run again after all instances were replaced.
    """
    platform = memory.MemoryPlatform()
    held = builders.new_marks()
    store = persistence.store_of_marks(platform.table, held)
    await store.step(T0, WALL)
    held.add_crash(D, builders.crash("r1", "s1"), T0)
    store.add(D)
    platform.faults = faults.Faults(down=True)
    with pytest.raises(errors.PlatformError):
        await store.step(T0, WALL)
    platform.faults = faults.Faults()
    await store.step(T0, WALL)
    assert len(await platform.table.scan(persistence.MARKS_TABLE)) == 1


async def test_rows_of_ended_marks_are_deleted_and_idle_stores_write_nothing() -> None:
    platform = memory.MemoryPlatform()
    held = builders.new_marks()
    held.add_crash(D, builders.crash("r1", "s1"), T0)
    store = persistence.store_of_marks(platform.table, held)
    store.add(D)
    await store.step(T0, WALL)
    writes = platform.write_count
    await store.step(T0, WALL)
    assert platform.write_count == writes
    after = builders.new_marks()
    await persistence.store_of_marks(platform.table, after).step(
        T0, WALL + 2 * builders.SECONDS
    )
    assert after.marks == {}
    assert await platform.table.scan(persistence.MARKS_TABLE) == ()
