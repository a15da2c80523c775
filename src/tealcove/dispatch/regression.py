"""A straight line fitted to observations, of which old ones count less and less."""

from __future__ import annotations

import msgspec

# The part of its weight that an observation keeps when the next one comes.
DECAY = 0.9
# What the line that it starts from counts, against 1 for a whole observation.
PRIOR_WEIGHT = 0.5
# Where x varies by less than this part of the line's span (as a standard
# deviation), its start tells more of the slope than the observations.
MIN_SPREAD = 0.1


class LinearRegression(msgspec.Struct):
    """y = intercept + slope * x, both never below zero."""

    intercept: float
    slope: float
    # The range of x over which the line is of use.
    span: float
    # The slope that it started from.
    prior_slope: float
    # Sums over the observations: of weights, x, y, x * x and x * y.
    weight: float = 0.0
    sum_x: float = 0.0
    sum_y: float = 0.0
    sum_xx: float = 0.0
    sum_xy: float = 0.0

    @classmethod
    def from_prior(
        cls, intercept: float, slope: float, span: float
    ) -> LinearRegression:
        """Return a line to start from, known at 0 and at `span`."""
        fitted = cls(intercept, slope, span, slope)
        fitted.add(0.0, intercept, PRIOR_WEIGHT)
        fitted.add(span, intercept + slope * span, PRIOR_WEIGHT)
        return fitted

    def value_at(self, x: float) -> float:
        """Return y at x."""
        return self.intercept + self.slope * x

    def observe(
        self, x: float, y: float, weight: float = 1.0, decay: float = DECAY
    ) -> None:
        """Take in an observation; `decay` says how fast it may push out the old."""
        # A light observation fades the others by its own weight only.
        self.scale_weights(1.0 - (1.0 - decay) * min(1.0, weight))
        self.add(x, y, weight)
        self.fit()

    def limit_weight(self, weight: float) -> None:
        """Let all observations together count so much at the most."""
        if self.weight > weight:
            self.scale_weights(weight / self.weight)

    def scale_weights(self, factor: float) -> None:
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

    def fit(self) -> None:
        """Fit the line to the sums: least squares, drawn to the start's slope.

        Without that, a server that is always full would have a slope of noise, and
        predictions for the empty server would be far off.
        """
        mean_x = self.mean()
        mean_y = self.sum_y / self.weight
        spread = self.sum_xx / self.weight - mean_x * mean_x
        product = self.sum_xy / self.weight - mean_x * mean_y
        pull = (MIN_SPREAD * self.span) ** 2
        slope = (product + pull * self.prior_slope) / (max(0.0, spread) + pull)
        self.slope = max(0.0, slope)
        self.intercept = mean_y - self.slope * mean_x
        if self.intercept < 0.0:
            self.intercept = 0.0
            self.slope = self.sum_xy / self.sum_xx if self.sum_xx else 0.0

    def mean(self) -> float:
        """Return the mean x of the observations: where the line is known best."""
        return self.sum_x / self.weight if self.weight else 0.0
