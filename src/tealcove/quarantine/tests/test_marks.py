"""Marks: how crashes are counted, cleared, merged and removed."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from tealcove.quarantine import content, marks
from tealcove.quarantine.tests import builders

CLEAR = marks.Verdict.CLEAR
SUSPECT = marks.Verdict.SUSPECT
QUARANTINED = marks.Verdict.QUARANTINED
D = builders.DIGEST
T0 = builders.at(1000.0)


def test_two_crashes_quarantine_a_digest_until_the_mark_ends() -> None:
    found = builders.new_marks()
    found.add_crash(D, builders.crash("r1", "s1"), T0)
    assert found.verdict(D, T0) is SUSPECT
    found.add_crash(D, builders.crash("r2", "s2", alone=True), T0 + 500.0)
    assert found.verdict(D, T0 + 500.0) is QUARANTINED
    assert found.remaining(D, T0 + 500.0) == builders.SECONDS
    assert found.verdict(D, T0 + 1100.0) is CLEAR
    found.sweep(T0 + 1100.0)
    assert found.marks == {}


def test_one_crash_counts_once_for_any_number_of_copies_and_reports() -> None:
    """Guard against a quarantine of a common prompt after a single crash.

    Copies of it ran on the server, and both entry and dispatcher detect the crash. If
    reports were counted in place of crashes, the prompt would be refused everywhere.
    """
    found = builders.new_marks()
    assert found.add_crash(D, builders.crash("r1", "s1"), T0)
    assert not found.add_crash(D, builders.crash("r1", "s1"), T0)
    found.add_crash(D, builders.crash("r2", "s1"), T0)
    assert found.verdict(D, T0) is SUSPECT


def test_a_second_crash_of_a_server_with_the_run_alone_counts_again() -> None:
    found = builders.new_marks()
    found.add_crash(D, builders.crash("r1", "s1"), T0)
    found.add_crash(D, builders.crash("r2", "s1", alone=True), T0)
    assert found.verdict(D, T0) is QUARANTINED


def test_clearing_lasts_until_the_next_crash() -> None:
    found = builders.new_marks()
    found.add_crash(D, builders.crash("r1", "s1"), T0)
    assert found.clear(D, T0)
    assert not found.clear(D, T0)
    assert found.verdict(D, T0) is CLEAR
    found.add_crash(D, builders.crash("r2", "s1"), T0)
    assert found.verdict(D, T0) is SUSPECT


def test_a_digest_that_is_cleared_often_can_be_suspected_again() -> None:
    found = builders.new_marks()
    for number in range(3 * marks.MAX_CRASHES):
        assert found.add_crash(D, builders.crash(f"r{number}", "s1"), T0)
        assert found.verdict(D, T0) is SUSPECT
        found.clear(D, T0)
    assert len(found.marks[D].crashes) <= marks.MAX_CRASHES


def test_the_number_of_marks_is_bounded() -> None:
    found = builders.new_marks()
    for number in range(marks.MAX_MARKS + 5):
        now = builders.at(T0 + number * 0.01)
        found.add_crash(str(number), builders.crash("r", "s"), now)
    assert len(found.marks) == marks.MAX_MARKS
    assert "0" not in found.marks


def test_instances_that_repeat_a_mark_to_each_other_let_it_end() -> None:
    """Guard against a mark that never ends, so that a request is refused for ever.

    Two instances send the mark to each other, and each message arrives a little later
    than it was sent. If each arrival extended the mark, it would never end.
    """
    one, two = builders.new_marks(), builders.new_marks()
    one.add_crash(D, builders.crash("r1", "s1"), T0)
    now = float(T0)
    while shared := one.shared(D, builders.at(now)):
        two.merge(shared, builders.at(now + 0.5))
        if back := two.shared(D, builders.at(now + 0.5)):
            one.merge(back, builders.at(now + 1.0))
        now += 1.0
    assert now <= T0 + builders.SECONDS
    assert one.verdict(D, builders.at(T0 + builders.SECONDS)) is CLEAR


EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["crash", "clear", "share"]),
        strategies.integers(0, 2),
        strategies.integers(0, 5),
    ),
    max_size=20,
)


@hypothesis.given(EVENTS)
def test_instances_agree_once_all_have_exchanged_their_marks(
    events: list[tuple[str, int, int]],
) -> None:
    instances = [builders.new_marks() for _ in range(3)]
    for kind, instance, number in events:
        if kind == "crash":
            crash = builders.crash(f"r{number}", f"s{number % 3}", number % 2 == 0)
            instances[instance].add_crash(D, crash, T0)
        elif kind == "clear":
            instances[instance].clear(D, T0)
        else:
            send(instances[instance], instances[number % 3])
    for _ in range(2):
        for sender in instances:
            for receiver in instances:
                send(sender, receiver)
    assert len({found.checksum(T0) for found in instances}) == 1
    assert len({found.verdict(D, T0) for found in instances}) == 1


def send(sender: marks.Marks, receiver: marks.Marks) -> None:
    """Merge one instance's mark into another's."""
    shared = sender.shared(D, T0)
    if shared is not None:
        receiver.merge(shared, T0)


def test_digests_of_different_calls_differ() -> None:
    assert content.digest_prompt("a") == content.digest_prompt("a")
    calls = {
        content.digest_call("POST", "/a", b"b"),
        content.digest_call("POST", "/ab", b""),
        content.digest_call("PUT", "/a", b"b"),
    }
    assert len(calls) == 3
