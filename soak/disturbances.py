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
    def disturbed(self, *parts: str) -> Iterator[None]:
        """Record parts as disturbed while the context is active."""
        found = [Disturbance(part, clock.now()) for part in parts]
        self.disturbances.extend(found)
        try:
            yield
        finally:
            for one in found:
                one.ended = clock.now()

    def is_undisturbed(self, at: ids.Instant, *parts: str) -> bool:
        """Tell whether parts were undisturbed and had settled at a time."""
        return self.is_undisturbed_between(ids.Instant(at - SETTLE_SECONDS), at, *parts)

    def is_undisturbed_between(
        self, since: ids.Instant, until: ids.Instant, *parts: str
    ) -> bool:
        """Tell whether parts were undisturbed for a whole period."""
        return not any(
            one.part in parts and one.began <= until and since < one.ended
            for one in self.disturbances
        )

    def changes_between(
        self, since: ids.Instant, until: ids.Instant, *parts: str
    ) -> bool:
        """Tell whether a disturbance of some parts began or ended in a period."""
        return any(
            one.part in parts
            and (since <= one.began <= until or since <= one.ended <= until)
            for one in self.disturbances
        )


def process_of(member: str) -> str:
    """Return the part that is disturbed when an instance's process stands still."""
    return f"process of {member}"
