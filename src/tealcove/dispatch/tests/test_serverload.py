"""Tests of the use of the load that servers state."""

from __future__ import annotations

import functools

import logbook
import pytest

from tealcove import ids
from tealcove.dispatch import goal, messages, serverload, timefactor
from tealcove.dispatch.tests import builders, loadsim

SLOW = 2.5
SEEDS = (1, 2, 3)
# Shorter than the usual first event times SLOW, so that slow moments miss it.
TIGHT_GOAL = 0.15


def opened(
    *names: str, slots: int = 5, is_used: bool = True, only_shared: bool = False
) -> goal.GoalScheduler:
    """Return a scheduler that uses what servers state."""
    found = goal.GoalScheduler()
    if is_used:
        found.use_server_load(only_shared)
    servers = [builders.server(name, slots) for name in names or ("s0", "s1")]
    found.configure(builders.cell(*servers), builders.instant(0.0))
    for place, view in enumerate(found.views.servers.values()):
        # Without statements, servers are chosen in this order.
        view.prefill.base += 0.001 * place
    return found


def grant_one(found: goal.GoalScheduler, at: float, **changes: object) -> list:
    """Return the grants to a new ticket."""
    ticket = builders.ticket(**changes)
    return builders.granted(found.enqueue(ticket, builders.instant(at)))


def load(factor: float | None, **changes: float) -> messages.StatedLoad:
    """Return a statement of one running request."""
    found = {"running": 1.0, "waiting": 0.0, "slots": 5.0, **changes}
    return messages.StatedLoad(time_factor=factor, **found)


def progress(
    found: goal.GoalScheduler, grant: messages.Grant, at: float, **changes: object
) -> list:
    """Report the first event of a request, as fast as it was predicted."""
    run = found.views.servers[grant.server].runs[grant.ticket_id]
    seconds = {"first_token_seconds": run.first, **changes}
    reported = messages.Progress(
        ticket_id=grant.ticket_id, cell=builders.CELL, **seconds
    )
    return found.progress(reported, builders.instant(at))


def state(
    found: goal.GoalScheduler, at: float, factor: float | None, **changes: float
) -> messages.Grant:
    """Let the first server answer a request, stating its load; return the grant."""
    (grant,) = grant_one(found, at - 0.01)
    assert grant.server == "s0"
    progress(found, grant, at, load=load(factor, **changes))
    return grant


def chosen(found: goal.GoalScheduler, at: float, **changes: object) -> str:
    """Return the server that a new request would get, and give the slot back."""
    (grant,) = grant_one(found, at, **changes)
    found.withdraw(grant.ticket_id, builders.instant(at))
    return grant.server


def test_a_slow_moment_moves_new_requests_at_once_and_for_its_time_only():
    """Requests kept coming to a server that said that it is slow at the moment."""
    found = opened()
    state(found, 1.0, SLOW)
    assert chosen(found, 1.0) == "s1"
    assert chosen(found, 1.2) == "s1"
    assert chosen(found, 1.0 + timefactor.FRESH_SECONDS) == "s0"


def test_statements_have_no_effect_unless_they_are_used():
    """The scheduler of an instance without the setting decided by statements."""
    found = opened(is_used=False)
    state(found, 1.0, SLOW, waiting=9.0)
    assert chosen(found, 1.0) == "s0"
    assert found.views.servers["s0"].free_slots(builders.instant(1.0)) == 4


def test_counts_alone_have_no_effect_where_only_shared_servers_count():
    """Guards against a change for services whose servers share no machines."""
    found = opened(only_shared=True)
    state(found, 0.0, None, running=5.0, waiting=3.0)
    (view, _) = found.views.servers.values()
    now = builders.instant(0.1)
    assert view.load.occupied(now) == 0
    assert not view.load.is_high(now)
    assert chosen(found, 0.2) == "s0"


def test_batch_sizes_are_learned_only_where_shared_servers_count():
    """Guards against forecasts that change for services that share no machines."""
    found = opened(only_shared=True)
    view = found.views.servers["s0"]
    for batch, ratio in ((1.0, 1.0), (5.0, 3.0)) * 50:
        view.load.learn_batch(batch, ratio, 0.0)
    assert not view.load.batch.times.differ
    assert view.load.batch_factor(5) == 1.0
    state(found, 0.0, SLOW)
    for batch, ratio in ((1.0, 1.0), (5.0, 3.0)) * 50:
        view.load.learn_batch(batch, ratio, 0.0)
    assert view.load.batch.times.differ


def test_a_time_factor_of_any_server_has_all_statements_used():
    """Guards against counts that stay unused where machines are shared."""
    found = opened(only_shared=True)
    state(found, 0.0, SLOW)
    assert chosen(found, 0.1) == "s1"
    other = found.views.servers["s1"].load
    other.record(load(None, running=5.0), builders.instant(0.3), ())
    assert other.occupied(builders.instant(0.35)) == 5


def test_an_old_statement_replaces_no_newer_one():
    """A message from a far instance revived a moment that was over."""
    found = opened()
    (late,) = grant_one(found, 0.8)
    state(found, 1.0, 1.0)
    progress(found, late, 1.05, load=load(SLOW), load_age=0.2)
    assert chosen(found, 1.05) == "s0"


def test_the_age_of_a_statement_counts_from_the_head():
    """A statement that took long to arrive had effect for too long."""
    found = opened()
    (grant,) = grant_one(found, 0.9)
    progress(found, grant, 1.0, load=load(SLOW), load_age=0.5)
    assert chosen(found, 1.0) == "s1"
    assert chosen(found, 1.11) == "s0"


def test_the_end_of_a_request_carries_the_load_too():
    """Calls have no first event, so that nothing was heard of their servers."""
    found = opened()
    (grant,) = grant_one(found, 0.9)
    ended = builders.done(grant, total_seconds=0.05, load=load(SLOW))
    found.done(ended, builders.instant(1.0))
    assert chosen(found, 1.0) == "s1"


def test_without_a_fourth_figure_work_takes_its_usual_time():
    """Servers that state counts only were taken for slow, or for fast."""
    found = opened()
    state(found, 1.0, None)
    assert found.views.servers["s0"].load.factor(builders.instant(1.0)) == 1.0
    assert chosen(found, 1.0) == "s0"


def test_first_events_and_ends_are_predicted_by_the_statement():
    """Work in a slow moment was predicted to be as fast as ever."""
    found = opened()
    view = found.views.servers["s0"]
    ticket = builders.ticket()
    state(found, 1.0, SLOW)
    after = builders.instant(1.0 + timefactor.FRESH_SECONDS)
    usual = view.predict(ticket, 0.0, after)
    assert usual.first == view.first_seconds(ticket, 0.0)
    slow = view.predict(ticket, 0.0, builders.instant(1.0))
    assert slow.first == pytest.approx(usual.first * SLOW, rel=0.1)
    assert usual.total < slow.total < usual.total * SLOW


def test_running_requests_end_later_in_a_slow_moment():
    """The forecast of the line promised slots that were still in use."""
    found = opened()
    view = found.views.servers["s0"]
    grant = state(found, 1.0, 1.0)
    runs = [view.runs[grant.ticket_id]]
    (before,) = view.load.ends(runs, 1, builders.instant(1.1))
    (second,) = grant_one(found, 1.09)
    progress(found, second, 1.1, load=load(SLOW, running=2.0))
    (after,) = view.load.ends(runs, 1, builders.instant(1.1))
    assert after > before + 0.1


def test_a_stream_is_slow_for_the_rest_of_the_moment_only():
    """Streams of many seconds were refused since a server was slow for a moment."""
    assert timefactor.stretched(0.1, 1 / SLOW, 0.0) == pytest.approx(0.2)
    assert timefactor.stretched(10.0, 1 / SLOW, 0.0) < 10.2
    assert timefactor.stretched(1.0, 2.0, 0.0) < 1.0


@pytest.mark.parametrize("age", [0.0, 0.3, 0.59])
@pytest.mark.parametrize("speed", [0.1, 0.4, 1.2, 10.0])
def test_the_work_done_in_a_predicted_time_is_the_work_that_was_asked(
    age: float, speed: float
) -> None:
    """Ends of running requests didn't agree with the predictions at their starts."""
    for seconds in (0.01, 0.2, 3.0):
        took = timefactor.stretched(seconds, speed, age)
        done = timefactor.work_between(speed, age, age + took)
        assert done == pytest.approx(seconds)


def test_a_server_that_always_states_the_same_is_predicted_as_it_was_measured():
    """Once its statement had expired, a slow server was taken for a fast one."""
    found = timefactor.TimeFactor()
    for number in range(400):
        found.record(SLOW, number * 0.1)
    now = ids.Instant(40.0)
    assert found.usual == pytest.approx(SLOW, rel=0.03)
    assert found.stretch(1.0, now) == pytest.approx(1.0, rel=0.03)


def test_a_first_statement_after_a_long_pause_is_no_usual_factor():
    """A slow moment after a quiet minute was taken for the server's usual speed."""
    found = timefactor.TimeFactor()
    found.record(1.0, 0.0)
    found.record(SLOW, 60.0)
    assert found.present(ids.Instant(60.0)) > 2.0


@pytest.mark.parametrize("factor", [0.0, 1e-300, 1e-9, 100.0])
def test_an_absurd_factor_that_never_ends_fails_no_decision(factor: float) -> None:
    """A factor of 0 made a server's speed infinite, and decisions failed."""
    found = timefactor.TimeFactor()
    for number in range(20_000):
        found.record(factor, number * 1.0)
    now = ids.Instant(19_999.0)
    assert 0.0 < found.stretch(1.0, now) < 100.0
    assert 0.0 < found.present(now) < 100.0


def learned(is_used: bool, has_slow_moments: bool) -> tuple[float, float]:
    """Return the seconds to a first event and end, right after a slow moment.

    They are learned from forty requests, of which every tenth is slow.
    """
    found = opened("s0", is_used=is_used)
    for number in range(40):
        at = 1.0 + number
        factor = SLOW if has_slow_moments and number % 10 == 9 else 1.0
        (grant,) = grant_one(found, at)
        first = 0.1 * factor
        stated = load(factor)
        progress(found, grant, at + first, first_token_seconds=first, load=stated)
        ended = builders.done(
            grant, first_token_seconds=first, total_seconds=first + 0.4 * factor
        )
        found.done(ended, builders.instant(at + first + 0.4 * factor))
    view = found.views.servers["s0"]
    # The server states that it is as fast as normal again.
    now = builders.instant(60.0)
    view.load.record(load(1.0), now, ())
    return tuple(view.predict(builders.ticket(), 0.0, now))


def test_learned_speeds_are_not_spoiled_by_slow_moments():
    """Each slow moment made its server count as slow long after it was over."""
    usual = learned(is_used=True, has_slow_moments=False)
    kept = learned(is_used=True, has_slow_moments=True)
    spoiled = learned(is_used=False, has_slow_moments=True)
    for sound, found, without in zip(usual, kept, spoiled, strict=True):
        assert found == pytest.approx(sound, rel=0.1)
        assert without > 1.2 * sound


def test_a_false_claim_of_speed_does_not_make_a_server_seem_far_slower():
    """Requests were refused while servers stated falsely that they were fast.

    Measured times are divided by the stated factor. Once a statement had expired, a
    server that had stated a fifth was predicted to take up to five times as long as it
    did, and no request with a near deadline was sent to it.
    """
    found = opened("s0")
    for number in range(10):
        at = 1.0 + 0.7 * number
        (grant,) = grant_one(found, at)
        stated = load(0.2)
        progress(found, grant, at + 0.1, first_token_seconds=0.1, load=stated)
        ended = builders.done(grant, first_token_seconds=0.1, total_seconds=0.5)
        found.done(ended, builders.instant(at + 0.5))
    view = found.views.servers["s0"]
    # The last statement has expired.
    predicted = view.predict(builders.ticket(), 0.0, builders.instant(60.0))
    assert 0.1 <= predicted.first <= 0.25
    assert 0.5 <= predicted.total <= 1.25


def test_requests_of_others_occupy_slots_while_the_statement_is_fresh():
    """Requests queued inside servers that others had filled."""
    found = opened("s0")
    view = found.views.servers["s0"]
    state(found, 1.0, None, running=4.0, waiting=0.0)
    assert view.free_slots(builders.instant(1.0)) == 1
    assert view.free_slots(builders.instant(1.59)) == 1
    assert view.free_slots(builders.instant(1.6)) == 4


def test_own_requests_are_not_counted_twice():
    """A server's count included the dispatcher's own requests, which it counts too."""
    found = opened("s0")
    view = found.views.servers["s0"]
    first = state(found, 1.0, None, running=1.0)
    (second,) = grant_one(found, 1.1)
    # Both ran when the head was sent; the first has ended since.
    found.done(builders.done(first), builders.instant(1.2))
    progress(found, second, 1.25, load=load(None, running=2.0), load_age=0.1)
    assert view.free_slots(builders.instant(1.25)) == 4
    # One that was granted after the head was sent isn't in it.
    (third,) = grant_one(found, 1.3)
    (fourth,) = grant_one(found, 1.39)
    progress(found, third, 1.4, load=load(None, running=2.0), load_age=0.05)
    assert view.free_slots(builders.instant(1.4)) == 2
    assert fourth.ticket_id in view.runs


def test_a_count_that_ignores_the_requests_sent_is_not_believed():
    """A server that always stated full slots got a fifth of its requests."""
    found = opened("s0")
    view = found.views.servers["s0"]
    with logbook.TestHandler() as lines:
        for number in range(4):
            at = 1.0 + number
            grants = builders.fill(found, 5 if number % 2 else 1, builders.instant(at))
            progress(found, grants[0], at + 0.1, load=load(None, running=5.0))
            # Believed at first, so that others seem to have four of the slots.
            free = view.free_slots(builders.instant(at + 0.1))
            assert free == (0 if number in (0, 1, 3) else 4)
            for grant in grants:
                found.done(builders.done(grant), builders.instant(at + 0.5))
    false = [line for line in lines.formatted_records if "are false" in line]
    assert len(false) == 1


@pytest.mark.parametrize("changes", [{"urgency": 0}, {"urgency": 2}])
def test_urgent_requests_avoid_a_loaded_server_that_ends_soonest(
    changes: dict[str, int],
) -> None:
    """Urgent requests went behind those that already waited inside a server."""
    found = opened()
    found.views.servers["s1"].token_seconds *= 1.5
    state(found, 1.0, None, waiting=1.0)
    is_urgent = changes["urgency"] == 0
    expected = "s1" if is_urgent else "s0"
    assert chosen(found, 1.0, goal=0.5, **changes) == expected


def test_a_loaded_server_is_used_if_no_other_meets_the_goal():
    """An urgent request waited although one server could serve it in time."""
    found = opened()
    found.views.servers["s1"].prefill.base = 0.4
    state(found, 1.0, None, waiting=1.0)
    assert chosen(found, 1.0, goal=0.2, urgency=0) == "s0"


def test_a_long_request_avoids_a_loaded_server():
    """Long streams were put where others waited, and held up for all their length."""
    found = opened()
    found.views.servers["s1"].token_seconds *= 1.5
    state(found, 1.0, None, waiting=1.0)
    assert chosen(found, 1.0, goal=0.5, urgency=2, output_tokens=1000) == "s1"


def test_a_stream_avoids_a_server_whose_pauses_are_too_long_at_the_moment():
    """Streams began on the server that ends soonest, and exceeded their gap there."""
    found = opened()
    found.views.servers["s1"].token_seconds *= 1.8
    state(found, 1.0, 2.0)
    pause = found.views.servers["s0"].token_seconds
    stream = {"goal": 0.5, "urgency": 1, "output_tokens": 200}
    assert chosen(found, 1.0, **stream) == "s0"
    assert chosen(found, 1.0, gap=1.9 * pause, **stream) == "s1"
    # Both servers usually miss this one, so that nothing is gained by avoiding either.
    assert chosen(found, 1.0, gap=0.9 * pause, **stream) == "s0"


def test_a_new_start_begins_without_statements():
    """The load of an earlier start of a server kept requests from its next one."""
    found = opened("s0")
    state(found, 1.0, SLOW, running=5.0)
    spec = builders.server("s0", 5, start=ids.ServerStart(2))
    found.configure(builders.cell(spec), builders.instant(1.1))
    view = found.views.servers["s0"]
    assert view.free_slots(builders.instant(1.1)) == 5
    assert view.load.factor(builders.instant(1.1)) == 1.0


def test_false_factors_lose_their_weight_and_regain_it():
    """A server that stated the opposite of its speed was sent requests by it."""
    found = serverload.StatedLoads().of_server(ids.BackendServerId("s0"), 5)
    with logbook.TestHandler() as lines:
        for number in range(60):
            is_slow = number % 5 == 0
            found.record_first(0.1, 0.1 if is_slow else 0.25, 0.25 if is_slow else 0.1)
        assert found.time.weight == 0.0
        for number in range(600):
            seconds = 0.25 if number % 5 == 0 else 0.1
            found.record_first(0.1, seconds, seconds)
        assert found.time.weight == 1.0
    lines = [line for line in lines.formatted_records if "time factors" in line]
    assert ["false" in line for line in lines] == [True, False]


@functools.cache
def in_time(
    stating: loadsim.Stating, is_used: bool, learns_batches: bool = True
) -> tuple[int, ...]:
    """Return the requests in time of one run for each seed."""
    cases = [
        loadsim.Case(
            stating=stating,
            seed=seed,
            goal=TIGHT_GOAL,
            seconds=6.0,
            is_used=is_used,
            learns_batches=learns_batches,
        )
        for seed in SEEDS
    ]
    return tuple(loadsim.Simulation(case).play().in_time for case in cases)


def test_more_requests_are_in_time_with_statements():
    """At .8 of the capacity, a sixth missed their goals on servers in slow moments."""
    without = in_time(loadsim.Stating.TRULY, is_used=False)
    used = in_time(loadsim.Stating.TRULY, is_used=True)
    assert all(a > 1.05 * b for a, b in zip(used, without, strict=True))


def test_as_many_requests_are_in_time_where_nothing_is_stated():
    """The use of statements changed decisions on servers that make none."""
    without = in_time(loadsim.Stating.TRULY, is_used=False)
    used = in_time(loadsim.Stating.NOTHING, is_used=True, learns_batches=False)
    assert used == without
    # What is learned of batch sizes doesn't depend on statements.
    learning = in_time(loadsim.Stating.NOTHING, is_used=True)
    assert sum(learning) >= 0.99 * sum(without)


@pytest.mark.parametrize(
    "stating",
    [loadsim.Stating.INVERTED, loadsim.Stating.CONSTANT, loadsim.Stating.LATE],
)
def test_false_statements_cost_no_more_than_a_hundredth(
    stating: loadsim.Stating,
) -> None:
    """Requests followed statements that were false, and missed their goals."""
    without = sum(in_time(loadsim.Stating.TRULY, is_used=False))
    assert sum(in_time(stating, is_used=True)) >= 0.99 * without
