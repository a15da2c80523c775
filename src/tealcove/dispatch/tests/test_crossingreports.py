"""One budget for a pair of data centres over all dispatchers, in virtual time."""

from __future__ import annotations

import math

import logbook
import msgspec
import pytest

from tealcove import errors, ids
from tealcove.dispatch import budgets, crossingreports, crossinguse
from tealcove.dispatch.tests import builders, crossingplay
from tealcove.peers import message

PAIR, OTHER_PAIR = crossingplay.PAIR, crossingplay.OTHER_PAIR
RATE = crossingplay.RATE


@pytest.mark.parametrize("count", [2, 4])
def test_all_dispatchers_together_spend_one_budget(count: int) -> None:
    """Guards against a service with several cells that spends its budget for each."""
    play = crossingplay.Play(count)
    first = play.run(1.0, *[3 * RATE] * count)
    # Until the first messages, each has a full bucket of its own.
    assert sum(first) <= 2 * count * RATE
    found = play.run(21.0, *[3 * RATE] * count)
    assert 0.9 * 20 * RATE <= sum(found) <= 1.1 * 20 * RATE
    assert min(found) >= 0.8 * max(found)


def test_a_single_dispatcher_has_the_whole_budget() -> None:
    """Guards against a part that is kept for dispatchers that don't exist."""
    play = crossingplay.Play(1)
    (found,) = play.run(10.0, 3 * RATE)
    assert found == pytest.approx(11 * RATE, rel=0.02)
    assert not play.meshes[0].sent


def test_the_parts_follow_the_use() -> None:
    """Guards against a budget that lies idle at a dispatcher with little demand."""
    play = crossingplay.Play(2)
    play.run(5.0, 3 * RATE, 0.1 * RATE)
    found = play.run(25.0, 3 * RATE, 0.1 * RATE)
    assert found[1] == pytest.approx(0.1 * RATE * 20, rel=0.05)
    assert sum(found) >= 0.85 * 20 * RATE
    assert sum(found) <= 1.05 * 20 * RATE


def test_a_dispatcher_that_begins_late_gets_its_part() -> None:
    """Guards against a dispatcher that has no use, so no part, so never any use."""
    play = crossingplay.Play(2)
    play.run(5.0, 3 * RATE, 0.0)
    assert play.share(0) == 1.0
    found = play.run(35.0, 3 * RATE, 3 * RATE)
    assert sum(found) <= 1.05 * 30 * RATE
    late = play.run(45.0, 3 * RATE, 3 * RATE)
    assert min(late) >= 0.8 * max(late)


def test_the_part_of_a_silent_dispatcher_is_free_after_two_seconds() -> None:
    """Guards against a crash that takes half of a budget away for good."""
    play = crossingplay.Play(2)
    play.run(5.0, 3 * RATE, 3 * RATE)
    assert play.share(0) == pytest.approx(0.5, abs=0.1)
    play.silent.add(1)
    play.run(6.4, 3 * RATE, 3 * RATE)
    assert play.share(0) < 0.7
    with logbook.TestHandler() as written:
        play.run(7.6, 3 * RATE, 3 * RATE)
    assert play.share(0) == 1.0
    assert any(crossingplay.name(1) in record.message for record in written.records)
    # The one that comes back, or its successor, gets a part again.
    play.silent.clear()
    play.run(30.0, 3 * RATE, 3 * RATE)
    assert play.share(0) == pytest.approx(0.5, abs=0.1)


def test_lost_messages_change_nothing() -> None:
    """Guards against a budget that is spent twice while a message is missing."""
    play = crossingplay.Play(2, lambda sender, receiver, at: round(at / 0.5) % 3 != 0)
    play.run(3.0, 3 * RATE, 3 * RATE)
    found = play.run(23.0, 3 * RATE, 3 * RATE)
    assert sum(found) <= 1.1 * 20 * RATE
    assert play.share(0) + play.share(1) == pytest.approx(1.0, abs=0.1)


def test_each_side_of_a_partition_has_the_budget_and_shares_it_afterwards() -> None:
    """Guards against crossings that stop since others can't be asked."""
    play = crossingplay.Play(2, lambda sender, receiver, at: 5.0 <= at < 15.0)
    play.run(8.0, 3 * RATE, 3 * RATE)
    assert play.share(0) == play.share(1) == 1.0
    play.run(18.0, 3 * RATE, 3 * RATE)
    assert play.share(0) + play.share(1) == pytest.approx(1.0, abs=0.1)


def test_an_older_release_spends_a_budget_of_its_own() -> None:
    """Guards against a dispatcher that waits for what an older release never sends."""
    play = crossingplay.Play(2, lambda sender, receiver, at: receiver == 1)
    play.reports[1] = crossingreports.NoReports(play.meshes[1])
    found = play.run(10.0, 3 * RATE, 3 * RATE)
    assert play.share(0) == play.share(1) == 1.0
    assert found[0] == pytest.approx(11 * RATE, rel=0.02)


def test_without_the_settings_messages_are_ignored_and_none_is_sent() -> None:
    """Guards against a log line for each message that has no handler."""
    mesh = crossingplay.HandlingMesh()
    reports = crossingreports.NoReports(mesh)
    reports.start()
    handler = mesh.handlers[crossingreports.CrossingUse]
    handler(crossingplay.name(1), crossingplay.use(1000.0))
    reports.advance(builders.instant(0.0))
    assert not mesh.sent


def test_messages_are_sent_twice_a_second_while_there_are_crossings() -> None:
    """Guards against messages without a limit, and against a missing last one."""
    sent: list[float] = []

    def record(sender: int, receiver: int, at: float) -> bool:
        sent.append(at)
        return False

    play = crossingplay.Play(2, record)
    play.run(5.0, 0.0, 0.0)
    assert not sent
    play.run(10.0, RATE, 0.0)
    assert 9 <= len(sent) <= 11
    # What crossed is told for 2 s more, and then that nothing does.
    play.run(12.7, 0.0, 0.0)
    assert not play.reports[1].heard
    play.run(20.0, 0.0, 0.0)
    assert len(sent) <= 16
    assert play.share(1) == 1.0


def test_budgets_of_other_pairs_are_not_divided() -> None:
    """Guards against the traffic of one pair that takes the budget of another."""
    play = crossingplay.Play(2)
    now = builders.instant(0.0)
    play.reports[0].record(
        crossingplay.name(1), crossingplay.use(50_000.0, OTHER_PAIR), now
    )
    assert play.share(0) == 1.0
    assert play.spent[0].share(OTHER_PAIR) == crossinguse.EQUAL_SHARE / 2
    assert play.spent[0].least_share == crossinguse.EQUAL_SHARE / 2


def test_a_smaller_part_bounds_what_was_saved_up_and_owed() -> None:
    """Guards against a full bucket, or a debt, of the time with the whole budget."""
    spent = budgets.Budgets(RATE)
    now = builders.instant(0.0)
    assert spent.allows(PAIR, RATE, now)
    spent.divide({PAIR: 0.1}, now)
    assert spent.refilled(PAIR, now).level == 0.1 * RATE
    spent.divide({}, now)
    for _ in range(3):
        spent.spend(PAIR, RATE, now)
    spent.divide({PAIR: 0.1}, now)
    assert spent.refilled(PAIR, now).level == -0.1 * RATE


@pytest.mark.parametrize("size", [math.nan, math.inf, -1.0])
def test_a_message_with_invalid_figures_is_ignored(size: float) -> None:
    """Guards against a figure of a faulty peer that takes a budget for ever."""
    play = crossingplay.Play(2)
    valid = crossingplay.use(1000.0)
    play.reports[0].record(crossingplay.name(1), valid, builders.instant(0.0))
    with logbook.TestHandler() as written:
        for at in (0.1, 0.2):
            play.reports[0].record(
                crossingplay.name(1), crossingplay.use(size), builders.instant(at)
            )
    (line,) = [record.message for record in written.records]
    assert "bytes from dc-1 to dc-2" in line
    assert play.reports[0].heard[crossingplay.name(1)][0] == valid


def test_messages_are_understood_by_the_next_release() -> None:
    """Guards against instances of two releases that can't read each other."""
    codec = message.Codec()
    codec.register(crossingreports.CrossingUse)
    told = crossingplay.use(1000.0)
    assert codec.decode(codec.encode(told)) == told
    fields = msgspec.msgpack.decode(codec.encode(told))
    assert codec.decode(msgspec.msgpack.encode([*fields, "new"])) == told
    with pytest.raises(errors.PeerError):
        codec.decode(msgspec.msgpack.encode(["CrossingUse", "many"]))


def test_a_message_stays_small() -> None:
    """Guards against messages that take a part of the links that they are to spare."""
    pairs = [(f"dc-{a}", f"dc-{b}") for a in range(4) for b in range(4) if a != b]
    told = crossingreports.CrossingUse(
        uses=tuple(
            crossinguse.PairUse(ids.DataCentreId(a), ids.DataCentreId(b), 123_456.0)
            for a, b in pairs
        )
    )
    assert len(message.Codec().encode(told)) < 400


@pytest.mark.parametrize("seed", range(2))
def test_two_cells_share_a_budget_under_load(seed: int) -> None:
    """Guards against twice the bytes with two cells, and against missed goals."""
    apart, shared = (
        crossingplay.play_waves(seed, is_shared) for is_shared in (False, True)
    )
    apart_bytes, shared_bytes = (
        sum(one.result.crossed_bytes for one in found) for found in (apart, shared)
    )
    apart_in_time, shared_in_time = (
        sum(one.result.in_time for one in found) for found in (apart, shared)
    )
    assert shared_bytes <= 0.9 * apart_bytes
    assert shared_in_time >= 0.99 * apart_in_time
