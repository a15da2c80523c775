"""Tests that retries of all instances stay within the allowance across restarts."""

from __future__ import annotations

import bisect

import hypothesis
from hypothesis import strategies

from tealcove import ids
from tealcove.ingress import budget
from tealcove.ingress.tests import builders

ALLOWED = budget.Allowance(ratio=0.2, slack=56.0, window=10.0)
INSTANCES = 8
REQUESTS_PER_SECOND = 5
# Seconds of load before the first request fails, and in all.
HEALTHY_SECONDS = 20
SECONDS = 60
# Seconds from a kill until the next process takes requests.
RESTART_SECONDS = 0.3

Kills = list[tuple[float, int]]


class Deployment:
    """Instances whose requests all fail, and are sent once more where allowed."""

    def __init__(self) -> None:
        self.budgets = [self.start(0.0) for _ in range(INSTANCES)]
        self.down_until = [0.0] * INSTANCES
        self.requests: list[float] = []
        self.retries: list[float] = []

    def start(self, now: float) -> budget.RetryBudget:
        """Return the budget of a new process."""
        return builders.retry_budget(ALLOWED, lambda now: INSTANCES, now)

    def kill(self, number: int, now: float) -> None:
        """Replace the process of an instance."""
        self.down_until[number] = now + RESTART_SECONDS
        self.budgets[number] = self.start(now + RESTART_SECONDS)

    def accept(self, number: int, now: float) -> None:
        """Send a request, which fails after the healthy seconds."""
        self.requests.append(now)
        if now < self.down_until[number]:
            return
        self.budgets[number].record_request(builders.SERVICE, ids.Instant(now))
        if now >= HEALTHY_SECONDS and builders.retry(self.budgets[number], now):
            self.retries.append(now)

    def run(self, kills: Kills) -> None:
        """Play the whole load with instances killed at these times."""
        pending = sorted(kills)
        for step in range(SECONDS * REQUESTS_PER_SECOND):
            now = step / REQUESTS_PER_SECOND
            while pending and pending[0][0] <= now:
                at, number = pending.pop(0)
                self.kill(number, at)
            for number in range(INSTANCES):
                self.accept(number, now)


def count(instants: list[float], since: float, until: float) -> int:
    """Return the number of sorted instants in a window, both ends included."""
    return bisect.bisect_right(instants, until) - bisect.bisect_left(instants, since)


def assert_within_allowance(played: Deployment) -> None:
    """Check each window that begins with a retry."""
    for since in sorted(set(played.retries)):
        until = since + ALLOWED.window
        requests = count(played.requests, since, until)
        most = ALLOWED.ratio * requests + ALLOWED.slack
        assert count(played.retries, since, until) <= most


def test_restarts_do_not_renew_the_retry_budget() -> None:
    """Processes forgot the retries that their predecessors had just sent."""
    played = Deployment()
    played.run(
        [(at, number) for at in (23.0, 26.0, 29.0) for number in range(INSTANCES - 2)]
    )
    assert_within_allowance(played)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(HEALTHY_SECONDS - 1, SECONDS - 20),
            strategies.integers(0, INSTANCES - 1),
        ),
        max_size=40,
    )
)
def test_retries_stay_within_the_allowance_for_any_kills(kills: Kills) -> None:
    """Any series of restarts may renew the budget."""
    played = Deployment()
    played.run(kills)
    assert_within_allowance(played)
