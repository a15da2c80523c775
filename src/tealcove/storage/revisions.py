"""The order of what the store gives out, also across its returns from a copy.

The store numbers its transactions with one counter. When it is restored from a copy,
the counter turns back and numbers are given out again, in an era that is one higher. A
revision is the era and the number in one integer: all revisions of an era come after
those of the eras before it, wherever they are compared, stored or sent. Without an
era, a revision is the number itself.
"""

from __future__ import annotations

from tealcove import ids

# Bits of a revision for the number: 80 years at 400 transactions a second.
NUMBER_BITS = 40
# The highest era for which a revision is a signed integer of 64 bits.
MAX_ERA = 2 ** (63 - NUMBER_BITS) - 1


def revision_of(era: ids.Era, number: int) -> int:
    """Return the revision of a number of the store; 0 stays 0: no version."""
    return era << NUMBER_BITS | number if number else 0


def era_of(revision: int) -> ids.Era:
    """Return the era of a revision."""
    return ids.Era(revision >> NUMBER_BITS)


def number_of(revision: int) -> int:
    """Return the store's own number of a revision."""
    return revision & (1 << NUMBER_BITS) - 1


def text(revision: int) -> str:
    """Return a revision as ERA:NUMBER, or the number if it has no era, for logs."""
    era = era_of(revision)
    return f"{era}:{number_of(revision)}" if era else str(revision)


def may_be_outdated(found: int, known: int) -> bool:
    """Return whether a row of a new era may be older than one that was known before.

    A restored store holds old rows under their old numbers and new rows under numbers
    that were given out before, so that numbers up to the known one tell nothing.
    """
    return era_of(found) > era_of(known) and number_of(found) <= number_of(known)
