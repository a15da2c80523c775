"""Tests of the ticket's rank, goal and patience from route and caller."""

from __future__ import annotations

import pytest

from tealcove import ids
from tealcove.catalog import declared
from tealcove.ingress import tickets
from tealcove.ingress.tests import builders

ENTRY = tickets.EntryInstance(ids.InstanceId("i"), ids.DataCentreId("dc-1"))


def rank(account_rank: int | None, route_rank: int) -> tuple[int, int]:
    """Return tier and urgency, compared in this order."""
    accepted = builders.accepted(
        account=builders.account(rank=account_rank),
        route=builders.route(rank=route_rank),
    )
    now = accepted.arrived
    found = tickets.new_ticket(
        accepted, ids.CellId("c/0"), ENTRY, (), False, now
    ).ticket
    return found.tier_rank, found.urgency


async def test_route_rank_orders_requests_of_equal_account_rank():
    """Guards against refusing urgent requests while less urgent ones are served.

    All accounts have rank 1, and requests of an urgent and another route wait for
    one slot. If the account's rank replaces the route's, all of them wait in one
    queue: at twice the load, a quarter of each kind is refused.
    """
    assert rank(1, 0) < rank(1, 1) < rank(1, 2)


async def test_account_rank_overrides_route_rank():
    assert rank(0, 2) < rank(1, 0)
    assert rank(0, 5000) < rank(1, 0)
    # An account without a rank gets the route's as its tier.
    assert rank(None, 0) < rank(1, 0) < rank(None, 2)


async def test_without_account_ranks_all_requests_share_one_tier():
    """Guards against starving the least urgent route under overload.

    No account has a rank, and routes have three. If the routes' ranks are used as
    tiers, which have strict priority, the last one's requests are always refused.
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


async def test_ticket_has_the_callers_own_deadline():
    route = builders.route(is_stream=True, timeout=1.0)
    received = builders.received(caller_timeout=4.0)
    accepted = builders.accepted(route=route, call=received)
    now = ids.Instant(accepted.arrived + 0.5)
    cell = ids.CellId("c/0")
    first = tickets.new_ticket(accepted, cell, ENTRY, (), False, now).ticket
    # The caller's deadline counts, although the route's timeout is shorter.
    assert first.caller_remaining == pytest.approx(3.5)
    # A resumed stream isn't measured from a first attempt.
    assert (
        tickets.new_ticket(accepted, cell, ENTRY, (), True, now).ticket.caller_remaining
        == 0.0
    )
    silent = builders.accepted(call=builders.received(caller_timeout=None))
    assert (
        tickets.new_ticket(silent, cell, ENTRY, (), False, now).ticket.caller_remaining
        == 0.0
    )


async def test_goal_of_a_started_stream_is_its_gap_target():
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

    # A missed goal differs from no goal.
    assert 0.0 < ticket(False).goal < 1e-9
    assert ticket(False).patience == pytest.approx(2.4 - 1.0)
    assert ticket(True).goal == 0.25
    assert ticket(True).patience == pytest.approx(2.4)


@pytest.mark.parametrize("is_stream", [True, False])
async def test_a_stream_tells_the_longest_gap_that_its_route_allows(
    is_stream: bool,
) -> None:
    """Dispatchers filled servers until the streams there missed their gaps."""
    route = builders.route(is_stream=is_stream, gap=0.25)
    accepted = builders.accepted(route=route)
    found = tickets.new_ticket(
        accepted, ids.CellId("c/0"), ENTRY, (), False, accepted.arrived
    ).ticket
    assert found.gap == (0.25 if is_stream else 0.0)
    assert found.event_tokens == 4


async def test_a_stream_that_goes_on_is_no_return_of_a_refused_request():
    """Guards against a continued run that takes the place of its own first attempt."""
    accepted = builders.accepted()
    copy_at = ids.BackendServerId("s-1")
    found = tickets.new_ticket(
        accepted,
        ids.CellId("c/0"),
        ENTRY,
        (),
        False,
        accepted.arrived,
        copy_at=copy_at,
    ).ticket
    assert (found.copy_at, found.wants_copy) == (copy_at, False)
    assert found.caller_remaining == 0.0
