"""Tests of servers that slow down when they are nearly full."""

from __future__ import annotations

import functools

import pytest

from tealcove import ids
from tealcove.dispatch import backendview, batchtimes, goal, messages
from tealcove.dispatch.tests import builders, loadsim

SLOTS = 5
# Relative time per token with one to five requests.
CURVE = (1.0, 1.0, 1.0, 1.3, 2.0)
# Above the pause between two tokens with four requests, and below that with five.
GAP = 0.015
SEEDS = (1, 2, 3)
NOW = builders.instant(1.0)


def taught(curve: tuple[float, ...] = CURVE, rounds: int = 60) -> batchtimes.BatchTimes:
    """Return what is learned from streams in batches of all sizes."""
    found = batchtimes.BatchTimes(SLOTS)
    server = batchtimes.ServerBatch(found)
    seconds = 0.02
    for _ in range(rounds):
        for size, ratio in enumerate(curve, start=1):
            seen = 0.01 * ratio
            server.learn(size, seen / seconds, 0.4)
            seconds += 0.4 * (seen - seconds)
    return found


def test_batch_sizes_are_told_apart():
    """A full server was predicted to be as fast as an idle one."""
    found = taught()
    assert found.differ
    assert found.ratio(5) / found.ratio(1) == pytest.approx(2.0, rel=0.2)
    assert found.ratio(4) / found.ratio(2) == pytest.approx(1.3, rel=0.2)


@pytest.mark.parametrize("curve", [(1.0,) * SLOTS, (1.0, 1.1, 1.15, 1.2, 1.3)])
def test_small_differences_change_nothing(curve: tuple[float, ...]) -> None:
    """Slow moments, in which batches grow, made large batches seem slow."""
    found = taught(curve)
    server = batchtimes.ServerBatch(found)
    assert not found.differ
    assert server.factor(SLOTS) == 1.0
    assert server.growth(SLOTS - 1) == 0.0


def test_a_size_that_was_not_seen_is_taken_for_the_next_smaller_one():
    """A full batch was predicted by the initial guess, as if it were the fastest."""
    found = taught(CURVE[:4])
    assert found.ratio(5) == found.ratio(4)


def opened(*running: int) -> goal.GoalScheduler:
    """Return a scheduler whose servers slow down, with so many streams on each."""
    found = goal.GoalScheduler()
    found.use_server_load()
    servers = [builders.server(f"s{place}", SLOTS) for place in range(len(running))]
    found.configure(builders.cell(*servers), builders.instant(0.0))
    found.views.loads.times[SLOTS].__dict__.update(taught().__dict__)
    for view, count in zip(found.views.servers.values(), running, strict=True):
        view.token_seconds = 0.01
        view.load.batch.usual = found.views.loads.times[SLOTS].ratio(1)
        for _ in range(count):
            add_stream(found, view)
    return found


def add_stream(found: goal.GoalScheduler, view: backendview.BackendView) -> None:
    """Let a stream run on a server that allows pauses of GAP."""
    ticket = builders.ticket(gap=GAP, output_tokens=1000)
    run = found.views.start(ticket, view, builders.instant(0.5))
    run.has_first_token = True


def chosen(found: goal.GoalScheduler, **changes: object) -> list[ids.BackendServerId]:
    """Return the servers of the grants to a new ticket."""
    ticket = builders.ticket(goal=0.5, **changes)
    return [one.server for one in builders.granted(found.enqueue(ticket, NOW))]


def test_a_request_that_would_break_others_gaps_goes_elsewhere():
    """The last slot of a fast server was filled, and four streams became too slow."""
    found = opened(4, 0)
    found.views.servers["s1"].token_seconds = 0.03
    # Nothing but the gaps of the running streams speaks for the slower server.
    found.views.servers["s0"].load.batch_growth = lambda running: 0.0
    assert chosen(found, output_tokens=10) == ["s0"]
    found = opened(4, 0)
    found.views.servers["s1"].token_seconds = 0.03
    assert chosen(found, output_tokens=10) == ["s1"]


def test_the_last_slot_is_used_if_no_other_server_can_take_a_request():
    """Requests waited, and were refused, while a slot was free."""
    assert chosen(opened(4, 5)) == ["s0"]


def test_streams_that_allow_any_pause_fill_all_slots():
    """Slots of servers whose streams allow any pause stayed empty."""
    found = opened(4, 0)
    for run in found.views.servers["s0"].runs.values():
        run.ticket = builders.ticket(gap=0.0)
        run.total = 0.2
    found.views.servers["s1"].token_seconds = 0.5
    assert chosen(found, output_tokens=10) == ["s0"]


def test_a_request_goes_where_it_delays_others_least():
    """A request that ended soonest itself held up four others for longer."""
    found = opened(3, 2)
    found.views.servers["s1"].token_seconds = 0.011
    assert chosen(found, output_tokens=10) == ["s1"]


def test_a_full_batch_is_predicted_to_end_later():
    """Ends were predicted for the usual batch, also of one that was about to fill."""
    found = opened(0, 4)
    empty, full = found.views.servers.values()
    ticket = builders.ticket()
    assert full.predict(ticket, 0.0, NOW).total > empty.predict(ticket, 0.0, NOW).total


def test_tokens_in_an_event_count_for_its_pause():
    """Events of many tokens were taken for as frequent as tokens."""
    ticket = messages.Ticket
    last_fields = ("event_tokens", "weight", "wants_copy", "copy_at")
    assert ticket.__struct_fields__[-4:] == last_fields
    found = opened(3, 0)
    found.views.servers["s1"].token_seconds = 0.02
    # With four requests a token takes .013 s, and an event of two more than GAP.
    assert chosen(found, gap=GAP, event_tokens=2, output_tokens=10) == ["s1"]


@functools.cache
def in_time(is_used: bool) -> int:
    """Return the requests in time, with all pauses allowed, of three runs."""
    cases = [
        loadsim.Case(
            seed=seed,
            goal=0.3,
            seconds=5.0,
            share=0.5,
            slowdown=CURVE,
            gap=GAP,
            is_used=is_used,
        )
        for seed in SEEDS
    ]
    return sum(loadsim.Simulation(case).play().in_time for case in cases)


def test_more_streams_keep_their_gaps_on_servers_that_slow_down():
    """Servers were filled one after the other, until all their streams were slow."""
    assert in_time(is_used=True) > 1.05 * in_time(is_used=False)
