"""Orders on several instances."""

from __future__ import annotations

import asyncio

import pytest

from tealcove import clock, errors, ids
from tealcove.accounts import messages, persistence, role
from tealcove.accounts.tests import builders
from tealcove.peers import message
from tealcove.storage import faults

MOST_MESSAGE_BYTES = 64


async def test_an_order_is_in_force_everywhere_after_one_message() -> None:
    rows = builders.FailingTable(builders.new_table())
    network, (one, two, three) = builders.new_group(3, rows)
    await one.weights.order(builders.BAKERY, 2.5)
    assert one.weights.weight(builders.BAKERY) == 2.5
    assert two.weights.weight(builders.BAKERY) == builders.FALLBACK_WEIGHT
    assert len(network.underway) == 2
    network.deliver_all()
    assert two.weights.weight(builders.BAKERY) == 2.5
    assert three.weights.weight(builders.BAKERY) == 2.5
    await two.weights.order(builders.BAKERY, None)
    network.deliver_all()
    for at in (one, two, three):
        assert at.weights.weight(builders.BAKERY) == builders.FALLBACK_WEIGHT
    # Nobody reads the store to learn of an order.
    assert rows.calls == 4


async def test_an_instance_that_missed_every_message_learns_by_heartbeat() -> None:
    """Guards against a weight that stays unknown where all messages were lost."""
    network, (one, two) = builders.new_group(2, builders.new_table())
    await one.weights.order(builders.BAKERY, 2.5)
    network.underway.clear()
    one.hear(two)
    network.deliver_all()
    assert two.weights.weight(builders.BAKERY) == 2.5
    one.hear(two)
    two.hear(one)
    assert not network.underway


async def test_an_instance_cut_off_from_the_store_has_the_orders() -> None:
    table = builders.new_table()
    down = builders.FailingTable(builders.new_table())
    down.inner.gate.faults = faults.Faults(down=True)
    network, (one,) = builders.new_group(1, table)
    cut_off = builders.Instance(network, 1, down)
    builders.greet([one, cut_off])
    await one.weights.order(builders.BAKERY, 2.5)
    network.deliver_all()
    assert cut_off.weights.weight(builders.BAKERY) == 2.5
    with pytest.raises(errors.PlatformUnavailableError):
        await cut_off.weights.order(builders.BAKERY, 3.0)
    assert cut_off.weights.weight(builders.BAKERY) == 2.5
    with pytest.raises(errors.PlatformUnavailableError):
        await cut_off.weights.load(builders.NOW)
    assert cut_off.weights.must_load.is_set()


async def test_orders_survive_the_replacement_of_all_instances() -> None:
    table = builders.new_table()
    _, (one,) = builders.new_group(1, table)
    await one.weights.order(builders.BAKERY, 2.5)
    await one.weights.order(builders.FLORIST, 3.0)
    await one.weights.order(builders.FLORIST, None)
    _, (fresh,) = builders.new_group(1, table)
    await fresh.weights.load(builders.NOW)
    assert fresh.weights.weight(builders.BAKERY) == 2.5
    assert fresh.weights.weight(builders.FLORIST) == builders.FALLBACK_WEIGHT


async def test_a_store_that_came_back_from_a_copy_is_sent_what_it_lacks() -> None:
    """Guards against old weights once all instances are replaced after a restore."""
    inner = builders.new_table()
    rows = builders.FailingTable(inner)
    network, found = builders.new_group(3, rows)
    await found[0].weights.order(builders.BAKERY, 2.5)
    saved = inner.save()
    await found[0].weights.order(builders.BAKERY, 4.0)
    await found[1].weights.order(builders.FLORIST, 5.0)
    network.deliver_all()
    await inner.restore(saved)
    before = rows.calls
    for one in found:
        one.weights.must_load.clear()
        one.weights.restore()
    (chosen,) = [one for one in found if one.weights.must_load.is_set()]
    rows.lost = [False]
    with pytest.raises(errors.OutcomeUnknownError):
        await chosen.weights.load(builders.NOW)
    await chosen.weights.load(builders.NOW)
    await chosen.weights.load(builders.NOW)
    # Two reads and a write, twice; then one read.
    assert rows.calls == before + 7
    _, (fresh,) = builders.new_group(1, rows)
    await fresh.weights.load(builders.NOW)
    assert fresh.weights.weight(builders.BAKERY) == 4.0
    assert fresh.weights.weight(builders.FLORIST) == 5.0


async def test_a_bad_row_leaves_the_last_good_order_in_force() -> None:
    """Guards against a weight that is lost since somebody damaged its row."""
    table = builders.new_table()
    rows = builders.FailingTable(table)
    _, (one,) = builders.new_group(1, rows)
    await one.weights.order(builders.BAKERY, 2.5)
    row = await table.read(persistence.TABLE, builders.BAKERY)
    await persistence.table.replace(
        table, row, persistence.TABLE, builders.BAKERY, b'{"weight":0,"revision":99}'
    )
    await one.weights.load(builders.NOW)
    assert one.weights.weight(builders.BAKERY) == 2.5


async def test_instances_without_the_settings_are_sent_nothing() -> None:
    """Guards against messages that an older release can't decode."""
    network, (one, two) = builders.new_group(2, builders.new_table())
    two.members.update_own(weights=0)
    one.hear(two)
    await one.weights.order(builders.BAKERY, 2.5)
    one.hear(two)
    one.weights.sharer.compare_all(clock.now())
    assert not network.underway


async def test_peers_whose_heartbeats_don_t_arrive_again_are_compared() -> None:
    """Guards against large groups, where relays forward heartbeats only on a change."""
    network, (one, two) = builders.new_group(2, builders.new_table())
    await one.weights.order(builders.BAKERY, 2.5)
    network.underway.clear()
    one.weights.sharer.next_sync = ids.Instant(float("-inf"))
    one.weights.sharer.compare_all(clock.now())
    network.deliver_all()
    assert two.weights.weight(builders.BAKERY) == 2.5


async def test_the_running_role_reads_the_store_once() -> None:
    """Guards against instances that poll: each call of the store has a price."""
    rows = builders.FailingTable(builders.new_table())
    _, (one,) = builders.new_group(1, rows)
    await one.weights.order(builders.BAKERY, 2.5)
    _, (fresh,) = builders.new_group(1, rows)
    before = rows.calls
    fresh.weights.start()
    await builders.until(lambda: fresh.weights.weight(builders.BAKERY) == 2.5)
    # Enough for several rounds of the tasks.
    await asyncio.sleep(0.6)
    await fresh.weights.stop()
    assert rows.calls == before + 1


async def test_an_order_without_a_reply_is_looked_up_later(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an order that is in the store and on no instance."""
    monkeypatch.setattr(role, "RELOAD_PAUSE", 0.01)
    rows = builders.FailingTable(builders.new_table())
    _, (one,) = builders.new_group(1, rows)
    await one.weights.load(builders.NOW)
    rows.lost = [False, False, True]
    with pytest.raises(errors.OutcomeUnknownError):
        await one.weights.order(builders.BAKERY, 2.5)
    one.weights.start()
    await builders.until(lambda: one.weights.weight(builders.BAKERY) == 2.5)
    await one.weights.stop()


async def test_the_number_of_ordered_accounts_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(persistence, "MAX_ROWS", 1)
    _, (one,) = builders.new_group(1, builders.new_table())
    await one.weights.order(builders.BAKERY, 2.5)
    await one.weights.order(builders.BAKERY, 3.5)
    with pytest.raises(errors.PlatformUnavailableError, match="1 accounts"):
        await one.weights.order(builders.FLORIST, 2.5)


def test_an_order_is_sent_in_few_bytes() -> None:
    codec = message.Codec()
    codec.register(messages.WeightsChanged)
    sent = messages.WeightsChanged(records=(builders.order(2.5, 2**45),))
    assert len(codec.encode(sent)) <= MOST_MESSAGE_BYTES
    assert codec.decode(codec.encode(sent)) == sent
