"""Parts of prompts: how crashes accuse, acquit and convict them."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from tealcove import ids
from tealcove.quarantine import answers, partledger, parts
from tealcove.quarantine.tests import builders

BAD, COMMON, RARE = ids.PartId("bad"), ids.PartId("common"), ids.PartId("rare")
T0 = builders.at(1000.0)
HOLD = answers.ACQUITTAL_SECONDS


def crash_in_turn(
    found: partledger.PartLedger,
    accused: tuple[ids.PartId, ...],
    count: int,
    first: int = 0,
    requests: int = 100,
) -> ids.Instant:
    """Let servers crash one after the other; return when the last one did."""
    now = T0
    for number in range(first, first + count):
        now = builders.at(T0 + number)
        digest = f"d{number % requests}"
        found.accuse(accused, builders.part_crash(f"s{number}", digest, now), now)
    return now


def test_three_crashes_in_turn_convict_a_part_that_no_answer_acquits() -> None:
    found = builders.new_parts()
    now = crash_in_turn(found, (BAD,), 2)
    assert found.judge((BAD,), now) == []
    assert found.events(BAD, now) == partledger.EVENTS_TO_ISOLATE
    now = crash_in_turn(found, (BAD,), 1, first=2)
    assert found.judge((BAD,), now) == [BAD]
    assert found.is_convicted(BAD, now)
    assert found.judge((BAD,), now) == []


def test_servers_lost_at_once_are_one_event() -> None:
    """Guards against convicting what ran on a rack that lost its power."""
    found = builders.new_parts()
    for number in range(8):
        crash = builders.part_crash(f"s{number}", f"d{number}", T0 + 0.01 * number)
        found.accuse((COMMON,), crash, T0)
    assert found.events(COMMON, T0) == 1


def test_a_chain_of_overlapping_crashes_is_one_event() -> None:
    crashes = [
        builders.part_crash(f"s{number}", "d", T0 + number, ran=1.5)
        for number in range(9)
    ]
    assert parts.count_events(crashes) == 1


def test_one_request_that_is_sent_again_convicts_no_part() -> None:
    """Guards against blaming shared parts for a request that is bad by itself."""
    found = builders.new_parts()
    now = crash_in_turn(found, (COMMON,), 9, requests=1)
    assert found.events(COMMON, now) == partledger.EVENTS_TO_ISOLATE
    assert found.judge((COMMON,), now) == []


def test_a_recent_answer_keeps_a_part_from_being_accused() -> None:
    found = builders.new_parts()
    found.answer((COMMON,), T0, T0)
    soon = builders.at(T0 + HOLD / 2)
    assert found.accuse((COMMON,), builders.part_crash("s0", "d0", soon), soon) == []
    later = builders.at(T0 + HOLD)
    crash = builders.part_crash("s1", "d1", later)
    assert found.accuse((COMMON,), crash, later) == [COMMON]


def test_an_answer_clears_the_crashes_before_it_and_not_later_ones() -> None:
    found = builders.new_parts()
    now = crash_in_turn(found, (RARE,), 2)
    assert found.answer((RARE, COMMON), now, now) == [RARE]
    assert found.events(RARE, now) == 0
    now = crash_in_turn(found, (RARE,), 3, first=10)
    assert found.judge((RARE,), now) == [RARE]


def test_a_part_that_turns_bad_is_found_though_it_was_sound() -> None:
    """Guards against protecting a part for ever by the answers of before."""
    found = builders.new_parts()
    found.answer((BAD,), T0, T0)
    now = crash_in_turn(found, (BAD,), 6)
    assert found.judge((BAD,), now) == [BAD]


def test_parts_that_were_at_the_same_crashes_are_not_told_apart_by_three() -> None:
    """Guards against convicting the first part, which a whole route shares."""
    found = builders.new_parts()
    now = crash_in_turn(found, (COMMON, BAD), 3)
    assert found.judge((COMMON, BAD), now) == []
    found.answer((COMMON,), builders.at(now - 0.1), now)
    assert found.events(COMMON, now) == 0
    assert found.judge((COMMON, BAD), now) == []
    assert found.is_undecided(BAD, (COMMON, BAD), now)
    assert not found.is_undecided(BAD, (BAD, RARE), now)
    found.answer((COMMON,), builders.at(now + 0.1), builders.at(now + 0.6))
    assert found.judge((COMMON, BAD), builders.at(now + 0.6)) == [BAD]


def test_a_part_that_turns_bad_is_not_hidden_by_one_that_came_with_it() -> None:
    """Guards against convicting a rare part while the guilty one seems acquitted."""
    found = builders.new_parts()
    found.answer((COMMON, BAD), T0, T0)
    now = T0
    for number in range(3):
        now = builders.at(T0 + 0.2 * number)
        crash = builders.part_crash(f"s{number}", f"d{number}", now)
        found.accuse((COMMON, BAD, RARE), crash, now)
    found.answer((COMMON,), builders.at(now + 0.1), now)
    assert found.events(BAD, now) == 0
    assert found.judge((COMMON, BAD, RARE), now) == []


def test_crashes_without_a_part_ask_for_more_with_it() -> None:
    """Guards against convicting a rare part by chance while many servers crash."""
    found = builders.new_parts()
    crash_in_turn(found, (RARE,), 1)
    found.note_loss(ids.BackendServerId("other"), builders.at(T0 + 0.5))
    now = crash_in_turn(found, (RARE,), 2, first=1)
    assert found.judge((RARE,), now) == []
    now = crash_in_turn(found, (RARE,), 1, first=3)
    assert found.judge((RARE,), now) == [RARE]


def test_undecided_parts_are_tried_again_after_a_while() -> None:
    found = builders.new_parts()
    now = crash_in_turn(found, (COMMON, BAD), 3)
    later = builders.at(now + partledger.DECISION_SECONDS)
    assert found.is_undecided(BAD, (COMMON, BAD), now)
    assert not found.is_undecided(BAD, (COMMON, BAD), later)
    assert found.judge((COMMON, BAD), later) == []


def test_of_parts_that_stay_tied_the_last_one_is_convicted() -> None:
    found = builders.new_parts()
    count = partledger.EVENTS_TO_CONVICT_TIED
    now = crash_in_turn(found, (COMMON, BAD), count)
    assert found.judge((COMMON, BAD), now) == [BAD]
    assert not found.is_convicted(COMMON, now)
    assert found.events(COMMON, now) == 0


def test_a_convicted_part_explains_the_crashes_where_it_was() -> None:
    """Guards against blaming what is lost together."""
    found = builders.new_parts()
    now = crash_in_turn(found, (BAD,), 3)
    found.accuse((RARE,), builders.part_crash("s2", "other", now), now)
    assert found.events(RARE, now) == 1
    found.judge((BAD,), now)
    assert found.events(RARE, now) == 0
    crash = builders.part_crash("s9", "d9", now)
    assert found.accuse((COMMON, BAD, RARE), crash, now) == [BAD]


def test_a_conviction_that_ends_returns_with_the_next_crash() -> None:
    found = builders.new_parts()
    now = crash_in_turn(found, (BAD,), 3)
    found.judge((BAD,), now)
    later = builders.at(now + builders.SECONDS + 1.0)
    assert not found.is_convicted(BAD, later)
    assert found.events(BAD, later) == partledger.EVENTS_TO_ISOLATE
    found.accuse((BAD,), builders.part_crash("s9", "d9", later), later)
    assert found.judge((BAD,), later) == [BAD]


def test_an_answer_ends_a_conviction_but_not_an_operators() -> None:
    found = builders.new_parts()
    now = crash_in_turn(found, (BAD,), 3)
    found.judge((BAD,), now)
    assert found.answer((BAD,), now, now) == [BAD]
    assert not found.is_convicted(BAD, now)
    found.decide(BAD, True, now)
    assert found.answer((BAD,), now, now) == []
    assert found.is_convicted(BAD, now)
    found.decide(BAD, False, now)
    assert not found.is_convicted(BAD, now)


def test_a_flood_of_accused_parts_pushes_no_conviction_out() -> None:
    found = builders.new_parts()
    now = crash_in_turn(found, (BAD,), 3)
    found.judge((BAD,), now)
    for number in range(partledger.MAX_RECORDS + 50):
        crash = builders.part_crash(f"x{number}", f"y{number}", now)
        found.accuse((ids.PartId(f"p{number}"),), crash, now)
    assert len(found.records) == partledger.MAX_RECORDS
    assert found.is_convicted(BAD, now)


def test_answers_are_bounded_and_the_oldest_go_first() -> None:
    found = answers.Answers()
    for number in range(answers.MAX_PARTS + 5):
        found.add((ids.PartId(f"p{number}"),), builders.at(T0 + number))
    assert len(found.began) == answers.MAX_PARTS
    assert not found.acquits(ids.PartId("p0"), T0)


def test_messages_that_repeat_a_record_let_it_end() -> None:
    """Guards against a conviction that delayed messages prolong for ever."""
    one, two = builders.new_parts(), builders.new_parts()
    now = crash_in_turn(one, (BAD,), 3)
    one.judge((BAD,), now)
    for _ in range(100):
        now = builders.at(now + 1.0)
        for sender, receiver in ((one, two), (two, one)):
            receiver.merge(sender.shared(BAD, now), builders.at(now + 0.5))
    ends = T0 + 2.0 + builders.SECONDS
    assert not one.is_convicted(BAD, builders.at(ends + 1.0))
    assert not two.is_convicted(BAD, builders.at(ends + 1.0))


def test_a_message_of_a_change_is_small_however_many_servers_crashed() -> None:
    found = builders.new_parts()
    now = crash_in_turn(found, (BAD,), 50)
    assert len(found.changed(BAD, now).crashes) == partledger.MESSAGE_CRASHES
    assert len(found.shared(BAD, now).crashes) == 50


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["crash", "answer", "judge", "send", "decide"]),
        strategies.integers(0, 2),
        strategies.integers(0, 5),
    ),
    max_size=30,
)


@hypothesis.given(STEPS)
def test_instances_agree_once_all_have_exchanged_their_records(
    steps: list[tuple[str, int, int]],
) -> None:
    instances = [builders.new_parts() for _ in range(3)]
    now = T0
    for kind, place, number in steps:
        now = builders.at(now + 0.5)
        one = instances[place]
        if kind == "crash":
            accused = (COMMON, BAD)[number % 2 :]
            crash = builders.part_crash(f"s{now}", f"d{number}", now)
            one.accuse(accused, crash, now)
        elif kind == "answer":
            one.answer((COMMON,), now, now)
        elif kind == "judge":
            one.judge((COMMON, BAD), now)
        elif kind == "decide":
            one.decide(BAD, number % 2 == 0, now)
        else:
            send(one, instances[number % 3], now)
    # Answers of before no longer change what is merged.
    now = builders.at(now + HOLD)
    for _ in range(3):
        for sender in instances:
            for receiver in instances:
                send(sender, receiver, now)
    assert len({one.checksum(now) for one in instances}) == 1
    for part in (COMMON, BAD):
        assert len({one.is_convicted(part, now) for one in instances}) == 1


def send(
    sender: partledger.PartLedger, receiver: partledger.PartLedger, now: ids.Instant
) -> None:
    """Merge one instance's records into another's."""
    for key in sender.all_keys():
        receiver.merge(sender.shared(key, now), now)


@pytest.mark.parametrize("seconds", [0.0, 100.0])
def test_a_record_that_was_stored_is_as_old_as_it_is(seconds: float) -> None:
    one, two = builders.new_parts(), builders.new_parts()
    now = crash_in_turn(one, (BAD,), 3)
    one.judge((BAD,), now)
    stored = one.aged(one.shared(BAD, now), seconds)
    two.merge(stored, T0)
    assert two.is_convicted(BAD, builders.at(T0 + builders.SECONDS - seconds - 1.0))
    assert not two.is_convicted(BAD, builders.at(T0 + builders.SECONDS - seconds + 1.0))
