"""Leases: renewal, takeover, and what a holder does when replies are lost."""

from __future__ import annotations

from unittest import mock

import pytest

from tealcove import errors
from tealcove.orders import lease
from tealcove.orders.tests import builders
from tealcove.storage import memory, table


@pytest.fixture
def platform():
    return memory.MemoryPlatform()


async def test_holder_renews_and_challenger_waits_from_the_last_change(platform):
    first = builders.participant(platform, "first")
    second = builders.participant(platform, "second")
    await first.step(0.0)
    assert first.held(8.9)
    assert not first.held(9.0)
    await second.step(1.0)
    await first.step(5.0)
    assert first.held(13.9)
    assert not first.held(14.0)
    await second.step(11.5)
    assert second.state is lease.LeaseState.CHALLENGING
    await second.step(12.0)
    await second.step(21.9)
    assert not second.held(21.9)
    await second.step(22.0)
    assert second.held(22.0)
    assert (first.number, second.number) == (1, 2)


async def test_released_lease_is_taken_at_once_under_the_next_number(platform):
    first = builders.participant(platform, "first")
    second = builders.participant(platform, "second")
    await first.step(0.0)
    await first.release(1.0)
    assert first.state is lease.LeaseState.ABSENT
    await second.step(1.0)
    assert second.held(1.0)
    assert second.number == 2


async def test_paused_holder_that_wakes_does_not_hold(platform):
    """Symptom: two stewards give orders to one pool.

    Events: the holder is paused past its lease; another takes it; it wakes.
    Cause: a holder that trusts its state and not the present time.
    """
    first = builders.participant(platform, "first")
    second = builders.participant(platform, "second")
    await first.step(0.0)
    await second.step(1.0)
    await second.step(2.0)
    await second.step(12.0)
    assert first.state is lease.LeaseState.HELD
    assert not first.held(12.0)
    await first.step(12.0)
    assert first.state is lease.LeaseState.CHALLENGING
    assert second.held(12.0)


async def test_lapsed_holder_without_a_successor_takes_the_next_number(platform):
    """Symptom: an order of before an outage passes for one of after it.

    Events: the holder's lease runs out while the platform is down; nobody takes it,
    and the holder comes back.
    Cause: going on under the old number.
    """
    first = builders.participant(platform, "first")
    await first.step(0.0)
    platform.faults.down = True
    await first.step(20.0)
    assert first.state is lease.LeaseState.LAPSED
    platform.faults.down = False
    await first.step(21.0)
    assert first.held(21.0)
    assert first.number == 2


@pytest.mark.parametrize("lost", ["the first take", "a renewal"])
async def test_lost_reply_is_settled_by_reading_the_row(platform, lost):
    """Symptom: a holder gives its lease up although it was renewed.

    Events: the platform applies a write; its reply is lost.
    Cause: a lost reply taken for a failed write.
    """
    first = builders.participant(platform, "first")
    if lost == "a renewal":
        await first.step(-5.0)
    platform.faults.lose_replies = 1
    await first.step(0.0)
    assert first.held(8.9)
    assert not first.held(9.0)
    assert first.number == 1


async def test_late_renewal_counts_from_when_it_was_sent(platform):
    """Symptom: a holder believes in a lease that another may have taken.

    Events: a renewal's reply and the row's reading fail; the write was applied;
    the next renewal finds the row changed.
    Cause: counting from the renewal that found out, not from the one applied.
    """
    first = builders.participant(platform, "first")
    await first.step(0.0)
    platform.faults.lose_replies = 1
    platform.faults.reads_per_second = 0
    await first.step(4.0)
    platform.faults.reads_per_second = None
    await first.step(8.0)
    assert first.held(12.9)
    assert not first.held(13.0)


async def test_first_of_two_lost_renewals_counts(platform, monkeypatch):
    """Symptom: a holder believes in a lease that another may have taken.

    Events: a renewal is applied and its reply lost; a second one gets lost on
    its way; neither can be settled by reading. A third finds the row changed.
    Cause: counting from the last lost renewal, not from the first.
    """
    first = builders.participant(platform, "first")
    await first.step(0.0)
    platform.faults.lose_replies = 1
    platform.faults.reads_per_second = 0
    await first.step(4.0)
    lost = errors.OutcomeUnknownError("the call got lost", "Read the row.")
    with monkeypatch.context() as patch:
        patch.setattr(platform.table, "commit", mock.AsyncMock(side_effect=lost))
        await first.step(6.0)
    await first.step(8.0)
    assert first.held(12.9)
    assert not first.held(13.0)


async def test_outage_leaves_the_holder_its_time_and_no_more(platform):
    """Symptom: a steward gives orders under a lease that another may have taken.

    Events: the platform goes down; renewals fail, and so does the release.
    Cause: counting from a failed renewal, or holding on until a release is written.
    """
    first = builders.participant(platform, "first")
    await first.step(0.0)
    platform.faults.down = True
    await first.step(5.0)
    assert first.held(8.9)
    await first.release(5.0)
    assert not first.held(5.0)


async def test_number_goes_on_after_an_operator_deleted_the_row(platform):
    """Symptom: engines refuse all orders of the steward.

    Events: somebody deletes the lease's row by hand.
    Cause: numbers that begin again at 1.
    """
    first = builders.participant(platform, "first")
    await first.step(0.0)
    removal = table.Delete(lease.TABLE, "pool")
    await platform.table.commit(table.Transaction((), (removal,)))
    await first.step(1.0)
    assert first.state is lease.LeaseState.ABSENT
    await first.step(2.0)
    assert first.held(2.0)
    assert first.number == 2


async def test_row_that_cannot_be_understood_is_an_error_with_a_remedy(platform):
    garbage = table.Put(lease.TABLE, "pool", b"{}")
    await platform.table.commit(table.Transaction((), (garbage,)))
    with pytest.raises(errors.PlatformError, match="correct the row"):
        await builders.participant(platform, "first").step(0.0)


def test_margin_must_be_below_the_duration(platform):
    with pytest.raises(errors.SettingsError):
        lease.Lease(platform.table, "pool", "first", 10.0, 10.0)


def test_holder_name_tells_two_runs_of_an_instance_apart():
    assert lease.holder_name("one", "a") != lease.holder_name("one", "b")
