"""The plan of promised slot time."""

from __future__ import annotations

import pytest

from tealcove import ids
from tealcove.admission import returnplan
from tealcove.dispatch.tests import builders as dispatching

WORK = 0.5
NOW = dispatching.instant(0.0)
END = dispatching.instant(2.5)


def reserve_all(plan: returnplan.ReturnPlan, tier: int, slots: float) -> list[float]:
    """Reserve returns until the plan is full, and return their times from now."""
    found = []
    while (at := plan.reserve(tier, WORK, slots, NOW, END)) is not None:
        found.append(at - NOW)
    return found


def test_returns_are_spread_by_the_time_that_they_hold_a_slot() -> None:
    """Guards against promises that need more slots at a time than there are."""
    plan = returnplan.ReturnPlan()
    expected = [0.0, 0.5, 1.0, 1.5, 2.0, 2.5]
    assert reserve_all(plan, 0, 1.0) == pytest.approx(expected, abs=0.01)


def test_a_plan_without_slots_promises_nothing() -> None:
    """Guards against a division by the slots that higher tiers leave, if none."""
    assert reserve_all(returnplan.ReturnPlan(), 0, 0.0) == []


def test_a_lower_tier_gets_what_a_higher_one_leaves() -> None:
    """Guards against one slot promised to two tiers, and against a loss of priority."""
    plan = returnplan.ReturnPlan()
    low = reserve_all(plan, 1, 1.0)
    high = reserve_all(plan, 0, 1.0)
    assert len(low) == len(high)
    assert reserve_all(plan, 1, 1.0) == []


def test_past_intervals_are_removed() -> None:
    """Guards against a plan that grows for as long as the process runs."""
    plan = returnplan.ReturnPlan()
    reserve_all(plan, 0, 1.0)
    plan.expire(ids.Instant(END + returnplan.HORIZON))
    assert not any(plan.reserved.values())
