"""Parsing of non-negative integers in external input."""

from __future__ import annotations

# Maximum number of digits, far above that of any count or port.
MAX_DIGITS = 18


def read(text: str) -> int | None:
    """Return an integer of 0 or more, or None for any other text.

    `str.isdigit` also accepts superscripts, which `int` rejects, and `int` fails for
    thousands of digits.
    """
    found = text.strip()
    is_count = found.isascii() and found.isdigit() and len(found) <= MAX_DIGITS
    return int(found) if is_count else None
