"""What routes and callers say becomes the ticket's rank, goal and patience."""

from __future__ import annotations

import pytest

from tealcove import ids
from tealcove.catalog import declared
from tealcove.ingress import tickets
from tealcove.ingress.tests import builders

ENTRY = tickets.EntryInstance(ids.InstanceId("i"), ids.DataCentreId("dc-1"))


def rank(account_rank: int | None, route_rank: int) -> tuple[int, int]:
    """Return tier and urgency, of which the tier goes first."""
    accepted = builders.accepted(
        account=builders.account(rank=account_rank),
        route=builders.route(rank=route_rank),
    )
    now = accepted.arrived
    found = tickets.new_ticket(
        accepted, ids.CellId("c/0"), ENTRY, (), False, now
    ).ticket
    return found.tier_rank, found.urgency


async def test_routes_of_accounts_with_one_rank_go_by_their_own():
    """Urgent requests are refused while others that could wait are served.

    Symptom: at twice the load, a quarter of the most urgent kind of request is
    refused, as of any other. Sequence: all accounts have rank 1; an urgent and
    another route's requests wait for one slot. Cause: the account's rank takes the
    place of the route's, so that all of them wait in one line.
    """
    assert rank(1, 0) < rank(1, 1) < rank(1, 2)


async def test_the_accounts_rank_goes_before_the_routes():
    assert rank(0, 2) < rank(1, 0)
    assert rank(0, 5000) < rank(1, 0)
    # Without one of its own, the route's says the tier.
    assert rank(None, 0) < rank(1, 0) < rank(None, 2)


async def test_without_ranks_of_accounts_all_are_of_one_tier():
    """The least urgent kind gets nothing under overload.

    Symptom: a kind of request is refused always while the load lasts. Sequence: no
    account has a rank, and routes have three. Cause: the routes' ranks stand for
    tiers, which go strictly one before the other.
    """
    found = []
    for route_rank in (0, 2):
        accepted = builders.accepted(
            account=builders.account(rank=None),
            route=builders.route(rank=route_rank),
            has_tiers=False,
        )
        found.append((accepted.tier_rank, accepted.route.rank))
    assert found == [(0, 0), (0, 2)]


async def test_a_ticket_says_when_its_caller_gives_up():
    route = builders.route(is_stream=True, timeout=1.0)
    received = builders.received(caller_timeout=4.0)
    accepted = builders.accepted(route=route, call=received)
    now = ids.Instant(accepted.arrived + 0.5)
    cell = ids.CellId("c/0")
    first = tickets.new_ticket(accepted, cell, ENTRY, (), False, now).ticket
    # By its own word, although the route's time is over before.
    assert first.caller_remaining == pytest.approx(3.5)
    # A stream that goes on has no first try to be known by.
    assert (
        tickets.new_ticket(accepted, cell, ENTRY, (), True, now).ticket.caller_remaining
        == 0.0
    )
    silent = builders.accepted(call=builders.received(caller_timeout=None))
    assert (
        tickets.new_ticket(silent, cell, ENTRY, (), False, now).ticket.caller_remaining
        == 0.0
    )


async def test_a_stream_that_has_begun_has_its_next_pause_for_a_goal():
    route = builders.route(
        repeat=declared.Repeat.RESUMABLE, is_stream=True, goal=0.6, gap=0.25
    )
    accepted = builders.accepted(route=route)
    now = ids.Instant(accepted.arrived + 1.0)

    def ticket(has_events: bool) -> tickets.messages.Ticket:
        found = tickets.new_ticket(
            accepted, ids.CellId("c/0"), ENTRY, (), has_events, now
        )
        return found.ticket

    # Missed by now, which isn't the same as having none.
    assert 0.0 < ticket(False).goal < 1e-9
    assert ticket(False).patience == pytest.approx(2.4 - 1.0)
    assert ticket(True).goal == 0.25
    assert ticket(True).patience == pytest.approx(2.4)
