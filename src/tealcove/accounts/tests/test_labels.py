"""Tests of the bounded set of labels."""

from __future__ import annotations

import random

from tealcove import ids
from tealcove.accounts import labels


def name(number: int) -> ids.AccountId:
    return ids.AccountId(f"a-{number}")


def count(
    found: labels.AccountLabels, numbers: list[int], now: float
) -> list[ids.AccountId]:
    """Count a request of each; return the accounts that lost their series."""
    lost = [found.count(name(number), ids.Instant(now)) for number in numbers]
    return [one for one in lost if one is not None]


def test_accounts_beyond_the_top_count_as_other():
    found = labels.AccountLabels()
    count(found, list(range(40)) * 3, 0.0)
    assert len(found.named) == labels.TOP_ACCOUNTS
    assert found.label(name(0)) == "a-0"
    assert found.label(name(39)) == labels.OTHER
    assert found.label(ids.AccountId("")) == labels.NO_ACCOUNT


def test_an_account_that_grows_gets_series_and_none_loses_its_own():
    """Guards against series that end as soon as another account overtakes theirs."""
    found = labels.AccountLabels()
    count(found, list(range(32)), 0.0)
    assert count(found, [77, 77], 1.0) == []
    assert found.label(name(77)) == "a-77"
    assert all(found.label(name(n)) == f"a-{n}" for n in range(32))


def test_the_set_follows_the_load():
    """Guards against the first accounts of a process holding all series for ever."""
    found = labels.AccountLabels()
    count(found, [n for n in range(48) for _ in range(n + 1)], 0.0)
    later = 10 * labels.HALF_LIFE
    count(found, list(range(100, 132)) * 2, later)
    assert all(found.label(name(n)) == f"a-{n}" for n in range(100, 132))
    assert len(found.named) == labels.MAX_NAMED


def test_many_accounts_of_similar_size_cause_no_churn():
    """Guards against series that alternate between accounts of similar size."""
    found = labels.AccountLabels()
    chosen = random.Random(1)
    numbers = [chosen.randrange(60) for _ in range(60_000)]
    warm = count(found, numbers[:20_000], 0.0)
    lost = count(found, numbers[20_000:], 100.0)
    assert len(lost) <= 20, (len(warm), len(lost))


def test_state_is_bounded_with_any_number_of_accounts():
    found = labels.AccountLabels()
    for number in range(39_000):
        count(found, [number, number % 7], number / 100)
        assert len(found.named) <= labels.MAX_NAMED
        assert len(found.scores) <= labels.MAX_COUNTED + 1
    assert all(found.label(name(n)) == f"a-{n}" for n in range(7))
    assert found.named <= found.scores.keys()


def test_counts_don_t_overflow_in_a_long_process():
    """Guards against weights that grow beyond what a float holds.

    They are scaled down now and then, also after days without a request.
    """
    found = labels.AccountLabels()
    for step in range(2000):
        now = step * labels.HALF_LIFE
        count(found, [1], now)
    assert 1.9 < found.scores[name(1)] / found.weight(ids.Instant(now)) < 2.1
    count(found, [2], 1e9)
    assert found.scores[name(1)] < found.scores[name(2)] == 1.0
