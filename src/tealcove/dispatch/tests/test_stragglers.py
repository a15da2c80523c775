"""Tests of slow servers: less work, probes only, and recovery."""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.dispatch import fair, messages, servers
from tealcove.dispatch.tests import builders


def open_three() -> fair.FairScheduler:
    return builders.opened(*(builders.server(f"s{n}") for n in range(3)))


def slow_down(
    fair_scheduler: fair.FairScheduler, factor: float, now: ids.Instant
) -> None:
    """Complete requests on s0 that take `factor` times as long as expected."""
    for _ in range(15):
        builders.train(fair_scheduler, "s0", factor)
    fair_scheduler.tick(now)


def state(fair_scheduler: fair.FairScheduler) -> servers.ServerState:
    return fair_scheduler.state.fleet.servers["s0"]


def probes(
    fair_scheduler: fair.FairScheduler, now: ids.Instant, **changes: object
) -> list:
    """Enqueue tickets; return the grants of s0 and withdraw all others."""
    grants = builders.fill(fair_scheduler, 3, now, **changes)
    for grant in grants:
        if grant.server != "s0":
            fair_scheduler.withdraw(grant.ticket_id, now)
    return [grant for grant in grants if grant.server == "s0"]


def test_slow_server_gets_less_work() -> None:
    fair_scheduler = open_three()
    slow_down(fair_scheduler, 2.5, builders.instant(1))
    assert state(fair_scheduler).pace is servers.Pace.SLOW
    grants = builders.fill(fair_scheduler, 12, builders.instant(1))
    assert [grant.server for grant in grants].count("s0") == 1


def test_straggler_gets_only_probes_and_recovers() -> None:
    fair_scheduler = open_three()
    slow_down(fair_scheduler, 8.0, builders.instant(1))
    assert state(fair_scheduler).pace is servers.Pace.PROBED
    assert not probes(fair_scheduler, builders.instant(1.5))
    # A probe has to be short and idempotent.
    assert not probes(fair_scheduler, builders.instant(2.1), idempotent=False)
    assert not probes(fair_scheduler, builders.instant(2.1), output_tokens=1000)
    for seconds in (2.1, 4.1):
        now = builders.instant(seconds)
        (grant,) = probes(fair_scheduler, now)
        fair_scheduler.done(builders.done(grant), now)
        fair_scheduler.tick(now)
    assert state(fair_scheduler).pace is servers.Pace.NORMAL


def test_straggler_gets_no_work_between_probes() -> None:
    fair_scheduler = open_three()
    slow_down(fair_scheduler, 8.0, builders.instant(1))
    grants = builders.fill(fair_scheduler, 12, builders.instant(1.5))
    assert len(grants) == 8
    assert "s0" not in [grant.server for grant in grants]


def test_probe_interval_grows_while_server_stays_slow() -> None:
    fair_scheduler = open_three()
    slow_down(fair_scheduler, 8.0, builders.instant(1))
    granted = []
    for seconds in range(2, 34):
        now = builders.instant(seconds + 0.1)
        for grant in probes(fair_scheduler, now):
            granted.append(seconds)
            slow = builders.done(grant, first_token_seconds=0.2, total_seconds=8.0)
            fair_scheduler.done(slow, now)
        fair_scheduler.tick(now)
    assert granted == [2, 3, 5, 9, 17, 33]


def test_late_running_requests_reveal_a_frozen_server() -> None:
    """Requests are sent to a frozen server whose load reports look normal.

    An engine that stops computing during its requests isn't detected if its speed is
    estimated from completions and load reports only.
    """
    fair_scheduler = open_three()
    first = builders.fill(fair_scheduler, 3, builders.instant(1))
    for grant in first:
        if grant.server != "s0":
            fair_scheduler.done(builders.done(grant), builders.instant(2))
    builders.refresh_tickets(fair_scheduler, builders.instant(6))
    fair_scheduler.report("s0", builders.load(0), builders.instant(7))
    fair_scheduler.tick(builders.instant(7))
    assert state(fair_scheduler).pace is servers.Pace.PROBED
    grants = builders.fill(fair_scheduler, 4, builders.instant(7))
    assert "s0" not in [grant.server for grant in grants]


def test_timely_first_token_keeps_pace_normal() -> None:
    fair_scheduler = open_three()
    grants = builders.fill(fair_scheduler, 3, builders.instant(1), output_tokens=1000)
    for grant in grants:
        progress = messages.Progress(
            ticket_id=grant.ticket_id, cell=builders.CELL, first_token_seconds=0.02
        )
        fair_scheduler.progress(progress, builders.instant(1.1))
    fair_scheduler.tick(builders.instant(8))
    assert state(fair_scheduler).pace is servers.Pace.NORMAL


def test_one_late_completion_does_not_exclude_a_server() -> None:
    """The fastest server of a pool idles for ever, and requests run on slower ones.

    Its first completion is late by chance, the others' aren't. As its speed is
    estimated from that one alone, it is never chosen again.
    """
    fair_scheduler = fair.FairScheduler()
    specs = [builders.server(name, generation="") for name in ("s0", "s1")]
    fair_scheduler.configure(builders.cell(*specs), builders.instant(0))
    now = 0.0
    used = []
    for _ in range(300):
        ticket = builders.ticket(prompt_tokens=1, output_tokens=4, remaining=60.0)
        outgoing = fair_scheduler.enqueue(ticket, builders.instant(now))
        (grant,) = builders.granted(outgoing)
        step = 0.01 if grant.server == "s1" else 0.002 if "s0" in used else 0.1
        now += 4 * step
        used.append(grant.server)
        done = msgspec.structs.replace(
            builders.done(grant),
            output_tokens=4,
            first_token_seconds=step,
            total_seconds=4 * step,
        )
        fair_scheduler.done(done, builders.instant(now))
        fair_scheduler.tick(builders.instant(now))
    assert used.count("s0") > 100


def test_servers_without_a_generation_may_differ_by_design() -> None:
    fair_scheduler = builders.opened(
        *(builders.server(f"s{n}", generation="") for n in range(3))
    )
    for _ in range(300):
        builders.train(fair_scheduler, "s0", 4.0)
    fair_scheduler.tick(builders.instant(1))
    assert state(fair_scheduler).pace is servers.Pace.NORMAL
    slow_down(fair_scheduler, 20.0, builders.instant(2))
    assert state(fair_scheduler).pace is not servers.Pace.NORMAL
