"""Overload: who is stopped, who is refused, and with which reason."""

from __future__ import annotations

from tealcove import ids
from tealcove.dispatch import fair, messages, scheduler
from tealcove.dispatch.tests import builders

NOW = builders.instant(1)
REASON = messages.RefusalReason
# `builders.ticket()` takes about a second, so that this is at risk at once.
TIGHT = 1.3


def open_one(slots: int = 4) -> fair.FairScheduler:
    return builders.opened(builders.server("s0", slots=slots), short_share=0.0)


def preempted(outgoing: list[scheduler.Outgoing]) -> list[messages.Preempt]:
    return builders.messages_of(outgoing, messages.Preempt)


def run(found: fair.FairScheduler, now: ids.Instant, **changes: object) -> str:
    """Have a new ticket run, and return its id."""
    return builders.fill(found, 1, now, **changes)[0].ticket_id


def test_the_lowest_tier_s_least_prefill_is_stopped_first() -> None:
    found = open_one()
    run(found, NOW, tier_rank=1, output_tokens=1000)
    run(found, NOW, tier_rank=2, idempotent=False, output_tokens=1000)
    run(found, NOW, tier_rank=2, prompt_tokens=4000, output_tokens=1000)
    victim = run(found, NOW, tier_rank=2, output_tokens=1000)
    high = builders.ticket(tier_rank=0, remaining=TIGHT)
    orders = preempted(found.enqueue(high, builders.instant(1.5)))
    assert [order.ticket_id for order in orders] == [victim]
    # The slot is the ticket's, although others have less slack by now.
    found.enqueue(builders.ticket(tier_rank=0, remaining=TIGHT), builders.instant(1.5))
    grant = messages.Grant(ticket_id=victim, cell="", server="s0", host="", port=0)
    stopped = builders.done(grant, outcome=messages.Outcome.CANCELLED)
    granted = builders.granted(found.done(stopped, builders.instant(1.5)))
    assert [grant.ticket_id for grant in granted] == [high.ticket_id]
    assert victim not in found.state.queue.tickets


def test_work_that_is_nearly_done_is_spared() -> None:
    found = open_one(slots=2)
    run(found, builders.instant(1), tier_rank=2, output_tokens=1000)
    late = run(found, builders.instant(10.5), tier_rank=2, prompt_tokens=4000)
    high = builders.ticket(tier_rank=0, remaining=TIGHT)
    orders = preempted(found.enqueue(high, builders.instant(10.6)))
    assert [order.ticket_id for order in orders] == [late]


def test_nobody_is_stopped_while_there_is_time() -> None:
    found = open_one(slots=1)
    run(found, NOW, tier_rank=2)
    high = builders.ticket(tier_rank=0, remaining=10)
    assert not preempted(found.enqueue(high, NOW))
    assert not preempted(found.tick(builders.instant(5)))


def test_nobody_is_stopped_while_a_slot_is_about_to_fall_free() -> None:
    found = open_one(slots=2)
    run(found, NOW, tier_rank=2, output_tokens=2500)
    ending = run(found, NOW, tier_rank=2)
    high = builders.ticket(tier_rank=0, remaining=TIGHT)
    # The second of the two is predicted to end at about 2.03.
    now = builders.instant(1.95)
    assert not preempted(found.enqueue(high, now))
    grant = messages.Grant(ticket_id=ending, cell="", server="s0", host="", port=0)
    granted = builders.granted(found.done(builders.done(grant), now))
    assert [grant.ticket_id for grant in granted] == [high.ticket_id]


def test_nobody_is_stopped_for_an_equal_tier_or_in_vain() -> None:
    found = open_one(slots=1)
    run(found, NOW, tier_rank=1, output_tokens=1000)
    equal = found.enqueue(builders.ticket(tier_rank=1, remaining=TIGHT), NOW)
    hopeless = found.enqueue(builders.ticket(tier_rank=0, remaining=0.5), NOW)
    assert not preempted([*equal, *hopeless])
    assert builders.refused(hopeless)[0].reason is REASON.DEADLINE


def test_a_lost_order_to_stop_is_followed_by_another() -> None:
    found = open_one(slots=2)
    victims = {run(found, NOW, tier_rank=2, output_tokens=900) for _ in range(2)}
    high = builders.ticket(tier_rank=0, remaining=0.45, output_tokens=10)
    orders = preempted(found.enqueue(high, NOW))
    assert not preempted(found.tick(builders.instant(1.1)))
    orders += preempted(found.tick(builders.instant(1.21)))
    assert {order.ticket_id for order in orders} == victims


def test_lower_queued_work_is_refused_before_higher() -> None:
    found = open_one(slots=1)
    run(found, NOW, tier_rank=0, output_tokens=2500)
    queued = [builders.ticket(tier_rank=rank) for rank in (1, 2)]
    for ticket in queued:
        found.enqueue(ticket, NOW)
    high = builders.ticket(tier_rank=0, remaining=3)
    found.enqueue(high, NOW)
    refusals = builders.refused(found.tick(builders.instant(3.2)))
    expected = [queued[1].ticket_id, queued[0].ticket_id, high.ticket_id]
    assert [refusal.ticket_id for refusal in refusals] == expected
    assert {refusal.reason for refusal in refusals} == {REASON.OVERLOAD}


def test_a_deadline_that_left_no_time_to_wait_sheds_nobody() -> None:
    found = open_one(slots=1)
    run(found, NOW, tier_rank=0, output_tokens=2500)
    found.enqueue(builders.ticket(tier_rank=1), NOW)
    found.enqueue(builders.ticket(tier_rank=0, remaining=1.1), NOW)
    refusals = builders.refused(found.tick(builders.instant(1.2)))
    assert [refusal.reason for refusal in refusals] == [REASON.DEADLINE]


def test_a_ticket_that_waited_elsewhere_is_not_refused_for_its_deadline() -> None:
    found = open_one(slots=1)
    run(found, NOW, tier_rank=0, output_tokens=2500)
    moved = builders.ticket(remaining=0.5, waited=5.0)
    refusals = builders.refused(found.enqueue(moved, NOW))
    assert [refusal.reason for refusal in refusals] == [REASON.OVERLOAD]


def test_lower_non_idempotent_work_never_holds_all_slots() -> None:
    found = open_one(slots=4)
    assert len(builders.fill(found, 6, NOW, tier_rank=1, idempotent=False)) == 3
    assert len(builders.fill(found, 1, NOW, tier_rank=0, idempotent=False)) == 1


def test_long_work_at_risk_takes_the_short_share_from_lower_tiers_only() -> None:
    found = builders.opened(builders.server("s0", slots=4))
    long = {"prompt_tokens": 1000, "output_tokens": 100}
    builders.fill(found, 3, NOW, tier_rank=1, **long)
    low = run(found, NOW, tier_rank=2)
    tight = builders.ticket(tier_rank=1, remaining=1.35, **long)
    orders = preempted(found.enqueue(tight, NOW))
    assert [order.ticket_id for order in orders] == [low]


def test_retry_after_grows_with_the_backlog() -> None:
    found = open_one(slots=1)
    run(found, NOW, tier_rank=0, output_tokens=2500)
    hopeless = builders.ticket(remaining=0.01)
    before = builders.refused(found.enqueue(hopeless, NOW))[0]
    builders.fill(found, 20, NOW)
    after = builders.refused(found.enqueue(hopeless, NOW))[0]
    assert before.retry_after < 1 < 15 < after.retry_after


def test_slower_servers_are_looked_at_while_they_can_still_end_it() -> None:
    """A high tier's request is refused while low work runs on a slower server.

    Symptom: far beyond the capacity the highest tier is told `deadline` while
    the lowest tier's requests are completed.
    Events: the fast server has work of the same tier to the end; the slow one
    runs low work; by the fast one's last instant the slow one is too slow.
    Cause: a slot was looked for by force only from that instant on.
    """
    specs = [builders.server(f"s{n}", slots=1, generation=f"g{n}") for n in range(2)]
    found = builders.opened(*specs, short_share=0.0)
    for _ in range(20):
        builders.train(found, "s1", 3.0)
    same = run(found, NOW, tier_rank=0, output_tokens=1000, remaining=1000)
    low = run(found, NOW, tier_rank=2, output_tokens=1000, remaining=1000)
    for ticket_id in (same, low):
        # Without its first token a run would soon look like a straggler's.
        first = messages.Progress(
            ticket_id=ticket_id, cell=builders.CELL, first_token_seconds=0.1
        )
        found.progress(first, NOW)
    high = builders.ticket(tier_rank=0, remaining=5)
    outgoing = found.enqueue(high, NOW)
    for step in range(1, 50):
        outgoing += found.tick(builders.instant(1 + step * 0.1))
    assert low in [order.ticket_id for order in preempted(outgoing)]
