"""Tests of the token bucket."""

from __future__ import annotations

import pytest

from tealcove import ids, tokenbucket

RATE = 10.0


def bucket(max_debt_seconds: float) -> tokenbucket.TokenBucket:
    """Return a bucket that is full at 100 s."""
    found = tokenbucket.TokenBucket(RATE, max_debt_seconds)
    found.refill(ids.Instant(100.0))
    return found


def test_a_pause_saves_up_one_second_of_the_rate() -> None:
    """Guards against a burst as long as the pause before it."""
    found = bucket(1.0)
    found.spend(RATE)
    assert not found.allows(1.0, ids.Instant(100.0))
    assert found.allows(RATE, ids.Instant(200.0))
    found.spend(RATE)
    assert not found.allows(1.0, ids.Instant(200.0))


def test_what_is_larger_than_a_burst_needs_a_full_bucket() -> None:
    """Guards against large requests that never fit."""
    found = bucket(10.0)
    assert found.allows(3 * RATE, ids.Instant(100.0))
    found.spend(1.0)
    assert not found.allows(3 * RATE, ids.Instant(100.0))


@pytest.mark.parametrize(("seconds", "level"), [(1.0, -RATE), (2.0, -2 * RATE)])
def test_a_debt_is_bounded(seconds: float, level: float) -> None:
    """Guards against a debt that takes minutes to pay off."""
    found = bucket(seconds)
    found.spend(100 * RATE)
    assert found.level == level
    unbounded = bucket(float("inf"))
    unbounded.spend(100 * RATE)
    assert unbounded.level == -99 * RATE


def test_a_lower_rate_bounds_what_was_saved_up() -> None:
    """Guards against a burst of the rate before, after the rate has fallen."""
    found = bucket(1.0)
    found.change(1.0, ids.Instant(100.0))
    found.refill(ids.Instant(100.0))
    assert found.level == 1.0
