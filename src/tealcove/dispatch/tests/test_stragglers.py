"""Servers that slow down: less work, then probes only, and the way back."""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.dispatch import fair, messages, servers
from tealcove.dispatch.tests import builders


def open_three() -> fair.FairScheduler:
    return builders.opened(*(builders.server(f"s{n}") for n in range(3)))


def slow_down(found: fair.FairScheduler, factor: float, now: ids.Instant) -> None:
    """Let s0 complete requests of which it takes `factor` times as long."""
    for _ in range(15):
        builders.train(found, "s0", factor)
    found.tick(now)


def state(found: fair.FairScheduler) -> servers.ServerState:
    return found.state.fleet.servers["s0"]


def probes(found: fair.FairScheduler, now: ids.Instant, **changes: object) -> list:
    """Offer tickets; return the grants of s0, and take back all others."""
    grants = builders.fill(found, 3, now, **changes)
    for grant in grants:
        if grant.server != "s0":
            found.withdraw(grant.ticket_id, now)
    return [grant for grant in grants if grant.server == "s0"]


def test_a_slower_server_gets_less_work() -> None:
    found = open_three()
    slow_down(found, 2.5, builders.instant(1))
    assert state(found).pace is servers.Pace.SLOW
    grants = builders.fill(found, 12, builders.instant(1))
    assert [grant.server for grant in grants].count("s0") == 1


def test_a_straggler_gets_probes_only_and_comes_back() -> None:
    found = open_three()
    slow_down(found, 8.0, builders.instant(1))
    assert state(found).pace is servers.Pace.PROBED
    assert not probes(found, builders.instant(1.5))
    # A probe is short work that may be lost.
    assert not probes(found, builders.instant(2.1), idempotent=False)
    assert not probes(found, builders.instant(2.1), output_tokens=1000)
    for seconds in (2.1, 4.1):
        now = builders.instant(seconds)
        (grant,) = probes(found, now)
        found.done(builders.done(grant), now)
        found.tick(now)
    assert state(found).pace is servers.Pace.NORMAL


def test_a_straggler_gets_nothing_between_probes() -> None:
    found = open_three()
    slow_down(found, 8.0, builders.instant(1))
    grants = builders.fill(found, 12, builders.instant(1.5))
    assert len(grants) == 8
    assert "s0" not in [grant.server for grant in grants]


def test_probes_of_a_server_that_stays_slow_become_rarer() -> None:
    found = open_three()
    slow_down(found, 8.0, builders.instant(1))
    granted = []
    for seconds in range(2, 34):
        now = builders.instant(seconds + 0.1)
        for grant in probes(found, now):
            granted.append(seconds)
            slow = builders.done(grant, first_token_seconds=0.2, total_seconds=8.0)
            found.done(slow, now)
        found.tick(now)
    assert granted == [2, 3, 5, 9, 17, 33]


def test_late_running_work_tells_before_any_completion() -> None:
    """Requests are sent to a server that has frozen, and its load report is fine.

    Events: an engine stops computing in the middle of its requests. Cause: its
    speed was judged from completions and load reports only.
    """
    found = open_three()
    first = builders.fill(found, 3, builders.instant(1))
    for grant in first:
        if grant.server != "s0":
            found.done(builders.done(grant), builders.instant(2))
    builders.refresh_tickets(found, builders.instant(6))
    found.report("s0", builders.load(0), builders.instant(7))
    found.tick(builders.instant(7))
    assert state(found).pace is servers.Pace.PROBED
    grants = builders.fill(found, 4, builders.instant(7))
    assert "s0" not in [grant.server for grant in grants]


def test_a_first_token_in_time_tells_that_the_prefill_went_well() -> None:
    found = open_three()
    grants = builders.fill(found, 3, builders.instant(1), output_tokens=1000)
    for grant in grants:
        progress = messages.Progress(
            ticket_id=grant.ticket_id, cell=builders.CELL, first_token_seconds=0.02
        )
        found.progress(progress, builders.instant(1.1))
    found.tick(builders.instant(8))
    assert state(found).pace is servers.Pace.NORMAL


def test_one_late_completion_does_not_shut_a_server_out() -> None:
    """The fastest server of a pool idles for good.

    Symptom: requests take as long as the slowest server does, while another one gets
    nothing. Sequence: the fast server's first completion is late by chance; the
    others' aren't. Cause: its speed was learnt from that one, and never again.
    """
    found = fair.FairScheduler()
    specs = [builders.server(name, generation="") for name in ("s0", "s1")]
    found.configure(builders.cell(*specs), builders.instant(0))
    now = 0.0
    used = []
    for _ in range(300):
        ticket = builders.ticket(prompt_tokens=1, output_tokens=4, remaining=60.0)
        outgoing = found.enqueue(ticket, builders.instant(now))
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
        found.done(done, builders.instant(now))
        found.tick(builders.instant(now))
    assert used.count("s0") > 100


def test_servers_without_a_generation_may_differ_by_design() -> None:
    found = builders.opened(
        *(builders.server(f"s{n}", generation="") for n in range(3))
    )
    for _ in range(300):
        builders.train(found, "s0", 4.0)
    found.tick(builders.instant(1))
    assert state(found).pace is servers.Pace.NORMAL
    slow_down(found, 20.0, builders.instant(2))
    assert state(found).pace is not servers.Pace.NORMAL
