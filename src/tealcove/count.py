"""Parsing of non-negative numbers in external input."""

from __future__ import annotations

import math

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


def read_number(text: str) -> float | None:
    """Return a finite number of 0 or more, or None for any other text."""
    try:
        # float() accepts underscores, which are valid only in Python.
        found = math.nan if "_" in text else float(text)
    except ValueError:
        return None
    return found if math.isfinite(found) and found >= 0.0 else None
