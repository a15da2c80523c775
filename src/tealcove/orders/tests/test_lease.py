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


async def test_paused_holder_does_not_hold_after_expiry(platform):
    """A holder that resumes after its lease has expired doesn't hold it.

    If it relied on its state in place of the current time, two stewards would send
    orders to one pool.
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
    """A holder whose lease expired during an outage takes a new number.

    Under the old number, an order from before the outage would pass for a new one.
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
    """A write that was applied counts even if its reply is lost.

    Otherwise a holder would give up a lease that was renewed.
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
    """A renewal found later counts from when it was sent.

    The renewal is applied, but its reply and the read of the row fail; the next
    renewal finds the row changed. Counted from the latter, the lease would seem held
    when another participant may have acquired it.
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
    """Of two renewals with lost replies, the first one counts.

    The first is applied, the second is lost before it arrives, and the row can't be
    read; a third finds the row changed. Counted from the second, the lease would seem
    held when another participant may have acquired it.
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


async def test_outage_does_not_extend_the_lease(platform):
    """Failed renewals don't extend a lease, and a failed release still ends it.

    Otherwise a steward would send orders during an outage under a lease that another
    participant may have acquired.
    """
    first = builders.participant(platform, "first")
    await first.step(0.0)
    platform.faults.down = True
    await first.step(5.0)
    assert first.held(8.9)
    await first.release(5.0)
    assert not first.held(5.0)


async def test_number_goes_on_after_an_operator_deleted_the_row(platform):
    """Fencing numbers don't restart at 1 when the lease's row is deleted by hand.

    Engines would refuse all orders of the steward.
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


async def test_row_that_cannot_be_decoded_is_an_error_with_a_remedy(platform):
    garbage = table.Put(lease.TABLE, "pool", b"{}")
    await platform.table.commit(table.Transaction((), (garbage,)))
    with pytest.raises(errors.PlatformError, match="correct the row"):
        await builders.participant(platform, "first").step(0.0)


def test_margin_must_be_below_the_duration(platform):
    with pytest.raises(errors.SettingsError):
        lease.Lease(platform.table, "pool", "first", 10.0, 10.0)


def test_holder_name_tells_two_runs_of_an_instance_apart():
    assert lease.holder_name("one", "a") != lease.holder_name("one", "b")
