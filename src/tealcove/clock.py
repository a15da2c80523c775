"""The monotonic clock of this process, read at the edges only."""

from __future__ import annotations

import time

from tealcove import ids


def now() -> ids.Instant:
    """Return the present time in seconds, for functions that decide."""
    return ids.Instant(time.monotonic())
