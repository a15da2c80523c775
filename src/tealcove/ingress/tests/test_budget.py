"""Tests that retries stay within this instance's share of the allowance."""

from __future__ import annotations

from tealcove import ids
from tealcove.ingress import budget
from tealcove.ingress.tests import builders

ALLOWED = budget.Allowance(ratio=0.2, slack=50.0, window=10.0)
# The start of a process that has run for longer than the window.
LONG_AGO = -100.0


def instant(seconds: float) -> ids.Instant:
    return ids.Instant(seconds)


def test_slack_is_shared_and_window_slides():
    found = builders.retry_budget(ALLOWED, lambda now: 10, LONG_AGO)
    taken = [found.take_retry(builders.SERVICE, instant(1.0)) for _ in range(10)]
    assert sum(taken) == int(budget.USED_SHARE * 5)
    assert not found.take_retry(builders.SERVICE, instant(10.9))
    assert found.take_retry(builders.SERVICE, instant(11.1))
    assert found.take_retry(ids.PoolId("another"), instant(1.0))


def test_allowed_retries_grow_with_requests():
    found = builders.retry_budget(ALLOWED, lambda now: 1000, LONG_AGO)
    assert not found.take_retry(builders.SERVICE, instant(0.0))
    for _ in range(100):
        found.record_request(builders.SERVICE, instant(0.0))
    taken = [found.take_retry(builders.SERVICE, instant(0.0)) for _ in range(50)]
    assert sum(taken) == 16
