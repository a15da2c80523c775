"""Tests of slot accounting: grants, other dispatchers, lost messages, crashes."""

from __future__ import annotations

import msgspec
import pytest

from tealcove import ids
from tealcove.dispatch import fair, messages, scheduler, servers
from tealcove.dispatch.tests import builders

NOW = builders.instant(1)


def open_one(slots: int = 2) -> fair.FairScheduler:
    return builders.opened(builders.server("s0", slots=slots))


def is_granted(fair_scheduler: fair.FairScheduler, now: ids.Instant) -> bool:
    return bool(builders.granted(fair_scheduler.enqueue(builders.ticket(), now)))


def test_repeated_ticket_gets_the_same_answer() -> None:
    """A lost grant leaves a caller without an answer until its deadline."""
    fair_scheduler = open_one(slots=1)
    first, second = builders.ticket(), builders.ticket()
    granted = builders.granted(fair_scheduler.enqueue(first, NOW))
    assert builders.granted(fair_scheduler.enqueue(first, NOW)) == granted
    fair_scheduler.enqueue(second, NOW)
    assert builders.messages_of(fair_scheduler.enqueue(second, NOW), messages.Queued)
    assert not builders.granted(fair_scheduler.enqueue(second, NOW))


def test_running_request_of_another_dispatcher_holds_its_slot() -> None:
    fair_scheduler = open_one(slots=1)
    fair_scheduler.gather(builders.instant(2))
    waiting = builders.ticket()
    assert not builders.granted(fair_scheduler.enqueue(waiting, NOW))
    running = builders.ticket(running_on="s0")
    assert fair_scheduler.enqueue(running, NOW) == []
    assert not builders.granted(fair_scheduler.tick(builders.instant(2)))
    ended = fair_scheduler.withdraw(running.ticket_id, builders.instant(3))
    assert [g.ticket_id for g in builders.granted(ended)] == [waiting.ticket_id]


def test_first_grants_after_takeover_follow_queue_order() -> None:
    fair_scheduler = open_one(slots=1)
    fair_scheduler.gather(builders.instant(2))
    high = builders.ticket(tier_rank=0)
    fair_scheduler.enqueue(high, NOW)
    late = fair_scheduler.enqueue(builders.ticket(tier_rank=2), builders.instant(2))
    assert [g.ticket_id for g in builders.granted(late)] == [high.ticket_id]


def test_ticket_at_risk_is_granted_while_gathering() -> None:
    fair_scheduler = open_one()
    fair_scheduler.gather(builders.instant(2))
    assert builders.granted(fair_scheduler.enqueue(builders.ticket(remaining=1.2), NOW))


def test_excess_in_reports_counts_once_it_lasts() -> None:
    """A server gets more requests than it has slots from two dispatchers.

    Both serve the cell during a partition between data centres, and each counts only
    its own grants.
    """
    fair_scheduler = open_one(slots=4)
    fair_scheduler.report("s0", builders.load(3), builders.instant(1))
    fair_scheduler.report("s0", builders.load(2), builders.instant(2))
    assert fair_scheduler.state.fleet.servers["s0"].free_slots() == 4
    fair_scheduler.report("s0", builders.load(3), builders.instant(3.1))
    assert len(builders.fill(fair_scheduler, 4, builders.instant(3.2))) == 1


def test_lagging_report_of_own_requests_is_no_excess() -> None:
    fair_scheduler = open_one(slots=4)
    grants = builders.fill(fair_scheduler, 4, NOW)
    for grant in grants:
        fair_scheduler.done(builders.done(grant), builders.instant(3))
    for seconds in (3.1, 4.0, 4.9):
        fair_scheduler.report("s0", builders.load(4), builders.instant(seconds))
    assert fair_scheduler.state.fleet.servers["s0"].foreign_running == 0


def test_stuck_report_does_not_idle_a_server() -> None:
    fair_scheduler = open_one(slots=4)
    for seconds in range(1, 13):
        fair_scheduler.report("s0", builders.load(9), builders.instant(seconds))
        assert fair_scheduler.state.fleet.servers["s0"].free_slots() >= 1
    assert fair_scheduler.state.fleet.servers["s0"].free_slots() == 4


@pytest.mark.parametrize("outcome", ["not_sent", "crashed"])
def test_lost_server_gets_no_work_until_it_reports(outcome: str) -> None:
    fair_scheduler = open_one()
    grant = builders.fill(fair_scheduler, 1, NOW)[0]
    ended = builders.done(grant, outcome=messages.Outcome(outcome))
    fair_scheduler.done(ended, NOW)
    assert not is_granted(fair_scheduler, NOW)
    again = fair_scheduler.report("s0", builders.load(), NOW)
    assert len(builders.granted(again)) == 1


def test_leaving_server_gets_no_work() -> None:
    fair_scheduler = open_one()
    fair_scheduler.report("s0", builders.load(state="leaving"), NOW)
    refusal = builders.refused(fair_scheduler.enqueue(builders.ticket(), NOW))[0]
    assert refusal.reason is messages.RefusalReason.NO_BACKEND_SERVER
    fair_scheduler.report("s0", builders.load(), NOW)
    assert is_granted(fair_scheduler, NOW)
    leaving = builders.server("s0", slots=2, state=builders.kinds.ServerState.LEAVING)
    fair_scheduler.configure(builders.cell(leaving), NOW)
    assert not is_granted(fair_scheduler, NOW)


def test_requests_of_a_removed_server_are_forgotten() -> None:
    fair_scheduler = open_one(slots=1)
    grant = builders.fill(fair_scheduler, 1, NOW)[0]
    fair_scheduler.configure(builders.cell(builders.server("s1", slots=1)), NOW)
    assert is_granted(fair_scheduler, NOW)
    assert fair_scheduler.done(builders.done(grant), NOW) == []


def test_lost_entry_frees_tickets_at_once_and_slots_later() -> None:
    """A slot is granted again while the engine still works on the old request.

    The engine keeps a dead entry's request for a while so that it can be resumed; the
    new request would only queue inside the engine.
    """
    fair_scheduler = open_one(slots=1)
    builders.fill(fair_scheduler, 2, NOW)
    waiting = builders.ticket(entry="other")
    fair_scheduler.enqueue(waiting, NOW)
    fair_scheduler.lose_entry(builders.ENTRY, NOW)
    assert set(fair_scheduler.state.queue.tickets) == {waiting.ticket_id}
    assert not builders.granted(fair_scheduler.tick(builders.instant(2)))
    builders.refresh_tickets(fair_scheduler, builders.instant(4), builders.ENTRY)
    freed = builders.granted(
        fair_scheduler.tick(builders.instant(1 + fair.ORPHAN_SECONDS))
    )
    assert [grant.ticket_id for grant in freed] == [waiting.ticket_id]


def test_request_taken_over_by_another_entry_keeps_its_slot() -> None:
    """A slot is granted twice, or its request isn't preempted for a higher tier.

    Another entry takes over a dead entry's request under the same ticket. If the slot
    still belongs to the dead entry, its loss frees the slot.
    """
    fair_scheduler = open_one(slots=1)
    ticket = builders.ticket(remaining=60.0, tier_rank=2, output_tokens=2000)
    fair_scheduler.enqueue(ticket, NOW)
    first_token = messages.Progress(
        ticket_id=ticket.ticket_id, cell=builders.CELL, first_token_seconds=0.02
    )
    fair_scheduler.progress(first_token, NOW)
    heir = ids.InstanceId("heir")
    taken = msgspec.structs.replace(ticket, entry=heir, running_on="s0")
    fair_scheduler.lose_entry(builders.ENTRY, builders.instant(2))
    fair_scheduler.enqueue(taken, builders.instant(3))
    fair_scheduler.lose_entry(builders.ENTRY, builders.instant(4))
    builders.refresh_tickets(fair_scheduler, builders.instant(3 + fair.ORPHAN_SECONDS))
    fair_scheduler.tick(builders.instant(4 + fair.ORPHAN_SECONDS))
    assert fair_scheduler.state.fleet.servers["s0"].free_slots() == 0
    urgent = builders.ticket(remaining=1.3, tier_rank=0, entry="other")
    outgoing = fair_scheduler.enqueue(urgent, builders.instant(4 + fair.ORPHAN_SECONDS))
    told = [out for out in outgoing if isinstance(out.message, messages.Preempt)]
    assert [out.entry for out in told] == [heir]


def test_tickets_that_are_not_refreshed_are_forgotten() -> None:
    """A cell loses more and more slots, because messages of ends were lost."""
    fair_scheduler = open_one(slots=1)
    builders.fill(fair_scheduler, 2, NOW, remaining=60.0)
    fair_scheduler.tick(builders.instant(2 + scheduler.REFRESH_TIMEOUT))
    assert len(fair_scheduler.state.queue) == 0
    assert fair_scheduler.state.fleet.servers["s0"].free_slots() == 1


def test_slots_that_are_not_refreshed_are_freed_soon() -> None:
    """After a takeover a third of the work isn't done: servers idle for 8 s.

    The successor of a dead dispatcher learns of a running request whose end is lost
    during the takeover. Its slot was kept for eight missing refreshes.
    """
    fair_scheduler = open_one(slots=1)
    builders.fill(fair_scheduler, 1, NOW, remaining=60.0)
    waiting = builders.ticket(remaining=60.0)
    fair_scheduler.enqueue(waiting, builders.instant(3))
    freed = builders.granted(fair_scheduler.tick(builders.instant(4.7)))
    assert [grant.ticket_id for grant in freed] == [waiting.ticket_id]


def test_batch_size_is_the_mean_over_the_request() -> None:
    fair_scheduler = open_one(slots=4)
    grants = builders.fill(fair_scheduler, 2, builders.instant(0))
    fair_scheduler.done(builders.done(grants[1]), builders.instant(5))
    state: servers.ServerState = fair_scheduler.state.fleet.servers["s0"]
    running = state.running[grants[0].ticket_id]
    assert state.mean_others(running, builders.instant(10)) == pytest.approx(0.5)
