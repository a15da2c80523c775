"""Good and bad versions under traffic: who is exposed to what, and how it ends."""

from __future__ import annotations

import pytest

from tealcove.dispatch.tests import builders as dispatching
from tealcove.resources import kinds
from tealcove.rollout import evidence, order, progress
from tealcove.rollout.tests import builders

# What operators allow a bad version: a part of all requests, and so many besides.
ALLOWED_PART, ALLOWED_BESIDES = 0.1, 50
SEEDS = range(200)


def begun(seed: int, **changes: object) -> builders.Traffic:
    """Return traffic at the beginning of a roll-out."""
    state = order.State.RUNNING
    known = evidence.Evidence()
    found = progress.Rollout(builders.ordered(), builders.instant(0), state, known)
    traffic = builders.Traffic(found, seed)
    for name, value in changes.items():
        setattr(traffic, name, value)
    traffic.serve_before()
    return traffic


def is_within(traffic: builders.Traffic) -> bool:
    """Tell whether a bad version got no more than operators allow."""
    return traffic.exposed <= ALLOWED_PART * traffic.arrived + ALLOWED_BESIDES


@pytest.mark.parametrize(
    "changes",
    [
        {"bad": dict.fromkeys(builders.ROUTES, 0.2)},
        {"bad": {"b": 1.0}},
        {"bad": {"b": 0.5}},
        {"pace": 3.0},
        {"bad": dict.fromkeys(builders.ROUTES, 0.4), "usual": 0.14},
    ],
)
def test_a_bad_version_is_rolled_back_and_few_requests_see_it(changes) -> None:
    """Callers get a bad version's failures until somebody looks.

    Symptom: one answer in five of a service fails for the rest of a day. Sequence: an
    operator orders a new version, whose servers are there at once. Cause: they get as
    many requests as the others from the first moment.
    """
    for seed in SEEDS:
        traffic = begun(seed, **changes)
        assert traffic.run() is order.State.ROLLED_BACK, seed
        assert is_within(traffic), seed
        exposed = traffic.exposed
        traffic.run(seconds=1.0)
        assert traffic.exposed == exposed


@pytest.mark.parametrize("usual", [0.0, 0.02, 0.14])
def test_a_good_version_is_done_in_time(usual: float) -> None:
    """A good version is rolled back by chance at most once in a hundred times."""
    ends = [begun(seed, usual=usual).run() for seed in SEEDS]
    assert ends.count(order.State.DONE) >= 0.99 * len(ends)


def test_a_version_that_is_slow_on_slow_machines_only_is_done() -> None:
    # Three in twelve servers of each version take four times as long.
    ends = [begun(seed, pace=1.1).run() for seed in SEEDS]
    assert ends.count(order.State.DONE) >= 0.99 * len(ends)


def test_nothing_is_done_while_something_runs_at_the_old_servers() -> None:
    """Answers are cut off at the end of a roll-out.

    Symptom: streams break at the moment of `done`. Sequence: all requests go to the new
    version; streams that began before still run. Cause: the old servers stop at once
    when `done` is written.
    """
    traffic = begun(1)
    ticket = dispatching.ticket()
    traffic.old[0].start(ticket, builders.instant(0))
    assert traffic.run(seconds=2 * builders.PERIOD) is order.State.RUNNING
    assert traffic.rollout.stage is progress.Stage.MOVING
    assert not any(traffic.rollout.may_receive(one.spec) for one in traffic.old)
    del traffic.old[0].runs[ticket.ticket_id]
    views = [*traffic.old, *traffic.new]
    traffic.rollout.review(views, builders.instant(30))
    assert traffic.rollout.review(views, builders.instant(31)) is order.State.DONE


def test_the_old_servers_serve_on_when_the_new_ones_are_lost() -> None:
    traffic = begun(1)
    traffic.rollout.review([*traffic.old, *traffic.new], builders.instant(8))
    assert traffic.rollout.stage is progress.Stage.MOVING
    assert not any(traffic.rollout.may_receive(one.spec) for one in traffic.old)
    traffic.rollout.review(traffic.old, builders.instant(8.2))
    assert all(traffic.rollout.may_receive(one.spec) for one in traffic.old)


def test_a_later_version_is_none_of_its_matter() -> None:
    """After a roll-out no further version gets any request.

    Symptom: servers that are replaced one by one, without an order, stand idle.
    Sequence: a roll-out was done some time ago, and its order still stands there.
    Cause: only the version that it names may get requests.
    """
    traffic = begun(1)
    assert traffic.run() is order.State.DONE
    later = builders.view("x", "v3")
    traffic.rollout.review([*traffic.new, later], builders.instant(60))
    assert traffic.rollout.may_receive(later.spec)


def test_a_later_version_is_none_of_a_successors_matter_either() -> None:
    """As above, after the instance that decides has died.

    Symptom: as above. Sequence: the next in rank finds the roll-out done in the store,
    and a version beside that which it names. Cause: it takes that for the one before.
    """
    traffic = begun(1)
    done = order.State.DONE
    known = evidence.Evidence()
    found = progress.Rollout(builders.ordered(), builders.instant(0), done, known)
    later = builders.view("x", "v3")
    assert found.review([*traffic.new, later], builders.instant(60)) is done
    assert found.may_receive(later.spec)


def test_a_version_on_trial_gets_its_requests_at_few_servers() -> None:
    traffic = begun(1)
    traffic.rollout.review([*traffic.old, *traffic.new], builders.instant(0))
    taking = [one for one in traffic.new if traffic.rollout.may_receive(one.spec)]
    assert len(taking) == progress.TRIAL_SERVERS
    leaving = dispatching.server(
        taking[0].name, version=builders.NEW, state=kinds.ServerState.LEAVING
    )
    taking[0].spec = leaving
    traffic.rollout.review([*traffic.old, *traffic.new], builders.instant(1))
    assert not traffic.rollout.may_receive(leaving)


def test_milliseconds_say_nothing_of_a_version() -> None:
    """A good version of a quick service is rolled back.

    Symptom: a version is told as three times as slow; its calls take 2 ms. Sequence: a
    busy machine lets a few calls of under a millisecond take longer. Cause: their
    ratio is all that counts.
    """
    assert evidence.slowness([(0.0006,)] * 4, [(0.002,)] * 4) is None
    assert evidence.slowness([(0.02,)] * 4, [(0.06,)] * 4) is not None


def test_all_servers_on_trial_get_requests() -> None:
    traffic = begun(1)
    traffic.run(seconds=4.0)
    tries = [traffic.rollout.tries[name] for name in traffic.rollout.chosen]
    assert len(tries) == progress.TRIAL_SERVERS
    assert max(tries) - min(tries) <= 1
