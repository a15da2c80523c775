"""Tests of the division of a capacity among weighted demands."""

from __future__ import annotations

import math

import hypothesis
import pytest
from hypothesis import strategies

from tealcove.dispatch import waterlevel

AMOUNTS = strategies.floats(0.0, 100.0)
CLAIMS = strategies.lists(
    strategies.builds(waterlevel.Claim, AMOUNTS, strategies.floats(0.001, 1000.0)),
    min_size=1,
)


def used(claims: list[waterlevel.Claim], level: float) -> float:
    """Return what all claims get at a level."""
    return sum(min(claim.demand, level * claim.weight) for claim in claims)


def test_demand_that_fits_is_not_divided():
    claims = [waterlevel.Claim(1.0, 1.0), waterlevel.Claim(2.0, 5.0)]
    assert waterlevel.level(claims, 3.0) == math.inf


def test_what_small_demands_leave_goes_to_the_others():
    claims = [waterlevel.Claim(demand, 1.0) for demand in (2.0, 20.0, 30.0)]
    assert waterlevel.level(claims, 30.0) == pytest.approx(14.0)


def test_the_level_counts_for_each_unit_of_weight():
    claims = [waterlevel.Claim(60.0, 1.0), waterlevel.Claim(60.0, 2.0)]
    assert waterlevel.level(claims, 30.0) == pytest.approx(10.0)


@hypothesis.given(CLAIMS, AMOUNTS)
def test_a_finite_level_uses_exactly_the_capacity(
    claims: list[waterlevel.Claim], capacity: float
):
    level = waterlevel.level(claims, capacity)
    if level == math.inf:
        assert sum(claim.demand for claim in claims) <= capacity
    else:
        assert used(claims, level) == pytest.approx(capacity)
