"""Tests of the choice of a server by speed, cache, deadline and length."""

from __future__ import annotations

import pytest

from tealcove import ids
from tealcove.backends import engine
from tealcove.dispatch import fair, messages, regression, servers, speeds
from tealcove.dispatch.tests import builders

NOW = builders.instant(1)
PREFIX = tuple(range(1, 33))


def open_servers(*factors: float, **changes: object) -> fair.FairScheduler:
    """Return a scheduler of servers that differ in speed by design."""
    specs = [
        builders.server(f"s{n}", generation=f"g{n}", **changes)
        for n in range(len(factors))
    ]
    fair_scheduler = builders.opened(*specs)
    for spec, factor in zip(specs, factors, strict=True):
        for _ in range(20):
            builders.train(fair_scheduler, spec.name, factor)
    return fair_scheduler


def servers_of(grants: list[messages.Grant]) -> list[str]:
    return [grant.server for grant in grants]


def test_server_with_earliest_end_is_chosen() -> None:
    fair_scheduler = open_servers(3.0, 1.0, 2.0, slots=1)
    assert servers_of(builders.fill(fair_scheduler, 3, NOW)) == ["s1", "s2", "s0"]


def test_ticket_waits_if_free_server_is_too_slow() -> None:
    fair_scheduler = open_servers(1.0, 10.0, slots=1)
    first = builders.fill(fair_scheduler, 1, NOW)[0]
    ticket = builders.ticket(remaining=4)
    assert not builders.granted(fair_scheduler.enqueue(ticket, NOW))
    freed = builders.granted(
        fair_scheduler.done(builders.done(first), builders.instant(2))
    )
    assert servers_of(freed) == ["s0"]


def test_excluded_servers_are_not_chosen() -> None:
    fair_scheduler = open_servers(1.0, 2.0)
    assert servers_of(builders.fill(fair_scheduler, 1, NOW, excluded=("s0",))) == ["s1"]


def test_a_cached_prefix_outweighs_a_slower_server() -> None:
    fair_scheduler = open_servers(1.0, 1.2)
    long = {"prompt_tokens": 32 * 64, "output_tokens": 10, "prefix": PREFIX}
    assert servers_of(builders.fill(fair_scheduler, 1, NOW, **long)) == ["s0"]
    events = engine.CacheEvents((engine.CacheEvent(1, "stored", PREFIX),), 1)
    fair_scheduler.cached("s1", events, NOW)
    gone = engine.CacheEvents((engine.CacheEvent(1, "removed", PREFIX),), 1)
    fair_scheduler.cached("s0", gone, NOW)
    assert servers_of(builders.fill(fair_scheduler, 1, NOW, **long)) == ["s1"]
    assert fair_scheduler.last_event("s1") == 1


def test_share_of_slots_is_reserved_for_short_work() -> None:
    fair_scheduler = open_servers(1.0, slots=8)
    long = builders.fill(fair_scheduler, 8, NOW, output_tokens=1000)
    assert len(long) == 6
    assert len(builders.fill(fair_scheduler, 8, NOW, output_tokens=100)) == 2


def test_short_reservation_shrinks_without_short_work() -> None:
    fair_scheduler = open_servers(1.0, slots=8)
    for tenths in range(20, 400):
        fair_scheduler.tick(builders.instant(tenths / 10))
    now = builders.instant(40)
    assert len(builders.fill(fair_scheduler, 8, now, output_tokens=1000)) == 7
    assert len(builders.fill(fair_scheduler, 8, now, output_tokens=100)) == 1
    # Queued short requests enlarge the reservation.
    for _ in range(40):
        fair_scheduler.enqueue(builders.ticket(), now)
        now = ids.Instant(now + 0.25)
        fair_scheduler.tick(now)
    assert fair_scheduler.state.fleet.servers["s0"].reserved_short == 2


def test_cached_long_prompt_is_short_work() -> None:
    fair_scheduler = open_servers(1.0, slots=4)
    fair_scheduler.state.fleet.servers["s0"].index.record_grant(PREFIX)
    cached = {"prompt_tokens": 32 * 64, "output_tokens": 100, "prefix": PREFIX}
    assert len(builders.fill(fair_scheduler, 4, NOW, **cached)) == 4


def test_speed_is_estimated_by_prompt_tokens_and_batch_size() -> None:
    speed = speeds.default()
    for round_number in range(60):
        uncached, others = (200, 0) if round_number % 2 else (2000, 7)
        step = 0.02 * (1 + 0.05 * others)
        first = uncached * 0.0005
        speed.observe(uncached, 101, others, first, first + 100 * step)
    assert speed.predict(1000, 101, 3) == pytest.approx(0.5 + 100 * 0.023, rel=0.02)


def test_new_server_is_predicted_by_generation_median() -> None:
    specs = [builders.server(f"s{n}") for n in range(4)]
    fair_scheduler = builders.opened(*specs[:3])
    fair_scheduler.configure(builders.cell(*specs), NOW)
    states = fair_scheduler.state.fleet.servers
    ticket = builders.ticket()
    known, new = (
        states["s0"].predict_total(ticket, 0),
        states["s3"].predict_total(ticket, 0),
    )
    assert new == pytest.approx(known, rel=0.01)


def test_unknown_server_is_assumed_fast() -> None:
    """An idle fleet refuses all requests, although it could meet their deadlines.

    Without observations, a prior slower than the servers lets nothing be granted, and
    so nothing be observed.
    """
    fair_scheduler = fair.FairScheduler()
    fair_scheduler.configure(builders.cell(builders.server("s0", generation="")), NOW)
    assert len(builders.fill(fair_scheduler, 1, NOW, remaining=1.0)) == 1


def test_noise_at_one_x_does_not_change_slope() -> None:
    regressed = regression.LinearRegression.from_prior(1.0, 0.01, 1000.0)
    for number in range(500):
        regressed.observe(100 + number % 3, 2.0 + 0.1 * (number % 2))
    assert regressed.value_at(1000) == pytest.approx(2.05 + 9.0, rel=0.1)


def test_regression_is_never_below_zero() -> None:
    regressed = regression.LinearRegression.from_prior(0.0, 0.0, 10.0)
    for x, y in ((0.0, 0.0), (5.0, 0.1), (10.0, 5.0), (2.0, 0.0)):
        regressed.observe(x, y)
        assert regressed.intercept >= 0 and regressed.slope >= 0
    assert servers.Pace.NORMAL is servers.ServerState(builders.server("s")).pace
