"""When which parts of a deployment were undisturbed, as far as rules with bounds go."""

from __future__ import annotations

import contextlib
import math
from collections.abc import Iterator

import msgspec

from tealcove import clock, ids

# Seconds after a disturbance within which nothing is asked of its part.
SETTLE_SECONDS = 3.0
# The part that is disturbed when the store is, for everybody.
STORE = "store"


class Disturbance(msgspec.Struct):
    """A part that something was done to, and when."""

    part: str
    began: ids.Instant
    ended: ids.Instant = ids.Instant(math.inf)


class DisturbanceLog:
    """All disturbances of a soak."""

    def __init__(self) -> None:
        self.disturbances: list[Disturbance] = []

    @contextlib.contextmanager
    def disturbed(self, part: str) -> Iterator[None]:
        """Note that a part is disturbed for as long as the context lasts."""
        one = Disturbance(part, clock.now())
        self.disturbances.append(one)
        try:
            yield
        finally:
            one.ended = clock.now()

    def is_undisturbed(self, at: ids.Instant, *parts: str) -> bool:
        """Tell whether parts were undisturbed then and for long enough before."""
        return not any(
            one.part in parts and one.began <= at < one.ended + SETTLE_SECONDS
            for one in self.disturbances
        )
