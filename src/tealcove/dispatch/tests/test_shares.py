"""Tests of the entitlements and the priority of kinds and length bands."""

from __future__ import annotations

import pytest

from tealcove.dispatch import shares
from tealcove.dispatch.tests import builders

# Slot times in seconds.
LONG, SHORT = 2.0, 0.2


def arrive(
    found: shares.Shares, urgency: int, seconds: float, times: int = 10, tier: int = 1
) -> shares.Flow:
    """Record arrivals of a kind; return the flow of the last one."""
    for _ in range(times):
        flow = found.flow(tier, urgency, seconds)
        found.record_arrival(flow, seconds, builders.instant(0))
    return flow


def grant(found: shares.Shares, flow: shares.Flow, times: int) -> None:
    for _ in range(times):
        found.record_grant(flow, builders.instant(0))


def test_a_kind_with_short_slot_times_yields_little():
    found = shares.Shares()
    urgent = arrive(found, 0, LONG)
    costly = arrive(found, 1, LONG)
    due = found.adjustments()
    assert due[urgent.kind] == shares.Adjustment(1.0, 0.0)
    assert due[costly.kind].entitlement == pytest.approx(1.0 - shares.YIELDED_SHARE)
    other = shares.Shares()
    arrive(other, 0, LONG)
    cheap = arrive(other, 1, SHORT)
    assert other.adjustments()[cheap.kind].entitlement == pytest.approx(
        1.0 - shares.YIELDED_SHARE * SHORT / LONG
    )


def test_no_kind_is_entitled_to_more_than_a_more_urgent_one():
    found = shares.Shares()
    flows = [arrive(found, u, s) for u, s in ((0, LONG), (1, LONG), (2, SHORT))]
    dues = [found.adjustments()[flow.kind].entitlement for flow in flows]
    assert dues == sorted(dues, reverse=True)
    assert dues[2] > 0.9 * dues[1]


def test_tiers_do_not_yield_to_each_other():
    found = shares.Shares()
    arrive(found, 0, LONG, tier=0)
    lower = arrive(found, 0, LONG, tier=1)
    assert found.adjustments()[lower.kind].entitlement == 1.0


def test_the_kind_with_the_lowest_service_level_goes_first():
    found = shares.Shares()
    urgent = arrive(found, 0, LONG)
    cheap = arrive(found, 1, SHORT)
    grant(found, urgent, 5)
    grant(found, cheap, 2)
    levels = found.service_levels()
    assert levels[cheap] < levels[urgent]
    grant(found, cheap, 3)
    levels = found.service_levels()
    assert levels[urgent] < levels[cheap]


def test_long_requests_of_a_kind_are_entitled_to_half():
    found = shares.Shares()
    usual = arrive(found, 0, 1.0, times=30)
    longest = arrive(found, 0, 10.0, times=1)
    assert (usual.band, longest.band) == (0, 2)
    grant(found, usual, 30)
    grant(found, longest, 1)
    levels = found.service_levels()
    assert levels[longest] == pytest.approx(2.0 * levels[usual])


def test_an_unknown_kind_counts_as_served():
    found = shares.Shares()
    flow = found.flow(1, 0, 3.0)
    assert flow.band == 0
    assert found.service_levels() == {}
    arrive(found, 0, 0.0, times=2)
    assert found.flow(1, 0, 3.0).band == 0


def test_old_arrivals_decay():
    found = shares.Shares()
    flow = arrive(found, 0, LONG, times=20)
    later = builders.instant(5 * shares.WINDOW_SECONDS)
    found.record_arrival(flow, LONG, later)
    found.record_grant(flow, later)
    assert found.flows[flow].served_ratio() > 0.8
