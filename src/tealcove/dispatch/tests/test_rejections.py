"""Backend servers that reject requests for want of room."""

from __future__ import annotations

import pytest

from tealcove import ids
from tealcove.dispatch import goal, messages, rejections
from tealcove.dispatch.tests import builders

SERVER = ids.BackendServerId("s0")
LIMIT = 3
SLOTS = 6


def tracked(limit: float | None = None) -> rejections.Rejections:
    """Return the rejections of a server that bears so many a second."""
    found = rejections.Rejections(SERVER)
    found.apply_limit(limit, builders.instant(0.0))
    return found


def reject(found: goal.GoalScheduler, grant: messages.Grant, at: float) -> list:
    """Report that a server rejected a granted request."""
    done = builders.done(
        grant,
        outcome=messages.Outcome.CANCELLED,
        total_seconds=0.0,
        is_rejected=True,
    )
    return found.done(done, builders.instant(at))


def test_a_full_server_gets_nothing_for_a_while() -> None:
    """A server that was full got one request after the other, to reject them."""
    found = builders.goal_scheduler(SLOTS)
    grants = [
        grant
        for _ in range(SLOTS)
        for grant in builders.granted(
            found.enqueue(builders.ticket(), builders.instant(0.0))
        )
    ]
    for waiting in range(SLOTS):
        assert not builders.granted(
            found.enqueue(builders.ticket(), builders.instant(0.01 * waiting))
        )
    assert not builders.granted(reject(found, grants[0], 0.1))
    assert not builders.granted(reject(found, grants[1], 0.11))
    later = builders.instant(0.1 + rejections.MIN_PAUSE + 0.1)
    assert not builders.granted(found.tick(later))
    ended = builders.done(grants[2])
    assert len(builders.granted(found.done(ended, later))) == 1


def test_a_server_with_room_again_gets_as_much_as_before() -> None:
    """A server that had been full once stayed half empty."""
    found = tracked()
    found.record(2, 0.0, builders.instant(0.0))
    assert found.room_at(builders.instant(0.5)) == 2
    assert found.room_at(builders.instant(4.1)) == SLOTS


def test_pauses_grow_while_the_server_rejects_and_start_anew_when_it_runs() -> None:
    """A server that stayed full was tried many times a second."""
    found = tracked()
    for number in range(4):
        found.record(0, 0.0, builders.instant(float(number)))
    assert found.pause.until == builders.instant(3.0 + rejections.MAX_PAUSE)
    found.record_service(builders.instant(3.5))
    found.record(0, 0.0, builders.instant(5.0))
    assert found.pause.until == builders.instant(5.0 + rejections.MIN_PAUSE)


def test_a_brittle_server_gets_no_more_than_it_may_reject() -> None:
    """All slots of a server were granted at once, and all requests were rejected."""
    found = builders.goal_scheduler(SLOTS)
    stated = builders.statement("s0", rejection_limit=LIMIT, rejection_limit_age=0.0)
    found.apply_statement(builders.ENTRY, stated, builders.instant(0.0))
    now = builders.instant(0.1)
    grants = [
        len(builders.granted(found.enqueue(builders.ticket(), now)))
        for _ in range(SLOTS)
    ]
    assert sum(grants) == LIMIT


def brittle_scheduler() -> tuple[goal.GoalScheduler, list[messages.Grant]]:
    """Return a scheduler of one brittle server, and all grants that it bears."""
    found = builders.goal_scheduler(SLOTS)
    stated = builders.statement("s0", rejection_limit=LIMIT, rejection_limit_age=0.0)
    found.apply_statement(builders.ENTRY, stated, builders.instant(0.0))
    grants = [
        grant
        for _ in range(SLOTS)
        for grant in builders.granted(
            found.enqueue(builders.ticket(), builders.instant(0.1))
        )
    ]
    assert len(grants) == LIMIT
    return found, grants


def start(found: goal.GoalScheduler, grant: messages.Grant, at: float) -> None:
    """Report the first token of a granted request."""
    progress = messages.Progress(
        ticket_id=grant.ticket_id,
        cell=builders.CELL,
        first_token_seconds=at - 0.1,
    )
    found.progress(progress, builders.instant(at))


@pytest.mark.parametrize("seconds", [0.4, 0.8, 1.2])
def test_a_silent_brittle_server_gets_no_more_than_it_may_reject(
    seconds: float,
) -> None:
    """A full server whose rejections were late got further requests, and fell over."""
    found, _ = brittle_scheduler()
    assert not builders.granted(found.tick(builders.instant(0.1 + seconds)))


def test_rejections_that_the_server_no_longer_counts_are_borne() -> None:
    """Long calls, which show nothing before their ends, kept a server half empty."""
    found, _ = brittle_scheduler()
    over = 0.1 + rejections.WINDOW + rejections.ANSWER_SECONDS + 0.1
    assert len(builders.granted(found.tick(builders.instant(over)))) == LIMIT


def test_a_brittle_server_that_runs_its_requests_gets_more() -> None:
    """A sound server would stay as empty as the few rejections that it bears."""
    found, grants = brittle_scheduler()
    start(found, grants[0], 0.2)
    assert len(builders.granted(found.tick(builders.instant(0.2)))) == 1


def test_a_server_that_answers_later_requests_runs_the_earlier_ones() -> None:
    """Calls kept a sound server half empty for a whole window."""
    found, grants = brittle_scheduler()
    answered = 0.1 + rejections.ANSWER_SECONDS + 0.1
    start(found, grants[0], answered)
    # It runs the other two of LIMIT too, so that all other slots may be used.
    later = found.tick(builders.instant(answered))
    assert len(builders.granted(later)) == SLOTS - LIMIT


def test_an_entry_that_is_silent_may_have_got_a_rejection() -> None:
    """An entry stood still, and the rejections of its requests weren't known here."""
    found = builders.goal_scheduler(SLOTS)
    stated = builders.statement("s0", rejection_limit=LIMIT, rejection_limit_age=0.0)
    found.apply_statement(builders.ENTRY, stated, builders.instant(0.0))
    now = builders.instant(0.1)
    silent = ids.InstanceId("entry-1")
    for _ in range(LIMIT - 1):
        found.enqueue(builders.ticket(entry=silent), now)
    (grant,) = builders.granted(found.enqueue(builders.ticket(), now))
    start(found, grant, 1.0)
    for _ in range(SLOTS):
        found.enqueue(builders.ticket(), builders.instant(1.0))
    view = found.views.servers[SERVER]
    assert view.unanswered(builders.instant(1.0)) == LIMIT


def test_a_server_whose_rejections_were_late_is_waited_for_longer() -> None:
    """A server that rejected late, and ran others meanwhile, was overrun."""
    found, grants = brittle_scheduler()
    reject(found, grants[0], 1.1)
    view = found.views.servers[SERVER]
    assert view.restrictions.rejections.answer_seconds > 1.0
    start(found, grants[1], 1.2)
    now = builders.instant(1.2)
    assert not view.may_be_rejected(view.runs[grants[1].ticket_id], now)
    assert view.may_be_rejected(view.runs[grants[2].ticket_id], now)


def test_rejections_of_the_last_second_count() -> None:
    """A brittle server was tried again while it still counted its rejections."""
    found = tracked(LIMIT)
    for _ in range(LIMIT):
        found.record(0, 0.0, builders.instant(0.0))
    assert found.bearable(0, builders.instant(0.9)) == 0
    assert found.bearable(0, builders.instant(1.1)) == LIMIT
    assert found.bearable(LIMIT, builders.instant(1.1)) == 0


def test_a_server_that_bears_no_rejection_is_tried_by_one_request() -> None:
    """A server that says that any rejection is too many got nothing any more."""
    found = tracked(0.0)
    assert found.bearable(0, builders.instant(0.1)) == 1
    assert found.bearable(1, builders.instant(0.1)) == 0
    found.record(0, 0.0, builders.instant(0.2))
    assert found.bearable(0, builders.instant(1.1)) == 0
    assert found.bearable(0, builders.instant(1.3)) == 1


def test_an_older_statement_does_not_end_a_limit() -> None:
    """An answer from before a server was brittle made it look sound."""
    found = tracked(LIMIT)
    found.apply_limit(None, builders.instant(-1.0))
    assert found.limit == LIMIT
    found.apply_limit(None, builders.instant(1.0))
    assert found.limit is None
