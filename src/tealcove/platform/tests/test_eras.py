"""The client of the store tells its eras apart."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

import msgspec
import pytest

from tealcove import errors, ids
from tealcove.platform import names, rollouts, store, storeadapter, wire
from tealcove.rollout import order
from tealcove.standins import platform
from tealcove.storage import feed, memory, revisions, table
from tealcove.storage.tests import builders

TABLE = "t"


@contextlib.asynccontextmanager
async def serving() -> AsyncIterator[
    tuple[platform.PlatformStandin, store.StoreClient]
]:
    """Run a stand-in that names era 1, with a client."""
    async with builders.serving() as (standin, client):
        standin.era = 1
        yield standin, client


async def lose_writes(
    standin: platform.PlatformStandin, saved: memory.SavedTable, writes: int
) -> None:
    """Return from a copy, after which others write as many rows."""
    await standin.restore(saved)
    for number in range(writes):
        await standin.put_row(TABLE, f"other-{number}", b"x")


@pytest.mark.parametrize(
    ("values", "era"),
    [
        ([], None),
        (["3"], 3),
        (["0"], 0),
        ([""], None),
        (["-1"], None),
        (["two"], None),
        (["2.5"], None),
        (["²"], None),
        (["2", "3"], None),
        (["2, 3"], None),
        ([str(revisions.MAX_ERA + 1)], None),
        (["9" * 40], None),
    ],
)
def test_only_a_single_number_names_an_era(values: list[str], era: int | None):
    assert wire.era_named(values) == era


async def test_a_feed_does_not_go_on_in_another_era():
    """Rows below the known version were missed if the store had passed it again."""
    async with serving() as (standin, client):
        saved = standin.memory.table.save()
        await standin.put_row(TABLE, "a", b"lost")
        page = await client.read_all(TABLE)
        await lose_writes(standin, saved, writes=3)
        with pytest.raises(feed.HistoryLostError):
            await client.wait_for_changes(TABLE, page.version, 0.0)
        again = await client.read_all(TABLE)
        assert {entry.key for entry in again.entries} == {
            "other-0",
            "other-1",
            "other-2",
        }
        assert min(entry.version for entry in again.entries) > page.version
        assert await client.wait_for_changes(TABLE, again.version, 0.0)


async def test_an_answer_without_an_era_is_of_the_known_one():
    async with serving() as (standin, client):
        await standin.put_row(TABLE, "a", b"x")
        page = await client.read_all(TABLE)
        standin.era = None
        assert await client.read_all(TABLE) == page
        assert (await client.wait_for_changes(TABLE, page.version, 0.0)).entries == ()


async def test_a_late_answer_of_an_earlier_era_stays_older():
    async with serving() as (standin, client):
        await standin.put_row(TABLE, "a", b"x")
        standin.era = 3
        newest = await client.read_all(TABLE)
        standin.era = 2
        late = await client.read_all(TABLE)
        assert late.version < newest.version
        assert client.era == 3


async def test_a_return_between_two_pages_makes_no_list_of_both():
    async with serving() as (standin, client):
        for number in range(store.PAGE_ROWS + 1):
            await standin.put_row(TABLE, f"{number:04}", b"x")
        saved = standin.memory.table.save()
        read_page = client.read_page

        async def read_and_restore(*arguments: object) -> wire.WirePage:
            page = await read_page(*arguments)
            await standin.restore(saved)
            return page

        client.read_page = read_and_restore
        with pytest.raises(errors.PlatformUnavailableError):
            await client.read_all(TABLE)


async def test_a_condition_of_an_earlier_era_fails():
    """Another write of this era had the same number, and was overwritten."""
    async with serving() as (standin, client):
        rows = storeadapter.StoreTable(client)
        saved = standin.memory.table.save()
        held = await table.replace(rows, None, TABLE, "a", b"lost")
        await standin.restore(saved)
        await standin.put_row(TABLE, "a", b"another's")
        await client.read_all(TABLE)
        with pytest.raises(table.ConditionFailedError) as failed:
            await table.replace(rows, held, TABLE, "a", b"mine")
        (conflict,) = failed.value.conflicts
        assert conflict.row.value == b"another's"
        await table.replace(rows, conflict.row, TABLE, "a", b"mine")


async def test_a_write_whose_era_ended_unnoticed_has_an_unknown_outcome():
    """A condition that held by accident was reported as a success."""
    async with serving() as (standin, client):
        rows = storeadapter.StoreTable(client)
        saved = standin.memory.table.save()
        held = await table.replace(rows, None, TABLE, "a", b"lost")
        await standin.restore(saved)
        await standin.put_row(TABLE, "a", b"another's")
        with pytest.raises(errors.OutcomeUnknownError):
            await table.replace(rows, held, TABLE, "a", b"mine")


async def test_every_answer_names_the_era():
    async with serving() as (standin, client):
        standin.memory.faults.down = True
        standin.era = 5
        with pytest.raises(errors.PlatformUnavailableError):
            await client.read_all(TABLE)
        assert client.era == ids.Era(5)


async def test_a_roll_outs_status_names_the_row_version_of_its_order():
    """Operators compare it with the version of the row that they wrote."""
    async with serving() as (standin, client):
        orders = rollouts.StoreOrders(storeadapter.StoreTable(client))
        wanted = b'{"service":"pool","to":"v2","period_s":9}'
        key = names.ROLLOUT_KEY + "pool"
        await standin.put_row(names.OPERATOR_TABLE, key, wanted)
        version = standin.memory.table.last_version
        read = await orders.read("pool")
        assert revisions.era_of(read.revision) == 1
        running = order.Status("v2", order.State.RUNNING, read.order.revision, 1.0)
        await orders.write_status("pool", running, read)
        assert (await orders.read("pool")).status == running
        stored = standin.memory.table.rows[names.STATUS_TABLE, key]
        assert msgspec.json.decode(stored.value)["order"] == version


async def test_a_feed_of_an_earlier_era_is_not_waited_for():
    """The store held the call for its whole wait, while a key was still accepted."""
    async with serving() as (standin, client):
        await standin.put_row(TABLE, "a", b"x")
        page = await client.read_all(TABLE)
        standin.era = 2
        await client.read_all("another")
        calls = client.calls
        with pytest.raises(feed.HistoryLostError):
            await client.wait_for_changes(TABLE, page.version, 30.0)
        assert client.calls == calls
