"""The monotonic clock of this process, read outside decision logic only."""

from __future__ import annotations

import time

from tealcove import ids


def now() -> ids.Instant:
    """Return the current time in seconds, to be passed to functions as `now`."""
    return ids.Instant(time.monotonic())
