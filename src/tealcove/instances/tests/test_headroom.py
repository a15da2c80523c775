"""Headroom by load, in steps and without oscillation."""

from __future__ import annotations

import collections
import functools
import itertools
import random

import msgspec
import pytest

from tealcove import ids
from tealcove.front import addresses
from tealcove.instances import capacity, headroom, protection
from tealcove.instances.tests import builders
from tealcove.membership import ranking

SAMPLE = 0.1


@pytest.fixture(autouse=True)
def _cache_hashes(monkeypatch: pytest.MonkeyPatch) -> None:
    """Compute each hash once: callers ask again and again in the simulations."""
    cached = functools.cache(ranking.log_hash)
    monkeypatch.setattr(ranking, "log_hash", cached)


def follow(found: headroom.Headroom, load: float, start: float, end: float) -> int:
    """Apply a constant load for some time."""
    now = start
    while now < end:
        found.update(load, False, builders.instant(now))
        now += SAMPLE
    return found.value


def test_load_up_to_the_threshold_takes_no_headroom() -> None:
    found = headroom.Headroom(builders.instant(0.0))
    assert follow(found, headroom.HIGH_LOAD, 0.0, 20.0) == headroom.WHOLE


def test_high_load_takes_headroom_in_steps() -> None:
    """Guards against an instance that is known to be loaded only when it refuses."""
    found = headroom.Headroom(builders.instant(0.0))
    assert found.update(0.88, False, builders.instant(0.1)) == 80
    assert found.update(0.88, False, builders.instant(0.9)) == 80
    assert found.update(0.88, False, builders.instant(1.2)) == 61


def test_an_overload_takes_headroom_at_once() -> None:
    """Guards against callers that are sent where they are refused."""
    found = headroom.Headroom(builders.instant(0.0))
    assert found.update(0.8, False, builders.instant(0.1)) == 90
    assert found.update(1.4, True, builders.instant(0.2)) == 46
    assert found.update(1.4, True, builders.instant(0.3)) == 46
    # While requests are refused the headroom doesn't rise.
    assert found.update(0.1, True, builders.instant(60.0)) == 46


def test_headroom_recovers_by_a_tenth_a_second() -> None:
    """Guards against the return of all callers at once after an overload."""
    found = headroom.Headroom(builders.instant(0.0))
    found.update(9.0, True, builders.instant(0.0))
    changes = [(0.0, headroom.LEAST)]
    for number in range(1, 200):
        at = number * SAMPLE
        value = found.update(0.0, False, builders.instant(at))
        if value != changes[-1][1]:
            changes.append((at, value))
    pairs = list(itertools.pairwise(changes))
    assert all(b[0] - a[0] >= 1.0 - SAMPLE / 2 for a, b in pairs)
    assert all(0 < b[1] - a[1] <= headroom.STEP for a, b in pairs)
    # At about a tenth a second.
    assert 8.5 <= changes[-1][0] <= 11.5
    assert changes[-1][1] == headroom.WHOLE


def test_load_that_does_not_fall_with_callers_ends_the_reduction() -> None:
    """Guards against an instance that stays idle since its memory doesn't shrink.

    The resident memory of a process seldom falls after a peak. At the least headroom,
    a rise to the next step would double the load, were it proportional to callers.
    """
    found = headroom.Headroom(builders.instant(0.0))
    follow(found, 2.0, 0.0, 5.0)
    assert found.value == headroom.LEAST
    assert follow(found, 0.7, 5.0, 120.0) == headroom.WHOLE


def test_memory_that_stays_high_keeps_the_least_headroom() -> None:
    found = headroom.Headroom(builders.instant(0.0))
    assert follow(found, 0.85, 0.0, 60.0) == headroom.LEAST


class ClosedLoop:
    """Callers that ask the directory each second, and 24 instances they load."""

    def __init__(self, seed: int, demand: float, heartbeat_samples: int = 1) -> None:
        self.random = random.Random(seed)
        self.capacities = {
            ids.InstanceId(f"i-{number}"): 430 if number < 8 else 254
            for number in range(24)
        }
        # What the instances can do in truth, which their capacity states only roughly.
        self.able = {
            name: found * self.random.uniform(0.7, 1.1)
            for name, found in self.capacities.items()
        }
        self.callers = [f"10.1.{n // 250}.{n % 250}" for n in range(500)]
        self.asks_at = [self.random.random() for _ in self.callers]
        self.demand = demand * sum(self.able.values()) / len(self.callers)
        self.chosen: dict[str, list[ids.InstanceId]] = {}
        start = builders.instant(0.0)
        # What the directories know, by the last heartbeats.
        self.heartbeat_samples = heartbeat_samples
        self.known = {
            ids.InstanceId(f"i-{number}"): builders.heartbeat(
                number, self.capacities[ids.InstanceId(f"i-{number}")]
            )
            for number in range(24)
        }
        self.headroom = {name: headroom.Headroom(start) for name in self.capacities}
        self.protection = {name: protection.Protection() for name in self.capacities}
        self.load = dict.fromkeys(self.capacities, 0.0)
        self.changes: list[tuple[float, ids.InstanceId, int]] = []
        # Requests that all instances of a subset refused.
        self.refused = 0
        # Instances that don't answer, and fractions that don't depend on callers.
        self.crashed: set[ids.InstanceId] = set()
        self.memory: dict[ids.InstanceId, float] = {}

    def run(self, seconds: float, start: float = 0.0) -> None:
        for number in range(round(seconds / SAMPLE)):
            self.step(start + number * SAMPLE)

    def step(self, at: float) -> None:
        second = at % 1.0
        for caller, asks_at in zip(self.callers, self.asks_at, strict=True):
            if at == 0.0 or second <= asks_at < second + SAMPLE:
                self.chosen[caller] = self.resolve(caller)
        counts = collections.Counter(map(self.served_at, self.chosen.values()))
        now = builders.instant(at)
        for name, able in self.able.items():
            offered = counts[name] * self.demand / able
            offered *= self.random.uniform(0.95, 1.05)
            self.load[name] += SAMPLE * (offered - self.load[name])
            if name in self.crashed:
                continue
            found = max(self.load[name], self.memory.get(name, 0.0))
            overloaded = self.protection[name].update(found, now)
            before = self.headroom[name].value
            value = self.headroom[name].update(
                found, overloaded, now, self.peers_headroom(name)
            )
            if value != before:
                self.changes.append((at, name, value - before))
        self.send_heartbeats(round(at / SAMPLE))

    def send_heartbeats(self, sample: int) -> None:
        """Let the instances whose heartbeat is due state their headroom."""
        for number, (name, before) in enumerate(self.known.items()):
            is_due = (sample + number) % self.heartbeat_samples == 0
            if name in self.crashed or not is_due:
                continue
            is_refusing = self.protection[name].is_overloaded
            value = capacity.REFUSING if is_refusing else self.headroom[name].value
            if value != before.headroom:
                self.known[name] = msgspec.structs.replace(before, headroom=value)

    def forget(self, name: ids.InstanceId) -> None:
        """Leave a crashed instance out, as its peers do once they suspect it."""
        del self.known[name]

    def served_at(self, subset: list[ids.InstanceId]) -> ids.InstanceId | None:
        """Return the first instance that doesn't refuse, or None."""
        open_ones = [
            name
            for name in subset
            if name not in self.crashed and not self.protection[name].is_overloaded
        ]
        self.refused += not open_ones
        return open_ones[0] if open_ones else None

    def peers_headroom(self, name: ids.InstanceId) -> float:
        others = [one.headroom for key, one in self.known.items() if key != name]
        return sum(others) / len(others)

    def resolve(self, caller: str) -> list[ids.InstanceId]:
        group = list(self.known.values())
        found = addresses.with_room(caller, group, group)
        return [heartbeat.instance for heartbeat in found]


def test_callers_do_not_oscillate_between_instances() -> None:
    """Guards against headroom that falls and rises for ever at a steady demand.

    Callers learn of a changed headroom up to a second later. If it followed the load
    at once in both directions, all instances would be full and empty in turn.
    """
    for seed in range(3):
        loop = ClosedLoop(seed, demand=0.65)
        loop.run(120.0)
        early = sum(at < 30.0 for at, _, _ in loop.changes)
        late = sum(at >= 90.0 for at, _, _ in loop.changes)
        assert late <= early / 3
        # Less than one change in a minute at each instance.
        assert late <= 12
        assert loop.refused == 0
        assert max(loop.load.values()) < protection.OVERLOAD


def test_headroom_rises_where_peers_have_none() -> None:
    """Guards against an instance that avoids callers whom no other can take."""
    alone, among = (headroom.Headroom(builders.instant(0.0)) for _ in range(2))
    for number in range(50):
        at = builders.instant(number * SAMPLE)
        alone.update(0.85, False, at, peers=100.0)
        among.update(0.85, False, at, peers=30.0)
    assert alone.value < 60
    assert among.value == headroom.WHOLE


def test_a_common_high_load_leaves_differences_between_headrooms() -> None:
    """Guards against weights that say nothing when all instances are loaded.

    If each reduced its headroom for as long as its load is high, all would end at the
    least, and the weaker ones would be overloaded as without any headroom.
    """
    loop = ClosedLoop(0, demand=0.75)
    loop.run(120.0)
    values = {one.value for one in loop.headroom.values()}
    assert max(values) >= 70
    assert min(values) <= 50
    assert loop.refused == 0
    assert max(loop.load.values()) < protection.OVERLOAD


@pytest.mark.parametrize("seed", range(2))
def test_no_request_is_refused_while_others_have_room(seed: int) -> None:
    """Guards against instances that overload each other in turn.

    At first the callers are distributed by the stated capacities, which are wrong by
    up to 1.6 times, so that many instances refuse. What they refuse must fit on the
    others.
    """
    loop = ClosedLoop(seed, demand=0.8)
    loop.run(60.0)
    assert loop.refused == 0
    early = sum(at < 30.0 for at, _, _ in loop.changes)
    assert sum(at >= 30.0 for at, _, _ in loop.changes) <= early / 2


@pytest.mark.parametrize("seed", range(2))
def test_old_heartbeats_leave_no_request_refused(seed: int) -> None:
    """Guards against instances left out that have room again, and the reverse.

    Heartbeats are up to 0.3 s old, and callers keep their subset for a second.
    """
    loop = ClosedLoop(seed, demand=0.8, heartbeat_samples=3)
    loop.run(60.0)
    assert loop.refused == 0


def test_a_crash_while_an_instance_refuses_overloads_no_other() -> None:
    """Guards against callers that stay with an instance that died of its overload.

    It refuses, and so is left out already, when it crashes; its peers suspect it 1 s
    later.
    """
    loop = ClosedLoop(0, demand=0.7, heartbeat_samples=3)
    loop.run(40.0)
    victim = next(iter(loop.known))
    loop.memory[victim] = 0.95
    loop.run(1.5, start=40.0)
    assert loop.protection[victim].is_overloaded
    loop.crashed.add(victim)
    loop.run(1.0, start=41.5)
    assert all(victim not in subset for subset in loop.chosen.values())
    loop.forget(victim)
    loop.run(20.0, start=42.5)
    assert loop.refused == 0
    assert max(loop.load.values()) <= protection.OVERLOAD
