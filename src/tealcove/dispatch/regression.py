"""Linear regression with exponentially decaying weights."""

from __future__ import annotations

import msgspec

# Factor by which each new observation reduces the weight of older ones.
DECAY = 0.9
# Weight of each of the prior's two points, against 1 for a full observation.
PRIOR_WEIGHT = 0.5
# Where the standard deviation of x is less than this share of the span, the prior has
# more influence on the slope than the observations.
MIN_SPREAD = 0.1


class LinearRegression(msgspec.Struct):
    """y = intercept + slope * x, with neither below zero."""

    intercept: float
    slope: float
    # The expected range of x.
    span: float
    # The slope of the prior.
    prior_slope: float
    # Weighted sums over the observations: of 1, x, y, x * x and x * y.
    weight: float = 0.0
    sum_x: float = 0.0
    sum_y: float = 0.0
    sum_xx: float = 0.0
    sum_xy: float = 0.0

    @classmethod
    def from_prior(
        cls, intercept: float, slope: float, span: float
    ) -> LinearRegression:
        """Return a regression whose prior is two points, at 0 and at `span`."""
        fitted = cls(intercept, slope, span, slope)
        fitted.add(0.0, intercept, PRIOR_WEIGHT)
        fitted.add(span, intercept + slope * span, PRIOR_WEIGHT)
        return fitted

    def value_at(self, x: float) -> float:
        """Return the fitted y at x."""
        return self.intercept + self.slope * x

    def observe(
        self, x: float, y: float, weight: float = 1.0, decay: float = DECAY
    ) -> None:
        """Add an observation, reduce the weight of older ones, and fit the line."""
        # An observation of a small weight reduces the others' in proportion.
        self.scale_weights(1.0 - (1.0 - decay) * min(1.0, weight))
        self.add(x, y, weight)
        self.fit()

    def limit_weight(self, weight: float) -> None:
        """Limit the total weight of all observations."""
        if self.weight > weight:
            self.scale_weights(weight / self.weight)

    def scale_weights(self, factor: float) -> None:
        """Multiply the weights of all observations by a factor."""
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
        """Fit by least squares, with the slope regularised towards the prior's.

        Otherwise the slope of a server that is always full would be noise, and
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
        """Return the mean x of the observations, where the fit is most precise."""
        return self.sum_x / self.weight if self.weight else 0.0
