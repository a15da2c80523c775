"""When callers who were refused may come back."""

from __future__ import annotations

import zlib

from tealcove import ids

# Seconds: the least and the most that a caller is told to wait. Less would bring it
# back before a slot can be free; after more than a few seconds nobody can say when.
MIN_SECONDS = 0.15
MAX_SECONDS = 5.0
# By up to this part the waits are spread, so that callers who were refused together
# don't come back together.
JITTER = 0.5
JITTER_STEPS = 1000


def wait_seconds(ticket_id: ids.TicketId, drained_in: float) -> float:
    """Return the seconds after which the caller of a refused ticket may try again.

    `drained_in` is in how many seconds its turn would have come.
    """
    part = zlib.crc32(ticket_id.encode()) % JITTER_STEPS / JITTER_STEPS
    wait = max(MIN_SECONDS, drained_in) * (1.0 + JITTER * part)
    return min(MAX_SECONDS, wait)
