"""Tests of what is recorded of requests that end."""

from __future__ import annotations

import pytest

from tealcove import ids
from tealcove.accounts import tallies
from tealcove.catalog import declared
from tealcove.entry import problem
from tealcove.ingress import observer, stream
from tealcove.ingress.tests import builders

ARRIVED = ids.Instant(100.0)
STREAM = builders.route(
    name="stream", is_stream=True, goal=0.5, gap=0.2, repeat=declared.Repeat.RESUMABLE
)


def observation(route: declared.Route, **changes: object) -> observer.Observation:
    found = {"arrived": ARRIVED, "declared_route": route}
    return observer.Observation(**{**found, **changes})


@pytest.mark.parametrize(
    ("seconds", "result"), [(0.5, tallies.Result.IN_TIME), (0.6, tallies.Result.LATE)]
)
def test_the_goal_of_a_call_counts_until_its_answer(
    seconds: float, result: tallies.Result
) -> None:
    found = observation(builders.route(goal=0.5))
    assert found.result(ids.Instant(ARRIVED + seconds)) is result


def test_the_goal_of_a_stream_counts_until_its_first_event():
    """Guards against counting all long streams as late."""
    first = ids.Instant(ARRIVED + 0.4)
    found = observation(STREAM, first_event_at=first, longest_pause=0.2)
    assert found.result(ids.Instant(ARRIVED + 60)) is tallies.Result.IN_TIME
    found.first_event_at = ids.Instant(ARRIVED + 0.6)
    assert found.result(ids.Instant(ARRIVED + 60)) is tallies.Result.LATE


def test_a_stream_with_a_long_pause_is_late():
    first = ids.Instant(ARRIVED + 0.1)
    found = observation(STREAM, first_event_at=first, longest_pause=0.3)
    assert found.result(ids.Instant(ARRIVED + 1)) is tallies.Result.LATE


def test_a_route_without_goals_is_never_late():
    route = builders.route(is_stream=True, goal=0.0, gap=0.0)
    found = observation(route, longest_pause=9.0)
    assert found.result(ids.Instant(ARRIVED + 60)) is tallies.Result.IN_TIME


@pytest.mark.parametrize(
    ("outcome", "result"),
    [
        (problem.Outcome.NOT_RUN.value, tallies.Result.REFUSED),
        (problem.Outcome.INTERRUPTED.value, tallies.Result.FAILED),
        (problem.Outcome.UNKNOWN.value, tallies.Result.FAILED),
        (problem.CALLER_GONE, tallies.Result.CALLER_GONE),
    ],
)
def test_requests_that_are_not_served_are_neither_in_time_nor_late(
    outcome: str, result: tallies.Result
) -> None:
    found = observation(builders.route(), outcome=outcome)
    assert found.result(ARRIVED) is result


def test_only_requests_of_known_callers_are_counted_by_account():
    """Guards against series for whatever names unknown callers send."""
    counts = tallies.Tallies(ids.DataCentreId("dc-1"))
    seen = observer.Observer(counts=counts)
    seen.end(observation(builders.route(), account=builders.ACCOUNT), ARRIVED)
    seen.end(observation(builders.route()), ARRIVED)
    assert [one.labels["account"] for one in counts.count_samples()] == ["bakery"]


def test_pauses_leave_out_the_time_for_which_the_caller_is_written_to():
    """Guards against blaming servers for callers that read slowly."""
    found = stream.CallerStream(None, None)
    found.end_pause(ids.Instant(1.0))
    found.paused_at = ids.Instant(4.0)
    found.end_pause(ids.Instant(4.5))
    found.end_pause(ids.Instant(9.0))
    assert found.longest_pause == 0.5
