"""Whole numbers that others write as text."""

from __future__ import annotations

# Digits of the longest number that is read, far beyond any count or port.
MAX_DIGITS = 18


def read(text: str) -> int | None:
    """Return a whole number from 0 on, None for any other text.

    Python's own test for digits holds for superscripts as well, which can't be
    converted, and a conversion of thousands of digits fails.
    """
    found = text.strip()
    is_count = found.isascii() and found.isdigit() and len(found) <= MAX_DIGITS
    return int(found) if is_count else None
