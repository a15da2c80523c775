"""Whether what servers state of their load agrees with what is measured."""

from __future__ import annotations

import math

# Factor on the weight of earlier observations at each new one: the last twenty of a
# server count for two thirds, those of some seconds.
DECAY = 0.95
FLEET_DECAY = 0.998
# Observations of a server against which the other servers' count.
FLEET_WEIGHT = 5.0
# Observations, of all servers together, before any statement is judged.
MIN_OBSERVATIONS = 10.0
# How much larger the variance of the predictions' errors must be with the statements
# than without: a factor, and a variance, so that noise alone condemns nothing.
MARGIN_FACTOR = 1.25
MARGIN = 0.01
# The same for counts of requests, in squared requests of a server's decayed sum.
COUNT_MARGIN = 4.0


class Spread:
    """Decayed mean and variance of the logarithms of errors."""

    def __init__(self, decay: float) -> None:
        self.decay = decay
        self.weight = 0.0
        self.sum = 0.0
        self.squares = 0.0

    def add(self, value: float) -> None:
        """Add an observation."""
        self.weight = self.decay * self.weight + 1.0
        self.sum = self.decay * self.sum + value
        self.squares = self.decay * self.squares + value * value

    @property
    def variance(self) -> float:
        """The variance; 0 without observations."""
        if not self.weight:
            return 0.0
        mean = self.sum / self.weight
        return max(0.0, self.squares / self.weight - mean * mean)


class Errors:
    """Errors of predictions with and without the statements.

    Variances are compared, not mean errors: a constant error is learned away, and says
    nothing of the statements.
    """

    def __init__(self, decay: float) -> None:
        self.stated = Spread(decay)
        self.plain = Spread(decay)

    def add(self, stated: float, plain: float) -> None:
        """Add the logarithms of two predictions' errors for one measurement."""
        self.stated.add(stated)
        self.plain.add(plain)


class FactorEvidence:
    """Whether one server's time factors make its predictions better or worse."""

    def __init__(self, fleet: Errors) -> None:
        self.own = Errors(DECAY)
        # Of all servers of the cell: a new one is judged by the others at first.
        self.fleet = fleet
        self.is_trusted = True

    def record(self, stated: float, plain: float, measured: float) -> bool:
        """Compare two predicted times with the measured one, in seconds.

        Returns whether the trust has changed.
        """
        if min(stated, plain, measured) <= 0.0:
            return False
        errors = math.log(measured / stated), math.log(measured / plain)
        self.own.add(*errors)
        self.fleet.add(*errors)
        before = self.is_trusted
        self.is_trusted = self.judge()
        return self.is_trusted is not before

    def judge(self) -> bool:
        """Return whether the statements are to be trusted from now on."""
        if self.fleet.plain.weight < MIN_OBSERVATIONS:
            return self.is_trusted
        with_statements = self.combine(self.own.stated, self.fleet.stated)
        without = self.combine(self.own.plain, self.fleet.plain)
        if self.is_trusted:
            return with_statements <= MARGIN_FACTOR * without + MARGIN
        return with_statements < without

    def combine(self, own: Spread, fleet: Spread) -> float:
        """Return a variance by a server's own observations and the other servers'."""
        total = own.weight * own.variance + FLEET_WEIGHT * fleet.variance
        return total / (own.weight + FLEET_WEIGHT)


class CountEvidence:
    """Whether a server's counts of requests follow the requests that it was sent.

    Between two statements, the count changes by as many requests as were sent and
    ended meanwhile, and by others'. If it differs more from the requests of this
    dispatcher than from no change at all, it isn't a count of what runs there.
    """

    def __init__(self) -> None:
        self.with_own = 0.0
        self.alone = 0.0
        self.last: tuple[float, float] | None = None
        self.is_trusted = True

    def record(self, stated: float, own: float) -> bool:
        """Record a stated and an own count; tell whether trust changed."""
        last, self.last = self.last, (stated, own)
        if last is None:
            return False
        change, own_change = stated - last[0], own - last[1]
        self.with_own = DECAY * self.with_own + (change - own_change) ** 2
        self.alone = DECAY * self.alone + change**2
        before = self.is_trusted
        if before:
            limit = MARGIN_FACTOR * self.alone + COUNT_MARGIN
            self.is_trusted = self.with_own <= limit
        else:
            self.is_trusted = self.with_own < self.alone
        return self.is_trusted is not before
