"""A straight line fitted to observations, of which old ones count less and less."""

from __future__ import annotations

import msgspec

# The part of its weight that an observation keeps when the next one comes.
KEEP = 0.9
# What the line that it starts from counts, against 1 for a whole observation.
PRIOR_WEIGHT = 0.5
# Where x varies by less than this part of the line's span (as a standard
# deviation), its start tells more of the slope than the observations.
LEAST_SPREAD = 0.1


class Line(msgspec.Struct):
    """y = intercept + slope * x, both never below zero."""

    intercept: float
    slope: float
    # The range of x over which the line is of use.
    span: float
    # The slope that it started from.
    start_slope: float
    # Sums over the observations: of weights, x, y, x * x and x * y.
    weight: float = 0.0
    sum_x: float = 0.0
    sum_y: float = 0.0
    sum_xx: float = 0.0
    sum_xy: float = 0.0

    @classmethod
    def start(cls, intercept: float, slope: float, span: float) -> Line:
        """Return a line to start from, known at 0 and at `span`."""
        line = cls(intercept, slope, span, slope)
        line.add(0.0, intercept, PRIOR_WEIGHT)
        line.add(span, intercept + slope * span, PRIOR_WEIGHT)
        return line

    def at(self, x: float) -> float:
        """Return y at x."""
        return self.intercept + self.slope * x

    def observe(
        self, x: float, y: float, weight: float = 1.0, keep: float = KEEP
    ) -> None:
        """Take in an observation; `keep` says how fast it may push out the old."""
        # A light observation fades the others by its own weight only.
        self.fade(1.0 - (1.0 - keep) * min(1.0, weight))
        self.add(x, y, weight)
        self.solve()

    def doubt(self, weight: float) -> None:
        """Let all observations together count so much at the most."""
        if self.weight > weight:
            self.fade(weight / self.weight)

    def fade(self, factor: float) -> None:
        """Let all observations count less."""
        self.weight *= factor
        self.sum_x *= factor
        self.sum_y *= factor
        self.sum_xx *= factor
        self.sum_xy *= factor

    def add(self, x: float, y: float, weight: float) -> None:
        """Add an observation to the sums."""
        self.weight += weight
        self.sum_x += weight * x
        self.sum_y += weight * y
        self.sum_xx += weight * x * x
        self.sum_xy += weight * x * y

    def solve(self) -> None:
        """Fit the line to the sums: least squares, drawn to the start's slope.

        Without that, a server that is always full would have a slope of noise, and
        predictions for the empty server would be far off.
        """
        mean_x = self.mean()
        mean_y = self.sum_y / self.weight
        spread = self.sum_xx / self.weight - mean_x * mean_x
        product = self.sum_xy / self.weight - mean_x * mean_y
        pull = (LEAST_SPREAD * self.span) ** 2
        slope = (product + pull * self.start_slope) / (max(0.0, spread) + pull)
        self.slope = max(0.0, slope)
        self.intercept = mean_y - self.slope * mean_x
        if self.intercept < 0.0:
            self.intercept = 0.0
            self.slope = self.sum_xy / self.sum_xx if self.sum_xx else 0.0

    def mean(self) -> float:
        """Return the mean x of the observations: where the line is known best."""
        return self.sum_x / self.weight if self.weight else 0.0
