"""How long work takes on a server at present, as it states, against its usual time."""

from __future__ import annotations

import collections
import math
import typing
from collections.abc import Iterable

from tealcove import ids

# Seconds after which a statement has no effect any more. Slow moments of servers last
# about as long.
FRESH_SECONDS = 0.6
# Time constant in seconds of the mean of a server's factors: long against slow moments.
USUAL_SECONDS = 10.0
# Statements that are kept for learning: those of the last seconds of a busy server.
MAX_SAMPLES = 64
# Smallest factor that counts: with smaller ones, the mean could become 0.
MIN_FACTOR = 0.01
# Bounds of the relative factor that is applied. The usual factor is a mean that has the
# slow moments in it, so that a true factor is hardly less than half of it. A false one
# is divided out of learned times: with 0.1, servers that stated 20 instead of 100 were
# predicted to take several times as long as they did, and requests were refused.
MIN_RELATIVE = 0.5
MAX_RELATIVE = 20.0
# Smaller differences from the usual time are within what is measured.
NEGLIGIBLE = 0.03


class Sample(typing.NamedTuple):
    """One statement: when it was made, and how long work took then."""

    at: float
    factor: float


class TimeFactor:
    """The factors that one server states.

    Speeds are learned for the server's usual factor, so that without a fresh statement
    predictions are what they are for servers that state nothing, also if a server
    always states the same factor other than 1. The effect of a statement decays with
    its age, since slow moments end: the server's speed is assumed to return linearly
    to the usual one. Of a long stream, only the beginning is slower.
    """

    def __init__(self) -> None:
        self.samples: collections.deque[Sample] = collections.deque(maxlen=MAX_SAMPLES)
        # Mean of the stated factors over time.
        self.usual = 1.0
        # How far statements are trusted, from 0 to 1.
        self.weight = 1.0
        # Work done until the last statement, in seconds at the usual speed.
        self.work = 0.0
        # When the last statement was made, the speed that it states, relative to the
        # usual one, and whether the statement has an effect.
        self.at = -math.inf
        self.speed = 1.0
        self.has_effect = False

    def record(self, factor: float | None, at: float) -> None:
        """Record a statement unless a later one is known; None: no factor is stated."""
        if at <= self.at:
            return
        self.work = self.work_at(at) if self.samples else at
        stated = self.usual if factor is None else max(MIN_FACTOR, factor)
        if self.samples:
            seconds = min(FRESH_SECONDS, at - self.at)
            self.usual += seconds / USUAL_SECONDS * (stated - self.usual)
        self.at = at
        self.samples.append(Sample(at, stated))
        self.update()

    def trust(self, weight: float) -> None:
        """Set how far statements are trusted, from 0 to 1."""
        self.weight = weight
        self.update()

    def update(self) -> None:
        """Compute the effect of the last statement."""
        if not self.samples:
            return
        relative = self.relative(self.samples[-1].factor, self.weight)
        self.has_effect = abs(relative - 1.0) > NEGLIGIBLE
        self.speed = 1.0 / relative if self.has_effect else 1.0

    def relative(self, factor: float, weight: float) -> float:
        """Return a factor relative to the usual one, as far as it is trusted."""
        found = 1.0 + weight * (factor / self.usual - 1.0)
        return min(MAX_RELATIVE, max(MIN_RELATIVE, found))

    def present(self, now: ids.Instant) -> float:
        """Return by how much longer than usual work takes now."""
        age = now - self.at
        if not self.has_effect or age >= FRESH_SECONDS:
            return 1.0
        return 1.0 / (self.speed + (1.0 - self.speed) * age / FRESH_SECONDS)

    def stretch(self, seconds: float, now: ids.Instant) -> float:
        """Return how long work takes from now on which usually takes `seconds`."""
        age = now - self.at
        if not self.has_effect or age >= FRESH_SECONDS:
            return seconds
        return stretched(seconds, self.speed, age)

    def stretch_as_stated(self, seconds: float, now: ids.Instant) -> float:
        """Return the same by the last statement alone, whether or not it is trusted."""
        age = now - self.at
        if age >= FRESH_SECONDS:
            return seconds
        relative = self.relative(self.samples[-1].factor, 1.0)
        if abs(relative - 1.0) <= NEGLIGIBLE:
            return seconds
        return stretched(seconds, 1.0 / relative, age)

    def ends(self, left: Iterable[float], now: ids.Instant) -> list[float]:
        """Return when pieces of work end that usually take so many seconds more."""
        age = now - self.at
        if not self.has_effect or age >= FRESH_SECONDS:
            return [now + max(0.0, seconds) for seconds in left]
        return [now + stretched(max(0.0, one), self.speed, age) for one in left]

    def work_at(self, now: float) -> float:
        """Return the work done by now, in seconds at the usual speed, from any zero."""
        if not self.samples:
            return now
        age = now - self.at
        if not self.has_effect or age <= 0.0:
            return self.work + age
        return self.work + work_between(self.speed, 0.0, age)

    def usual_seconds(self, began: float, ended: float) -> float:
        """Return the seconds that work would usually have taken which took this time.

        Statements made meanwhile count, each for the time nearest to it; the last one
        before counts only if there is none.
        """
        inside = [one for one in self.samples if began <= one.at <= ended]
        if not inside:
            before = [one for one in self.samples if one.at < began]
            if not before:
                return ended - began
            speed = 1.0 / self.relative(before[-1].factor, self.weight)
            age = began - before[-1].at
            return work_between(speed, age, age + ended - began)
        work = 0.0
        start = began
        for place, sample in enumerate(inside):
            is_last = place + 1 == len(inside)
            end = ended if is_last else (sample.at + inside[place + 1].at) / 2.0
            near = max(0.0, min(end, sample.at + FRESH_SECONDS) - start)
            work += near / self.relative(sample.factor, self.weight)
            work += max(0.0, end - start - near)
            start = end
        return work


def stretched(seconds: float, speed: float, age: float) -> float:
    """Return the time for work at a speed that was stated `age` seconds ago.

    The speed returns linearly to 1 at FRESH_SECONDS; the work done by then is its
    integral.
    """
    slope = (1.0 - speed) / FRESH_SECONDS
    present = speed + slope * age
    left = FRESH_SECONDS - age
    until_usual = left * (present + 1.0) / 2.0
    if seconds >= until_usual:
        return left + seconds - until_usual
    return (math.sqrt(present * present + 2.0 * slope * seconds) - present) / slope


def work_between(speed: float, begin: float, end: float) -> float:
    """Return the work done between two ages of a statement of a relative speed."""
    from_usual = max(begin, min(end, FRESH_SECONDS))
    slope = (1.0 - speed) / FRESH_SECONDS
    mean = speed + slope * (begin + from_usual) / 2.0
    return mean * (from_usual - begin) + end - from_usual
