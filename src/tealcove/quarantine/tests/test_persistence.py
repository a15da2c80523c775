"""Marks in the platform's table."""

from __future__ import annotations

import pytest

from tealcove import errors
from tealcove.quarantine import marks, persistence
from tealcove.quarantine.tests import builders
from tealcove.storage import faults, memory

D = builders.DIGEST
T0 = builders.at(1000.0)
WALL = 5e8


async def test_marks_outlast_a_restart_of_every_instance() -> None:
    """Forgotten marks.

    Symptom: a quarantined request crashes servers again. Sequence: it crashed two,
    then all instances are restarted. Cause: marks are in memory only.
    """
    platform = memory.MemoryPlatform()
    before = builders.new_marks()
    store = persistence.MarkStore(platform.table, before)
    for number, server in enumerate(("s1", "s2")):
        before.add_crash(D, builders.crash(f"r{number}", server), T0)
    store.add(D)
    await store.step(T0, WALL)
    after = builders.new_marks()
    later = persistence.MarkStore(platform.table, after)
    await later.step(builders.at(7.0), WALL + 100.0)
    assert after.verdict(D, builders.at(7.0)) is marks.Verdict.QUARANTINED
    assert after.remaining(D, builders.at(7.0)) == builders.SECONDS - 100.0


async def test_what_an_outage_kept_back_is_written_later() -> None:
    """Lost marks.

    Symptom: a crashing request runs again after all instances were replaced.
    Sequence: the platform is down when the request crashes its servers, and
    comes back. Cause: the mark was written once only.
    """
    platform = memory.MemoryPlatform()
    held = builders.new_marks()
    store = persistence.MarkStore(platform.table, held)
    await store.step(T0, WALL)
    held.add_crash(D, builders.crash("r1", "s1"), T0)
    store.add(D)
    platform.faults = faults.Faults(down=True)
    with pytest.raises(errors.PlatformError):
        await store.step(T0, WALL)
    platform.faults = faults.Faults()
    await store.step(T0, WALL)
    assert len(await platform.table.scan(persistence.TABLE)) == 1


async def test_ended_rows_are_deleted_and_idle_keepers_write_nothing() -> None:
    platform = memory.MemoryPlatform()
    held = builders.new_marks()
    held.add_crash(D, builders.crash("r1", "s1"), T0)
    store = persistence.MarkStore(platform.table, held)
    store.add(D)
    await store.step(T0, WALL)
    writes = platform.write_count
    await store.step(T0, WALL)
    assert platform.write_count == writes
    after = builders.new_marks()
    await persistence.MarkStore(platform.table, after).step(
        T0, WALL + 2 * builders.SECONDS
    )
    assert after.marks == {}
    assert await platform.table.scan(persistence.TABLE) == ()
