"""What an instance states of its load in its heartbeats."""

from __future__ import annotations

import logbook

from tealcove.instances import capacity, headroom, measurement, role, unread
from tealcove.instances.tests import builders
from tealcove.membership.tests import builders as membership

LIMITS = measurement.Limits(memory_bytes=1000.0)


def new_load() -> tuple[role.InstanceLoad, builders.FakeSource]:
    source = builders.FakeSource()
    found = role.InstanceLoad(
        membership.known(),
        source,
        LIMITS,
        unread.UnreadAnswers(),
        builders.instant(0.0),
    )
    return found, source


def test_an_instance_states_that_it_refuses_for_as_long_as_it_does() -> None:
    """Guards against directories that send callers to an instance that refuses them."""
    load, source = new_load()
    load.apply(0.0, builders.instant(0.1))
    assert load.members.own.headroom == headroom.WHOLE
    source.memory_bytes = 950.0
    stated = []
    for number in range(2, 22):
        load.apply(0.0, builders.instant(number / 10))
        stated.append(load.members.own.headroom)
    assert set(stated) == {capacity.REFUSING}
    source.memory_bytes = 100.0
    load.apply(0.0, builders.instant(2.2))
    assert headroom.LEAST <= load.members.own.headroom < headroom.WHOLE
    assert 1.9 < load.refusing_seconds < 2.1


def test_an_instance_that_refuses_changes_its_heartbeat_only_twice() -> None:
    """Guards against a heartbeat with each step of a headroom that nobody uses."""
    load, source = new_load()
    source.memory_bytes = 950.0
    for number in range(1, 60):
        load.apply(0.0, builders.instant(number / 10))
    assert load.members.own.change == 1
    source.memory_bytes = 100.0
    load.apply(0.0, builders.instant(6.1))
    assert load.members.own.change == 2


def test_refusals_in_quick_turns_are_logged_once_a_second() -> None:
    """Guards against a log that is filled by an instance at its threshold."""
    load, source = new_load()
    with logbook.TestHandler() as written:
        for number in range(1, 50):
            source.memory_bytes = 950.0 if number % 4 < 2 else 100.0
            load.apply(0.0, builders.instant(number / 10))
    lines = [record.message.partition(":")[0] for record in written.records]
    assert lines[::2] == ["new requests refused"] * 5
    assert set(lines[1::2]) == {"new requests accepted again"}
    assert len(lines) <= 10
