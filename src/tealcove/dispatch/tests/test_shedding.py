"""Tests of preemption and refusal under overload."""

from __future__ import annotations

from tealcove import ids
from tealcove.dispatch import fair, messages, scheduler
from tealcove.dispatch.tests import builders

NOW = builders.instant(1)
REASON = messages.RefusalReason
# Seconds to the deadline; `builders.ticket()` takes about 1, so it's at risk at once.
TIGHT = 1.3


def open_one(slots: int = 4) -> fair.FairScheduler:
    return builders.opened(builders.server("s0", slots=slots), short_share=0.0)


def preempted(outgoing: list[scheduler.Outgoing]) -> list[messages.Preempt]:
    return builders.messages_of(outgoing, messages.Preempt)


def run(fair_scheduler: fair.FairScheduler, now: ids.Instant, **changes: object) -> str:
    """Enqueue a ticket that is granted at once, and return its id."""
    return builders.fill(fair_scheduler, 1, now, **changes)[0].ticket_id


def test_lowest_tier_with_least_prefill_is_preempted_first() -> None:
    fair_scheduler = open_one()
    run(fair_scheduler, NOW, tier_rank=1, output_tokens=1000)
    run(fair_scheduler, NOW, tier_rank=2, idempotent=False, output_tokens=1000)
    run(fair_scheduler, NOW, tier_rank=2, prompt_tokens=4000, output_tokens=1000)
    victim = run(fair_scheduler, NOW, tier_rank=2, output_tokens=1000)
    high = builders.ticket(tier_rank=0, remaining=TIGHT)
    orders = preempted(fair_scheduler.enqueue(high, builders.instant(1.5)))
    assert [order.ticket_id for order in orders] == [victim]
    # The slot is granted to the ticket, although another one has less slack by now.
    fair_scheduler.enqueue(
        builders.ticket(tier_rank=0, remaining=TIGHT), builders.instant(1.5)
    )
    grant = messages.Grant(ticket_id=victim, cell="", server="s0", host="", port=0)
    stopped = builders.done(grant, outcome=messages.Outcome.CANCELLED)
    granted = builders.granted(fair_scheduler.done(stopped, builders.instant(1.5)))
    assert [grant.ticket_id for grant in granted] == [high.ticket_id]
    assert victim not in fair_scheduler.state.queue.tickets


def test_nearly_done_request_is_not_preempted() -> None:
    fair_scheduler = open_one(slots=2)
    run(fair_scheduler, builders.instant(1), tier_rank=2, output_tokens=1000)
    late = run(fair_scheduler, builders.instant(10.5), tier_rank=2, prompt_tokens=4000)
    high = builders.ticket(tier_rank=0, remaining=TIGHT)
    orders = preempted(fair_scheduler.enqueue(high, builders.instant(10.6)))
    assert [order.ticket_id for order in orders] == [late]


def test_no_preemption_while_there_is_slack() -> None:
    fair_scheduler = open_one(slots=1)
    run(fair_scheduler, NOW, tier_rank=2)
    high = builders.ticket(tier_rank=0, remaining=10)
    assert not preempted(fair_scheduler.enqueue(high, NOW))
    assert not preempted(fair_scheduler.tick(builders.instant(5)))


def test_no_preemption_if_a_slot_frees_in_time() -> None:
    fair_scheduler = open_one(slots=2)
    run(fair_scheduler, NOW, tier_rank=2, output_tokens=2500)
    ending = run(fair_scheduler, NOW, tier_rank=2)
    high = builders.ticket(tier_rank=0, remaining=TIGHT)
    # The second of the two is predicted to end at about 2.03.
    now = builders.instant(1.95)
    assert not preempted(fair_scheduler.enqueue(high, now))
    grant = messages.Grant(ticket_id=ending, cell="", server="s0", host="", port=0)
    granted = builders.granted(fair_scheduler.done(builders.done(grant), now))
    assert [grant.ticket_id for grant in granted] == [high.ticket_id]


def test_no_preemption_for_equal_tier_or_hopeless_ticket() -> None:
    fair_scheduler = open_one(slots=1)
    run(fair_scheduler, NOW, tier_rank=1, output_tokens=1000)
    equal = fair_scheduler.enqueue(builders.ticket(tier_rank=1, remaining=TIGHT), NOW)
    hopeless = fair_scheduler.enqueue(builders.ticket(tier_rank=0, remaining=0.5), NOW)
    assert not preempted([*equal, *hopeless])
    assert builders.refused(hopeless)[0].reason is REASON.DEADLINE


def test_lost_preemption_is_followed_by_another() -> None:
    fair_scheduler = open_one(slots=2)
    victims = {
        run(fair_scheduler, NOW, tier_rank=2, output_tokens=900) for _ in range(2)
    }
    high = builders.ticket(tier_rank=0, remaining=0.45, output_tokens=10)
    orders = preempted(fair_scheduler.enqueue(high, NOW))
    assert not preempted(fair_scheduler.tick(builders.instant(1.1)))
    orders += preempted(fair_scheduler.tick(builders.instant(1.21)))
    assert {order.ticket_id for order in orders} == victims


def test_queued_lower_tiers_are_refused_first() -> None:
    fair_scheduler = open_one(slots=1)
    run(fair_scheduler, NOW, tier_rank=0, output_tokens=2500)
    queued = [builders.ticket(tier_rank=rank) for rank in (1, 2)]
    for ticket in queued:
        fair_scheduler.enqueue(ticket, NOW)
    high = builders.ticket(tier_rank=0, remaining=3)
    fair_scheduler.enqueue(high, NOW)
    refusals = builders.refused(fair_scheduler.tick(builders.instant(3.2)))
    expected = [queued[1].ticket_id, queued[0].ticket_id, high.ticket_id]
    assert [refusal.ticket_id for refusal in refusals] == expected
    assert {refusal.reason for refusal in refusals} == {REASON.OVERLOAD}


def test_ticket_without_slack_sheds_no_others() -> None:
    fair_scheduler = open_one(slots=1)
    run(fair_scheduler, NOW, tier_rank=0, output_tokens=2500)
    fair_scheduler.enqueue(builders.ticket(tier_rank=1), NOW)
    fair_scheduler.enqueue(builders.ticket(tier_rank=0, remaining=1.1), NOW)
    refusals = builders.refused(fair_scheduler.tick(builders.instant(1.2)))
    assert [refusal.reason for refusal in refusals] == [REASON.DEADLINE]


def test_ticket_that_waited_elsewhere_is_refused_for_overload() -> None:
    fair_scheduler = open_one(slots=1)
    run(fair_scheduler, NOW, tier_rank=0, output_tokens=2500)
    moved = builders.ticket(remaining=0.5, waited=5.0)
    refusals = builders.refused(fair_scheduler.enqueue(moved, NOW))
    assert [refusal.reason for refusal in refusals] == [REASON.OVERLOAD]


def test_lower_non_idempotent_requests_never_hold_all_slots() -> None:
    fair_scheduler = open_one(slots=4)
    assert (
        len(builders.fill(fair_scheduler, 6, NOW, tier_rank=1, idempotent=False)) == 3
    )
    assert (
        len(builders.fill(fair_scheduler, 1, NOW, tier_rank=0, idempotent=False)) == 1
    )


def test_long_ticket_at_risk_preempts_lower_tier_in_short_slots() -> None:
    fair_scheduler = builders.opened(builders.server("s0", slots=4))
    long = {"prompt_tokens": 1000, "output_tokens": 100}
    builders.fill(fair_scheduler, 3, NOW, tier_rank=1, **long)
    low = run(fair_scheduler, NOW, tier_rank=2)
    tight = builders.ticket(tier_rank=1, remaining=1.35, **long)
    orders = preempted(fair_scheduler.enqueue(tight, NOW))
    assert [order.ticket_id for order in orders] == [low]


def test_retry_after_grows_with_the_backlog() -> None:
    fair_scheduler = open_one(slots=1)
    run(fair_scheduler, NOW, tier_rank=0, output_tokens=2500)
    hopeless = builders.ticket(remaining=0.01)
    before = builders.refused(fair_scheduler.enqueue(hopeless, NOW))[0]
    builders.fill(fair_scheduler, 20, NOW)
    after = builders.refused(fair_scheduler.enqueue(hopeless, NOW))[0]
    assert before.retry_after < 1 < 15 < after.retry_after


def test_slower_servers_are_considered_in_time() -> None:
    """A high tier is refused for `deadline` while a slower server runs a lower tier.

    Under heavy overload the fast server is busy with the same tier until the end. If
    preemption starts only near the latest start on the fast server, the slow server
    can no longer end the ticket in time.
    """
    specs = [builders.server(f"s{n}", slots=1, generation=f"g{n}") for n in range(2)]
    fair_scheduler = builders.opened(*specs, short_share=0.0)
    for _ in range(20):
        builders.train(fair_scheduler, "s1", 3.0)
    same = run(fair_scheduler, NOW, tier_rank=0, output_tokens=1000, remaining=1000)
    low = run(fair_scheduler, NOW, tier_rank=2, output_tokens=1000, remaining=1000)
    for ticket_id in (same, low):
        # Without a first token the server would soon count as a straggler.
        first = messages.Progress(
            ticket_id=ticket_id, cell=builders.CELL, first_token_seconds=0.1
        )
        fair_scheduler.progress(first, NOW)
    high = builders.ticket(tier_rank=0, remaining=5)
    outgoing = fair_scheduler.enqueue(high, NOW)
    for step in range(1, 50):
        outgoing += fair_scheduler.tick(builders.instant(1 + step * 0.1))
    assert low in [order.ticket_id for order in preempted(outgoing)]
