"""Which of two orders wins."""

from __future__ import annotations

import itertools
import math

import pytest

from tealcove import errors
from tealcove.accounts import orders
from tealcove.accounts.tests import builders


def test_the_newest_order_wins_in_any_order_of_arrival() -> None:
    found = [
        builders.order(2.0, 5),
        builders.order(None, 7),
        builders.order(3.0, 6),
        builders.order(9.0, 1, builders.FLORIST),
    ]
    checksums = set()
    for arriving in itertools.permutations(found):
        held = orders.Orders()
        for one in arriving:
            held.merge(one, builders.NOW)
        assert held.weight(builders.BAKERY) is None
        assert held.revision(builders.BAKERY) == 7
        assert held.weight(builders.FLORIST) == 9.0
        checksums.add(held.checksum(builders.NOW))
    assert len(checksums) == 1


def test_an_order_that_was_taken_back_stays_so() -> None:
    """Guards against an instance that missed the reset and repeats the order."""
    held = orders.Orders()
    held.merge(builders.order(2.0, 5), builders.NOW)
    held.merge(builders.order(None, 6), builders.NOW)
    assert not held.merge(builders.order(2.0, 5), builders.NOW)
    assert held.weight(builders.BAKERY) is None


@pytest.mark.parametrize("weight", [0.0, -1.0, 1000.5, math.inf, math.nan])
def test_a_weight_that_can_t_be_used_leaves_the_last_one_in_force(
    weight: float,
) -> None:
    """Guards against a peer of another release that spreads what this one rejects."""
    held = orders.Orders()
    held.merge(builders.order(2.0, 5), builders.NOW)
    assert not held.merge(builders.order(weight, 6), builders.NOW)
    assert held.weight(builders.BAKERY) == 2.0


def test_checksums_show_every_difference_and_are_never_zero() -> None:
    held = orders.Orders()
    seen = [held.checksum(builders.NOW)]
    for one in (
        builders.order(2.0, 5),
        builders.order(3.0, 6),
        builders.order(None, 7),
        builders.order(3.0, 7, builders.FLORIST),
    ):
        held.merge(one, builders.NOW)
        seen.append(held.checksum(builders.NOW))
    assert len({0, *seen}) == 6


@pytest.mark.parametrize("text", ["", "0", "-2", "1000.1", "inf", "nan", "two"])
def test_a_bad_weight_names_what_can_be_written(text: str) -> None:
    with pytest.raises(errors.SettingsError, match="above 0 and at most 1000"):
        orders.read_weight(text)


def test_the_limits_of_weights() -> None:
    assert orders.read_weight("1000") == 1000.0
    assert orders.read_weight("0.001") == 0.001
