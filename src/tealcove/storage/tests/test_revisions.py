"""Revisions keep their order across the store's returns from a copy."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from tealcove import ids
from tealcove.storage import revisions

ERAS = st.integers(0, revisions.MAX_ERA)
NUMBERS = st.integers(1, 2**revisions.NUMBER_BITS - 1)


@given(ERAS, NUMBERS, ERAS, NUMBERS)
def test_eras_come_before_numbers(era: int, number: int, other: int, third: int):
    one = revisions.revision_of(ids.Era(era), number)
    two = revisions.revision_of(ids.Era(other), third)
    assert (one < two) == ((era, number) < (other, third))
    assert (revisions.era_of(one), revisions.number_of(one)) == (era, number)
    assert one < 2**63


@given(NUMBERS)
def test_without_an_era_a_revision_is_the_number(number: int):
    assert revisions.revision_of(ids.NO_ERA, number) == number


@given(ERAS)
def test_no_version_has_no_era(era: int):
    assert revisions.revision_of(ids.Era(era), 0) == 0


def test_only_rows_of_a_later_era_up_to_the_known_number_are_uncertain():
    def of(era: int, number: int) -> int:
        return revisions.revision_of(ids.Era(era), number)

    assert revisions.may_be_outdated(of(2, 7), of(1, 9))
    assert revisions.may_be_outdated(of(3, 9), of(1, 9))
    assert not revisions.may_be_outdated(of(2, 10), of(1, 9))
    assert not revisions.may_be_outdated(of(2, 7), of(2, 9))
    assert not revisions.may_be_outdated(of(2, 7), 0)
