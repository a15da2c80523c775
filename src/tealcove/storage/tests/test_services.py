"""Tests of the platform's clients over loopback, with each class of error."""

from __future__ import annotations

import asyncio

import pytest

from tealcove import errors
from tealcove.platform import store as store_client
from tealcove.platform import storeadapter, wire
from tealcove.storage import faults, rowlist, rowweights, table
from tealcove.storage.tests import builders


async def test_rows_commit_read_scan_delete():
    async with builders.serving() as (_, platform):
        rows = storeadapter.StoreTable(platform)
        for key in ("c", "a/ü ?&", "b"):
            await rows.commit(builders.put(key, key.encode()))
        stored = await rows.read("t", "a/ü ?&")
        assert stored == table.Row("t", "a/ü ?&", "a/ü ?&".encode(), 2)
        assert [row.key for row in await rows.scan("t", "a", 2)] == ["a/ü ?&", "b"]
        assert [row.key for row in await rows.scan("t", "b")] == ["c"]
        await rows.commit(table.Transaction((), (table.Delete("t", "b"),)))
        assert await rows.read("t", "b") is None
        assert [row.key for row in await rows.scan("t")] == ["a/ü ?&", "c"]
        assert (await rows.commit(builders.put("b"))).version == 5


async def test_conflict_names_every_failed_condition():
    async with builders.serving() as (_, platform):
        rows = storeadapter.StoreTable(platform)
        done = await rows.commit(builders.put("a"))
        conditions = (
            table.Absent("t", "a"),
            table.VersionIs("t", "a", done.version),
            table.VersionIs("t", "b", 1),
        )
        with pytest.raises(table.ConditionFailedError) as raised:
            await rows.commit(builders.put("b", b"x", *conditions))
        stored = await rows.read("t", "a")
        assert raised.value.conflicts == (
            table.Conflict(0, stored),
            table.Conflict(2, None),
        )
        assert await rows.read("t", "b") is None


async def test_objects_instances_and_weights():
    async with builders.serving() as (standin, platform):
        objects = storeadapter.StoreObjects(platform)
        await objects.put("snapshots/7", b"\x00whole")
        assert await objects.get("snapshots/7") == b"\x00whole"
        await objects.delete("snapshots/7")
        await objects.delete("snapshots/7")
        assert await objects.get("snapshots/7") is None
        standin.memory.instances.register(builders.entry("one"))
        listed = await rowlist.RowInstanceList(
            storeadapter.StoreTable(platform)
        ).listed()
        assert listed == (builders.entry("one"),)
        weights = rowweights.RowWeightStore(storeadapter.StoreTable(platform))
        assert await weights.reserve(100_000_000_000) == 0.0
        assert await weights.reserve(1) > 0.0


@pytest.mark.parametrize(
    "fault",
    [
        faults.Faults(down=True),
        faults.Faults(writes_per_second=0, reads_per_second=0),
    ],
    ids=["down", "rate limit"],
)
async def test_refused_calls_are_not_applied(fault):
    """Guards against a write that was applied although reported as failed.

    The platform responds with 503 (down) or 429 (rate limit). A refusal mustn't be
    confused with a lost reply, or vice versa.
    """
    async with builders.serving() as (standin, platform):
        rows = storeadapter.StoreTable(platform)
        standin.memory.faults = fault
        with pytest.raises(errors.PlatformUnavailableError):
            await rows.commit(builders.put("a"))
        with pytest.raises(errors.PlatformUnavailableError):
            await rows.read("t", "a")
        with pytest.raises(errors.PlatformUnavailableError):
            await rowlist.RowInstanceList(storeadapter.StoreTable(platform)).listed()
        standin.memory.faults = faults.Faults()
        assert await rows.read("t", "a") is None


async def test_call_over_a_refused_connection_is_not_applied():
    """Guards against non-idempotent requests that wait for a row never written.

    The platform's process has ended and connections are refused. As nothing was sent,
    the outcome isn't unknown.
    """
    async with builders.serving() as (standin, platform):
        rows = storeadapter.StoreTable(platform)
        await standin.stop()
        with pytest.raises(errors.PlatformUnavailableError):
            await rows.commit(builders.put("a"))
        with pytest.raises(errors.PlatformUnavailableError):
            await rows.read("t", "a")


async def test_lost_reply_is_an_unknown_outcome_and_is_not_retried():
    """Guards against a write that is applied twice while its lost reply is missed.

    The write is applied over a reused connection and its reply is lost. aiohttp
    retries a PUT or DELETE when a reused connection breaks.
    """
    async with builders.serving() as (standin, platform):
        rows = storeadapter.StoreTable(platform)
        objects = storeadapter.StoreObjects(platform)
        await rows.commit(builders.put("a", b"old"))
        standin.memory.faults.lose_replies = 3
        with pytest.raises(errors.OutcomeUnknownError):
            await rows.commit(builders.put("a", b"new"))
        await rows.read("t", "a")
        with pytest.raises(errors.OutcomeUnknownError):
            await objects.put("o", b"new")
        await rows.read("t", "a")
        with pytest.raises(errors.OutcomeUnknownError):
            await objects.delete("o")
        assert (await rows.read("t", "a")).value == b"new"
        assert standin.memory.write_count == 4


async def test_timeout_of_a_sent_write_is_an_unknown_outcome():
    """Guards against a write that is applied after it was reported as not applied.

    The platform is slow and applies the write after the caller's timeout. A timeout
    after sending isn't a refusal.
    """
    short = store_client.Timeouts(connect=10.0, total=1.0)
    async with builders.serving(short) as (standin, platform):
        rows = storeadapter.StoreTable(platform)
        released = asyncio.Event()
        standin.memory.gate.delay = released.wait
        with pytest.raises(errors.OutcomeUnknownError):
            await rows.commit(builders.put("a"))
        with pytest.raises(errors.PlatformUnavailableError):
            await rows.read("t", "a")
        released.set()
        assert (await rows.read("t", "a")).value == b"value"


@pytest.mark.parametrize(
    ("status", "error"),
    [
        (500, errors.OutcomeUnknownError),
        (502, errors.OutcomeUnknownError),
        (503, errors.PlatformUnavailableError),
        (429, errors.PlatformUnavailableError),
        (400, errors.PlatformError),
    ],
)
def test_status_of_a_refused_write(status, error):
    with pytest.raises(error) as raised:
        store_client.raise_for_status(wire.Reply(status, b""))
    assert type(raised.value) is error
