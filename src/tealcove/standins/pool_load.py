"""The load of a stand-in's server: how it slows its work down, and what it states."""

from __future__ import annotations

import collections
import enum

import msgspec

from tealcove import ids

NORMAL_TIME = 100.0
# Statements that are kept to be made late.
MAX_KEPT = 1000


class Stating(enum.Enum):
    """Whether and how a server states its load."""

    NOT = "not"
    TRULY = "truly"
    # As it was some seconds ago.
    LATE = "late"
    # Fast as slow and slow as fast, and idle as full.
    FALSELY = "falsely"
    # The same figures all the time.
    CONSTANTLY = "constantly"


class PoolLoad(msgspec.Struct):
    """The settings of a server's load; they may be changed while it runs."""

    stating: Stating = Stating.NOT
    # How long work takes now; 1 is normal.
    time_factor: float = 1.0
    # Whether it states that as the fourth figure.
    states_time: bool = True
    # Requests of others that run and wait there.
    others: int = 0
    waiting: int = 0
    # Relative time of work by the number of requests that run, from one on; the last
    # value holds for all larger numbers.
    slowdown: tuple[float, ...] = (1.0,)
    # Seconds by which statements are late.
    late_seconds: float = 1.0
    # The value of the header of a server that always states the same.
    constant: str = "0,0,0,100"
    # What would have been stated truly, and when.
    kept: collections.deque[tuple[float, str]] = msgspec.field(
        default_factory=lambda: collections.deque(maxlen=MAX_KEPT)
    )

    def seconds(self, seconds: float, running: int) -> float:
        """Return how long work takes now that normally takes `seconds`."""
        place = min(len(self.slowdown), max(1, running + self.others)) - 1
        return seconds * self.time_factor * self.slowdown[place]

    def header(self, running: int, slots: int, now: ids.Instant) -> str | None:
        """Return the value of the header; None: there is none."""
        total = running + self.others
        true = self.written(total, slots, self.time_factor)
        self.kept.append((now, true))
        if self.stating is Stating.NOT:
            return None
        if self.stating is Stating.CONSTANTLY:
            return self.constant
        if self.stating is Stating.FALSELY:
            return self.written(max(0, slots - total), slots, 1.0 / self.time_factor)
        if self.stating is Stating.LATE:
            old = [text for at, text in self.kept if at <= now - self.late_seconds]
            return old[-1] if old else self.kept[0][1]
        return true

    def written(self, running: int, slots: int, factor: float) -> str:
        """Return figures as they are written in the header."""
        figures = f"{running},{self.waiting},{slots}"
        return f"{figures},{factor * NORMAL_TIME:g}" if self.states_time else figures
