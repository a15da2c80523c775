"""The times at which parts of a deployment were disturbed by faults."""

from __future__ import annotations

import contextlib
import math
from collections.abc import Iterator

import msgspec

from tealcove import clock, ids

# Seconds after a disturbance within which its part isn't checked.
SETTLE_SECONDS = 3.0
# The store as a part, which is disturbed for all instances at once.
STORE = "store"


class Disturbance(msgspec.Struct):
    """The period in which a part was disturbed."""

    part: str
    began: ids.Instant
    ended: ids.Instant = ids.Instant(math.inf)


class DisturbanceLog:
    """Records all disturbances of a soak."""

    def __init__(self) -> None:
        self.disturbances: list[Disturbance] = []

    @contextlib.contextmanager
    def disturbed(self, part: str) -> Iterator[None]:
        """Record a part as disturbed while the context is active."""
        one = Disturbance(part, clock.now())
        self.disturbances.append(one)
        try:
            yield
        finally:
            one.ended = clock.now()

    def is_undisturbed(self, at: ids.Instant, *parts: str) -> bool:
        """Tell whether parts were undisturbed and had settled at a time."""
        return not any(
            one.part in parts and one.began <= at < one.ended + SETTLE_SECONDS
            for one in self.disturbances
        )
