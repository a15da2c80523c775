"""When callers who were refused may come back."""

from __future__ import annotations

import zlib

from tealcove import ids

# Seconds: the least and the most that a caller is told to wait. Less would bring it
# back before a slot can be free; after more than a few seconds nobody can say when.
SHORTEST_SECONDS = 0.15
LONGEST_SECONDS = 5.0
# By up to this part the waits are spread, so that callers who were refused together
# don't come back together.
SPREAD = 0.5
SPREAD_STEPS = 1000


def seconds_after(ticket_id: ids.TicketId, drained_in: float) -> float:
    """Return the seconds after which the caller of a refused ticket may try again.

    `drained_in` is in how many seconds its turn would have come.
    """
    part = zlib.crc32(ticket_id.encode()) % SPREAD_STEPS / SPREAD_STEPS
    wait = max(SHORTEST_SECONDS, drained_in) * (1.0 + SPREAD * part)
    return min(LONGEST_SECONDS, wait)
