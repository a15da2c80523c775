"""Reads the figures by which backend servers state their load."""

from __future__ import annotations

from tealcove import count
from tealcove.dispatch import messages

# Requests that run and that wait, and slots; servers may add how long work takes.
FIGURES = 3
# The fourth figure of a server whose work takes the normal time.
NORMAL_TIME = 100.0
# Largest figures that count: of requests and slots, and for the time that work takes. A
# garbled header would otherwise take a server out of service until it is out of date.
MAX_REQUESTS = 1e6
MAX_TIME = 100.0 * NORMAL_TIME


def decode(texts: list[str]) -> messages.StatedLoad | None:
    """Return the load that these figures state; None for any other texts."""
    if len(texts) not in (FIGURES, FIGURES + 1):
        return None
    figures = [count.read_number(text) for text in texts]
    if None in figures:
        return None
    running, waiting, slots, *times = figures
    if max(running, waiting, slots) > MAX_REQUESTS:
        return None
    if not all(0.0 < time / NORMAL_TIME <= MAX_TIME / NORMAL_TIME for time in times):
        return None
    factor = times[0] / NORMAL_TIME if times else None
    return messages.StatedLoad(running, waiting, slots, factor)
