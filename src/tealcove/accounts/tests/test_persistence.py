"""Orders in the store: which wins, and what a failing store does to them."""

from __future__ import annotations

import logbook
import msgspec
import pytest

from tealcove import errors
from tealcove.accounts import persistence
from tealcove.accounts.tests import builders
from tealcove.storage import faults, revisions, table

TABLE = persistence.TABLE


@pytest.fixture
def rows() -> builders.FailingTable:
    return builders.FailingTable(builders.new_table())


async def put(rows: builders.FailingTable, content: bytes) -> None:
    """Write a row by hand."""
    write = table.Put(TABLE, builders.BAKERY, content)
    await rows.inner.commit(table.Transaction((), (write,)))


async def test_an_order_costs_a_read_and_a_write(rows: builders.FailingTable) -> None:
    kept = persistence.OrderRows(rows)
    order = await kept.write(builders.BAKERY, 2.0, 0)
    assert rows.calls == 2
    assert await kept.load() == [order]


async def test_each_order_is_newer_than_all_before_it(
    rows: builders.FailingTable,
) -> None:
    """Guards against orders that lose against older ones after a restart.

    Neither a row that was deleted or damaged by hand, nor an instance that has just
    started and knows nothing, may give out a revision that was used.
    """
    kept = persistence.OrderRows(rows)
    first = await kept.write(builders.BAKERY, 2.0, 0)
    await put(rows, b"{")
    second = await kept.write(builders.BAKERY, 3.0, 0)
    drop = table.Delete(TABLE, builders.BAKERY)
    await rows.inner.commit(table.Transaction((), (drop,)))
    third = await kept.write(builders.BAKERY, 4.0, 0)
    fourth = await kept.write(builders.BAKERY, None, 0)
    found = [one.revision for one in (first, second, third, fourth)]
    assert found == sorted(set(found))


async def test_of_two_orders_at_the_same_time_both_are_carried_out_in_turn(
    rows: builders.FailingTable,
) -> None:
    """Guards against two operators who are both told that their weight is in force."""
    kept = persistence.OrderRows(rows)
    other: list[object] = []

    async def order_elsewhere() -> None:
        other.append(await kept.write(builders.BAKERY, 9.0, 0))

    rows.before = order_elsewhere
    order = await kept.write(builders.BAKERY, 2.0, 0)
    assert order.revision > other[0].revision
    assert await kept.load() == [order]


@pytest.mark.parametrize("lost", [[True], [False], [False, True], [False, False]])
async def test_a_lost_reply_is_made_good(
    rows: builders.FailingTable, lost: list[bool]
) -> None:
    """Guards against an order that is reported as failed and yet in force."""
    rows.lost = list(lost)
    order = await persistence.OrderRows(rows).write(builders.BAKERY, 2.0, 0)
    assert await persistence.OrderRows(rows).load() == [order]


async def test_an_order_whose_reply_was_lost_isn_t_carried_out_twice(
    rows: builders.FailingTable,
) -> None:
    """Guards against a second write, and revision, for each lost reply."""
    rows.lost = [True]
    order = await persistence.OrderRows(rows).write(builders.BAKERY, 2.0, 0)
    assert order.revision == 1
    # A read, the write, and the same write under a condition that no longer holds.
    assert rows.calls == 3


async def test_an_order_outranks_a_revision_that_was_written_by_hand(
    rows: builders.FailingTable,
) -> None:
    """Guards against a row that no order can replace any more."""
    await put(rows, b'{"weight":2,"revision":1000000}')
    kept = persistence.OrderRows(rows)
    assert (await kept.write(builders.BAKERY, 3.0, 0)).revision > 1_000_000
    assert (await kept.write(builders.BAKERY, 4.0, 5_000_000)).revision > 5_000_000


@pytest.mark.parametrize("is_applied", [True, False])
async def test_a_store_that_fails_after_a_lost_reply_leaves_the_outcome_unknown(
    rows: builders.FailingTable, is_applied: bool
) -> None:
    """Guards against saying that nothing was changed when something was."""
    rows.lost = [is_applied]
    rows.after = lambda: setattr(rows.inner.gate, "faults", faults.Faults(down=True))
    kept = persistence.OrderRows(rows)
    with pytest.raises(errors.OutcomeUnknownError):
        await kept.write(builders.BAKERY, 2.0, 0)
    rows.inner.gate.faults = faults.Faults()
    assert len(await kept.load()) == int(is_applied)


async def test_a_store_that_is_down_changes_nothing(
    rows: builders.FailingTable,
) -> None:
    kept = persistence.OrderRows(rows)
    before = await kept.write(builders.BAKERY, 2.0, 0)
    rows.inner.gate.faults = faults.Faults(down=True)
    with pytest.raises(errors.PlatformUnavailableError):
        await kept.write(builders.BAKERY, 3.0, 0)
    rows.inner.gate.faults = faults.Faults()
    assert await kept.load() == [before]


@pytest.mark.parametrize(
    ("stored", "field"),
    [
        ({"weight": 0, "revision": 3}, "$.weight"),
        ({"weight": 1001, "revision": 3}, "$.weight"),
        ({"weight": "2", "revision": 3}, "$.weight"),
        ({"weight": 2, "revision": 0}, "$.revision"),
        ({"weight": 2, "revision": 2**63}, "$.revision"),
        ({"revision": 3}, "`weight`"),
        ({"weight": 2}, "`revision`"),
    ],
)
async def test_a_row_that_can_t_be_read_is_ignored_with_its_field_and_remedy(
    rows: builders.FailingTable, stored: dict[str, object], field: str
) -> None:
    """Guards against one bad row that keeps all others from being read."""
    kept = persistence.OrderRows(rows)
    order = await kept.write(builders.FLORIST, 2.0, 0)
    await put(rows, msgspec.json.encode(stored))
    with logbook.TestHandler() as seen:
        assert await kept.load() == [order]
    warnings = [one.message for one in seen.records if one.level == logbook.WARNING]
    assert len(warnings) == 1
    assert field in warnings[0]
    assert "tealcove accounts weight bakery VALUE" in warnings[0]


async def test_orders_outrank_those_of_a_store_that_came_back_from_a_copy(
    rows: builders.FailingTable,
) -> None:
    """Guards against a copy of the store that brings an old weight back.

    Its revisions are given out again then, in a higher era.
    """
    kept = persistence.OrderRows(rows)
    for weight in (2.0, 3.0, 4.0):
        last = await kept.write(builders.BAKERY, weight, 0)
    restored = builders.FailingTable(builders.new_table())
    era = revisions.revision_of(1, 1)

    async def read_at(name: str, key: str) -> table.Reading:
        found = await restored.inner.read_at(name, key)
        return table.Reading(found.row, found.seconds, era)

    restored.read_at = read_at
    newer = await persistence.OrderRows(restored).write(builders.BAKERY, 5.0, 0)
    assert newer.revision > last.revision
