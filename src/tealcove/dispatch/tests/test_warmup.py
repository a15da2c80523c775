"""Backend servers that are cold."""

from __future__ import annotations

from tealcove.dispatch import goal
from tealcove.dispatch.tests import builders

RATE = 6.0
COLD_SECONDS = 3.0
SLOTS = 4
STEP_SECONDS = 0.02
# Requests that a server bears in any second, beyond its rate.
SLACK = 8.0


def scheduler(cold_seconds: float) -> goal.GoalScheduler:
    """Return a scheduler of one server that is cold for so long."""
    found = goal.GoalScheduler()
    list_server(found, cold_seconds, 0.0)
    return found


def list_server(found: goal.GoalScheduler, cold_seconds: float, at: float) -> None:
    """Apply a list with the server."""
    spec = builders.server("s0", SLOTS, cold_rate=RATE, cold_seconds=cold_seconds)
    found.configure(builders.cell(spec), builders.instant(at))


def play(found: goal.GoalScheduler, seconds: float, start: float = 0.0) -> list[float]:
    """Return when requests are granted that end at once, as many as there are slots."""
    granted_at = []
    for step in range(int(seconds / STEP_SECONDS)):
        at = start + step * STEP_SECONDS
        now = builders.instant(at)
        grants = builders.granted(found.enqueue(builders.ticket(), now))
        grants += builders.granted(found.tick(now))
        while grants:
            granted_at.append(at)
            done = builders.done(grants.pop(), total_seconds=0.0)
            grants += builders.granted(found.done(done, now))
    return granted_at


def most_in_a_second(granted_at: list[float]) -> int:
    """Return the most requests within any second."""
    return max(
        sum(since <= at < since + 1.0 for at in granted_at) for since in granted_at
    )


def test_a_cold_server_gets_few_requests() -> None:
    """A server that had just started was overrun by all that its slots could take."""
    granted_at = play(scheduler(COLD_SECONDS), COLD_SECONDS)
    assert granted_at
    assert most_in_a_second(granted_at) <= RATE + SLACK


def test_a_server_that_is_warm_gets_all_that_it_takes() -> None:
    """A server was held back for longer than it was cold."""
    found = scheduler(COLD_SECONDS)
    play(found, COLD_SECONDS)
    assert most_in_a_second(play(found, 2.0, COLD_SECONDS)) > RATE + SLACK


def test_a_server_may_become_cold_again() -> None:
    found = scheduler(0.0)
    assert most_in_a_second(play(found, 2.0)) > RATE + SLACK
    list_server(found, COLD_SECONDS, 2.0)
    assert most_in_a_second(play(found, COLD_SECONDS, 2.0)) <= RATE + SLACK


def test_an_unchanged_entry_does_not_make_it_cold_for_longer() -> None:
    """Each change of another server held back those that had started lately."""
    found = scheduler(COLD_SECONDS)
    list_server(found, COLD_SECONDS, COLD_SECONDS - 0.1)
    assert most_in_a_second(play(found, 2.0, COLD_SECONDS)) > RATE + SLACK
