"""Which server a ticket gets, by learnt speed, cache, deadline and length."""

from __future__ import annotations

import pytest

from tealcove import ids
from tealcove.backends import engine
from tealcove.dispatch import fair, line, messages, servers, speeds
from tealcove.dispatch.tests import builders

NOW = builders.instant(1)
PREFIX = tuple(range(1, 33))


def open_servers(*factors: float, **changes: object) -> fair.FairScheduler:
    """Return a scheduler of servers that differ in speed by design."""
    specs = [
        builders.server(f"s{n}", generation=f"g{n}", **changes)
        for n in range(len(factors))
    ]
    found = builders.opened(*specs)
    for spec, factor in zip(specs, factors, strict=True):
        for _ in range(20):
            builders.train(found, spec.name, factor)
    return found


def servers_of(grants: list[messages.Grant]) -> list[str]:
    return [grant.server for grant in grants]


def test_the_server_that_ends_soonest_is_taken() -> None:
    found = open_servers(3.0, 1.0, 2.0, slots=1)
    assert servers_of(builders.fill(found, 3, NOW)) == ["s1", "s2", "s0"]


def test_work_that_a_free_server_can_t_end_in_time_waits_for_a_faster_one() -> None:
    found = open_servers(1.0, 10.0, slots=1)
    first = builders.fill(found, 1, NOW)[0]
    ticket = builders.ticket(remaining=4)
    assert not builders.granted(found.enqueue(ticket, NOW))
    freed = builders.granted(found.done(builders.done(first), builders.instant(2)))
    assert servers_of(freed) == ["s0"]


def test_excluded_servers_are_left_out() -> None:
    found = open_servers(1.0, 2.0)
    assert servers_of(builders.fill(found, 1, NOW, excluded=("s0",))) == ["s1"]


def test_a_cached_prefix_outweighs_a_slower_server() -> None:
    found = open_servers(1.0, 1.2)
    long = {"prompt_tokens": 32 * 64, "output_tokens": 10, "prefix": PREFIX}
    assert servers_of(builders.fill(found, 1, NOW, **long)) == ["s0"]
    events = engine.CacheEvents((engine.CacheEvent(1, "stored", PREFIX),), 1)
    found.cached("s1", events, NOW)
    gone = engine.CacheEvents((engine.CacheEvent(1, "removed", PREFIX),), 1)
    found.cached("s0", gone, NOW)
    assert servers_of(builders.fill(found, 1, NOW, **long)) == ["s1"]
    assert found.last_event("s1") == 1


def test_a_share_of_slots_stays_open_to_short_work() -> None:
    found = open_servers(1.0, slots=8)
    long = builders.fill(found, 8, NOW, output_tokens=1000)
    assert len(long) == 6
    assert len(builders.fill(found, 8, NOW, output_tokens=100)) == 2


def test_less_is_kept_for_short_work_that_doesn_t_come() -> None:
    found = open_servers(1.0, slots=8)
    for tenths in range(20, 400):
        found.tick(builders.instant(tenths / 10))
    now = builders.instant(40)
    assert len(builders.fill(found, 8, now, output_tokens=1000)) == 7
    assert len(builders.fill(found, 8, now, output_tokens=100)) == 1
    # A line of short requests gets more, once slots fall free.
    for _ in range(40):
        found.enqueue(builders.ticket(), now)
        now = ids.Instant(now + 0.25)
        found.tick(now)
    assert found.state.fleet.servers["s0"].kept_short == 2


def test_a_long_prompt_that_is_cached_is_short_work() -> None:
    found = open_servers(1.0, slots=4)
    found.state.fleet.servers["s0"].index.record_grant(PREFIX)
    cached = {"prompt_tokens": 32 * 64, "output_tokens": 100, "prefix": PREFIX}
    assert len(builders.fill(found, 4, NOW, **cached)) == 4


def test_speed_is_learnt_by_prompt_tokens_and_batch_size() -> None:
    speed = speeds.default()
    for round_number in range(60):
        uncached, others = (200, 0) if round_number % 2 else (2000, 7)
        step = 0.02 * (1 + 0.05 * others)
        first = uncached * 0.0005
        speed.observe(uncached, 101, others, first, first + 100 * step)
    assert speed.predict(1000, 101, 3) == pytest.approx(0.5 + 100 * 0.023, rel=0.02)


def test_a_new_server_is_predicted_by_its_generation_s_median() -> None:
    specs = [builders.server(f"s{n}") for n in range(4)]
    found = builders.opened(*specs[:3])
    found.configure(builders.cell(*specs), NOW)
    states = found.state.fleet.servers
    ticket = builders.ticket()
    known, new = states["s0"].seconds(ticket, 0), states["s3"].seconds(ticket, 0)
    assert new == pytest.approx(known, rel=0.01)


def test_an_unknown_server_is_tried_although_it_may_be_slow() -> None:
    """A fleet refuses all work for deadlines that it could have met.

    Events: nothing has been observed yet. Cause: the prior was slower than the
    servers, so nothing was granted, and nothing learnt.
    """
    found = fair.FairScheduler()
    found.configure(builders.cell(builders.server("s0", generation="")), NOW)
    assert len(builders.fill(found, 1, NOW, remaining=1.0)) == 1


def test_noise_at_one_place_doesn_t_tilt_a_line() -> None:
    found = line.Line.start(1.0, 0.01, 1000.0)
    for number in range(500):
        found.observe(100 + number % 3, 2.0 + 0.1 * (number % 2))
    assert found.at(1000) == pytest.approx(2.05 + 9.0, rel=0.1)


def test_an_estimate_is_never_below_zero() -> None:
    found = line.Line.start(0.0, 0.0, 10.0)
    for x, y in ((0.0, 0.0), (5.0, 0.1), (10.0, 5.0), (2.0, 0.0)):
        found.observe(x, y)
        assert found.intercept >= 0 and found.slope >= 0
    assert servers.Pace.NORMAL is servers.ServerState(builders.server("s")).pace
