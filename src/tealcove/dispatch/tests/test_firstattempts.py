"""Tests of recognising retries by their content and their caller's deadline."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from tealcove import ids
from tealcove.dispatch import firstattempts, messages
from tealcove.dispatch.tests import builders


def ticket(remaining: float = 10.0, **changes: object) -> messages.Ticket:
    found = {"digest": "d", "caller_remaining": remaining, **changes}
    return builders.ticket(**found)


def first(
    attempts: firstattempts.FirstAttempts, sent: messages.Ticket, at: float
) -> firstattempts.Attempt | None:
    return attempts.find_or_add(sent, builders.instant(at + 0.25), builders.instant(at))


def test_a_retry_keeps_the_goal_of_its_first_attempt():
    attempts = firstattempts.FirstAttempts()
    assert first(attempts, ticket(), 0.0) is None
    again = first(attempts, ticket(remaining=9.2), 0.8)
    assert again.goal_at == builders.instant(0.25)


def test_other_requests_with_the_same_content_are_new():
    """Guards against taking requests with popular content for retries.

    Many callers send the same content within a second. If requests were identified by
    content alone, all but the first would count as late and go behind all others.
    """
    attempts = firstattempts.FirstAttempts()
    assert first(attempts, ticket(), 0.0) is None
    assert first(attempts, ticket(), 0.8) is None
    assert first(attempts, ticket(remaining=9.2, prompt_tokens=101), 0.8) is None
    assert first(attempts, ticket(remaining=9.2, digest="e"), 0.8) is None


def test_a_ticket_that_waited_elsewhere_is_no_new_attempt():
    attempts = firstattempts.FirstAttempts()
    assert first(attempts, ticket(), 0.0) is None
    moved = ticket(remaining=10.0, waited=0.7)
    assert first(attempts, moved, 0.7) is not None


def promised(attempts: firstattempts.FirstAttempts, due: float) -> None:
    """Remember an attempt that was read .12 s late, with a promised return."""
    assert first(attempts, ticket(), 0.12) is None
    attempts.find(ticket(), builders.instant(0.12)).promised_at = builders.instant(due)


def test_a_promised_return_is_known_though_its_first_attempt_was_read_late():
    """Guards against refusing a return that keeps its time, as if it were new.

    A request that lay unread at a busy instance seems to have a later deadline.
    """
    attempts = firstattempts.FirstAttempts()
    promised(attempts, due=1.0)
    again = first(attempts, ticket(remaining=9.0), 1.0)
    assert again is not None
    assert again.is_due(builders.instant(1.0))


def test_a_return_before_its_time_needs_the_deadline_of_its_first_attempt():
    """Guards against taking another caller's request for an early return."""
    attempts = firstattempts.FirstAttempts()
    promised(attempts, due=1.0)
    assert first(attempts, ticket(remaining=9.2), 0.8) is None


def test_a_request_with_much_more_time_is_no_promised_return():
    """Guards against serving another caller of the same content for a promise."""
    attempts = firstattempts.FirstAttempts()
    promised(attempts, due=1.0)
    assert first(attempts, ticket(remaining=10.0), 1.0) is None


def test_without_a_callers_deadline_nothing_is_remembered():
    attempts = firstattempts.FirstAttempts()
    assert first(attempts, ticket(remaining=0.0), 0.0) is None
    assert first(attempts, ticket(remaining=0.0), 0.1) is None
    assert attempts.count == 0


@given(st.lists(st.tuples(st.integers(0, 3), st.floats(0.1, 20.0), st.floats(0, 9))))
def test_what_is_remembered_is_bounded_and_counted(sent: list) -> None:
    attempts = firstattempts.FirstAttempts()
    now = 0.0
    for digest, remaining, pause in sent:
        now += pause
        attempts.expire(builders.instant(now))
        first(attempts, ticket(remaining=remaining, digest=str(digest)), now)
        kept = [attempt for found in attempts.attempts.values() for attempt in found]
        assert attempts.count == len(kept)
        assert all(attempt.ends_at > builders.instant(now) for attempt in kept)
    attempts.expire(builders.instant(now + 21.0))
    assert attempts.count == 0
    assert not attempts.attempts


def test_a_flood_is_remembered_in_part(monkeypatch) -> None:
    monkeypatch.setattr(firstattempts, "MAX_REMEMBERED", 2)
    attempts = firstattempts.FirstAttempts()
    for number in range(5):
        assert first(attempts, ticket(digest=str(number)), 0.0) is None
    assert attempts.count == 2
    assert ids.Instant(0.0) not in [
        t.goal_at for f in attempts.attempts.values() for t in f
    ]
