"""Tests of servers that slow down when they are nearly full."""

from __future__ import annotations

import functools

import pytest

from tealcove import ids
from tealcove.dispatch import backendview, batchtimes, goal, messages, waitingline
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
    teach(found)
    for view, count in zip(found.views.servers.values(), running, strict=True):
        for _ in range(count):
            add_stream(found, view)
    return found


def teach(found: goal.GoalScheduler) -> None:
    """Let a scheduler know the curve of its servers, and their speed when idle."""
    times = found.views.loads.times[SLOTS]
    times.__dict__.update(taught().__dict__)
    for view in found.views.servers.values():
        view.token_seconds = 0.01
        view.load.batch.usual = times.ratio(1)


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


class Burst(loadsim.Simulation):
    """Two sound servers with a known curve, and a burst of requests for them."""

    def __init__(self, count: int, deadline: float) -> None:
        # The goal is never missed, so that deadlines alone decide.
        case = loadsim.Case(
            stating=loadsim.Stating.NOTHING,
            speeds=(1.0, 1.0),
            goal=deadline,
            slowdown=CURVE,
        )
        super().__init__(case)
        self.count = count
        self.deadline = deadline
        self.refused_at: list[float] = []
        teach(self.scheduler)
        for view in self.scheduler.views.servers.values():
            view.prefill.base = loadsim.FIRST_SECONDS

    def play(self) -> loadsim.Result:
        """Play the burst to its end."""
        for _ in range(self.count):
            self.arrive(0.0, self.deadline)
        at = 0.0
        while self.arrived:
            at += loadsim.STEP_SECONDS
            for name in self.names:
                self.factors[name].append(1.0)
                self.advance(name, 1.0, at)
            self.apply(self.scheduler.tick(builders.instant(at)), at)
        return self.result

    def apply(self, outgoing: list, at: float) -> None:
        """Record when requests are refused."""
        self.refused_at += [at] * len(builders.refused(outgoing))
        super().apply(outgoing, at)


# Three waves of ten requests of 0.9 s each can end within it, or five of 0.5 s.
BURST_DEADLINE = 3.0


def test_tickets_that_full_servers_cant_serve_are_refused_at_once():
    """Guards against callers who wait for servers that are slow when they are full.

    Predicted by the batch that servers usually have, all tickets seemed to start in
    time; ten of them were refused once that had proved wrong.
    """
    burst = Burst(40, BURST_DEADLINE)
    found = burst.play()
    assert (found.in_time, found.refused) == (30, 10)
    # Before any slot is released.
    assert max(burst.refused_at) < loadsim.FIRST_SECONDS + loadsim.STREAM_SECONDS


def test_tickets_that_full_servers_can_serve_are_kept():
    """Guards against refusals by a forecast that takes servers for too slow."""
    burst = Burst(30, BURST_DEADLINE)
    found = burst.play()
    assert (found.in_time, found.refused) == (30, 0)


def test_running_streams_end_later_on_a_server_that_fills_up():
    """Guards against ends that are predicted by the batch at the start of a stream."""
    found = opened(1)
    (view,) = found.views.servers.values()
    (run,) = view.runs.values()
    view.learn_first_token(run, 0.1, builders.instant(0.5))
    (alone,) = view.load.ends([run], 1, NOW)
    for _ in range(4):
        add_stream(found, view)
    # All five run for most of the time, and each token takes twice as long.
    (full,) = view.load.ends([run], 5, NOW)
    assert full - NOW == pytest.approx(2.0 * (alone - NOW), rel=0.2)
    (after,) = view.load.ends([run], 5, builders.instant(3.0))
    assert after == pytest.approx(full)


def test_an_adopted_stream_comes_to_its_end():
    """Guards against streams that seem to last since their first event isn't known.

    It was told to the former dispatcher. The slot of such a stream would seem to be
    released later and later.
    """
    found = opened(1)
    (view,) = found.views.servers.values()
    (run,) = view.runs.values()
    run.is_adopted = True
    (now,) = view.load.ends([run], 1, NOW)
    (later,) = view.load.ends([run], 1, builders.instant(3.0))
    assert later == pytest.approx(now)


def test_a_free_slot_is_forecast_for_the_batch_that_it_leads_to():
    """Guards against tickets that are taken for slow since other slots are free."""
    found = opened(2)
    releases = waitingline.slot_releases(found.views.servers.values(), NOW)
    assert [one.batch for one in releases] == [3, 4, 5, 5, 5]
    (view,) = found.views.servers.values()
    ticket = builders.ticket()
    assert view.slot_seconds(ticket, 3) < view.slot_seconds(ticket, 5)
