"""Tests of the queue's order: tier, fair share among accounts, least slack."""

from __future__ import annotations

import math

import pytest

from tealcove.dispatch import fair, messages, queue
from tealcove.dispatch.tests import builders

NOW = builders.instant(1)


def full_server() -> tuple[fair.FairScheduler, list[messages.Grant]]:
    """Return a scheduler whose only slot is taken."""
    fair_scheduler = builders.opened(builders.server("s0", slots=1))
    return fair_scheduler, builders.fill(fair_scheduler, 1, NOW, tier_rank=0)


def drain(
    fair_scheduler: fair.FairScheduler, grants: list[messages.Grant]
) -> list[str]:
    """Complete requests until none runs; return the tickets in order of grants."""
    order = []
    while grants:
        grant = grants.pop()
        held = fair_scheduler.state.fleet.server_of_ticket[grant.ticket_id].running[
            grant.ticket_id
        ]
        used = builders.done(
            grant,
            prompt_tokens=held.ticket.prompt_tokens,
            output_tokens=held.ticket.output_tokens,
        )
        grants = builders.granted(fair_scheduler.done(used, NOW))
        order.extend(grant.ticket_id for grant in grants)
    return order


def enqueue(fair_scheduler: fair.FairScheduler, **changes: object) -> str:
    ticket = builders.ticket(**changes)
    fair_scheduler.enqueue(ticket, NOW)
    return ticket.ticket_id


def test_order_is_by_tier_then_least_slack() -> None:
    fair_scheduler, grants = full_server()
    low = enqueue(fair_scheduler, tier_rank=2, remaining=5)
    late = enqueue(fair_scheduler, tier_rank=1, remaining=20)
    soon = enqueue(fair_scheduler, tier_rank=1, remaining=10)
    # A later deadline, but a longer service time.
    long = enqueue(fair_scheduler, tier_rank=1, remaining=16, output_tokens=1000)
    assert drain(fair_scheduler, grants) == [long, soon, late, low]


def test_accounts_share_by_tokens_not_requests() -> None:
    fair_scheduler, grants = full_server()
    account_of = {}
    for _ in range(9):
        account_of[enqueue(fair_scheduler, account="many")] = "many"
    for _ in range(3):
        big = enqueue(
            fair_scheduler, account="big", prompt_tokens=200, output_tokens=400
        )
        account_of[big] = "big"
    order = [account_of[ticket_id] for ticket_id in drain(fair_scheduler, grants)]
    # One request of 600 tokens for every three of 200, in both halves.
    assert [order[:4].count("big"), order[:8].count("big")] == [1, 2]


def test_accounts_share_by_weight() -> None:
    """Guards against a weight that is kept and shown, and changes nothing."""
    fair_scheduler, grants = full_server()
    names = {}
    for _ in range(9):
        names[enqueue(fair_scheduler, account="light")] = "light"
        names[enqueue(fair_scheduler, account="heavy", weight=2.0)] = "heavy"
    order = [names[ticket_id] for ticket_id in drain(fair_scheduler, grants)]
    assert [order[:number].count("heavy") for number in (3, 6, 9, 12)] == [2, 4, 6, 8]


def test_a_refund_counts_by_the_same_weight_as_the_charge() -> None:
    """Guards against an account that gains or loses share with each request."""
    waiting = queue.Queue()
    tier = queue.Tier()
    tier.accounts["a"] = queue.Account(0.0, {})
    waiting.tiers[0] = tier
    ticket = builders.ticket(account="a", tier_rank=0, weight=4.0)
    waiting.charge(ticket, 600.0)
    assert tier.accounts["a"].start_tag == 150.0
    waiting.charge(ticket, -600.0)
    assert tier.accounts["a"].start_tag == 0.0


@pytest.mark.parametrize("weight", [None, 0.0, -1.0, math.nan, math.inf])
def test_a_ticket_without_a_weight_that_can_be_used_counts_as_1(
    weight: float | None,
) -> None:
    """Guards against a division by zero for what another release has sent."""
    assert queue.weight_of(builders.ticket(weight=weight)) == 1.0


def test_idle_account_earns_no_credit() -> None:
    fair_scheduler, grants = full_server()
    names = {}
    enqueue(fair_scheduler, account="returned")
    for _ in range(9):
        names[enqueue(fair_scheduler, account="steady")] = "steady"
    for _ in range(5):
        grants = builders.granted(fair_scheduler.done(builders.done(grants.pop()), NOW))
    for _ in range(6):
        names[enqueue(fair_scheduler, account="returned")] = "returned"
    order = [names[ticket_id] for ticket_id in drain(fair_scheduler, grants)]
    # It starts at the running ticket's start tag, and precedes an equal account.
    assert order[:6] == ["returned", *("returned", "steady") * 2, "returned"]


def test_unused_tokens_are_refunded() -> None:
    fair_scheduler, grants = full_server()
    names = {}
    for _ in range(3):
        names[enqueue(fair_scheduler, account="modest", output_tokens=1000)] = "modest"
        names[enqueue(fair_scheduler, account="other", output_tokens=300)] = "other"
    order = []
    while grants:
        done = builders.done(grants.pop(), output_tokens=100)
        grants = builders.granted(fair_scheduler.done(done, NOW))
        order.extend(names[grant.ticket_id] for grant in grants)
    assert order[:4].count("modest") == 2


def test_age_includes_waiting_at_other_dispatchers() -> None:
    """A takeover serves the oldest requests last.

    After a dispatcher's death the entries send their tickets to the next in rank, the
    newest first; age counted from arrival there would reverse their order.
    """
    fair_scheduler, grants = full_server()
    young = enqueue(fair_scheduler, account="a", waited=0.5)
    old = enqueue(fair_scheduler, account="b", waited=4.0)
    assert drain(fair_scheduler, grants) == [old, young]
