"""Estimate of prefill time: base and rate per server, a quadratic term for all.

Goals are met or missed by tens of milliseconds, and those of long prompts by the choice
of server. The time to a first event is the server's base time plus the prefill work
before it, at the server's rate.
"""

from __future__ import annotations

# A server's rate before its first observation, in seconds per token: that of a fast
# engine, since a rate that is too slow would refuse work that it could serve.
INITIAL_RATE = 1 / 50_000
# Lower bound of the learnt rate, ten times as fast as the fastest engine seen: a short
# prompt that is answered within the base time would make it 0, and then divisions by
# the rate would fail.
MIN_RATE = 1 / 600_000
# Seconds from dispatch to the first event that don't depend on the prompt: the initial
# value and the bounds. .03 to .06 s on engines of three grades.
INITIAL_BASE = 0.03
MIN_BASE = 0.005
MAX_BASE = 0.5
# Weight of a new observation of the base; single ones are off by an engine step or two.
BASE_WEIGHT = 0.1
# Factor on the weight of earlier observations of the rate at each new one. The last ten
# count for two thirds, so that a slowdown is noticed within 2 s at a dozen first events
# a second, and a single late one changes little.
DECAY = 0.9
# Relative increase of a token's prefill time for each token before it: the initial
# value and the upper bound. Known values are 7e-6 to 17e-6.
INITIAL_COEFFICIENT = 1e-5
MAX_COEFFICIENT = 1e-4
# Shortest prompt from which the coefficient is learnt: at 12,000 tokens the quadratic
# term is a tenth and more.
LONG_PROMPT = 12_000
# Weight of the initial coefficient, in prompts of that length.
QUADRATIC_PRIOR = 5.0
QUADRATIC_DECAY = 0.98


class QuadraticCost:
    """Quadratic term of the prefill time; shared by the servers of a cell's model."""

    def __init__(self) -> None:
        self.coefficient = INITIAL_COEFFICIENT
        self.pairs = QUADRATIC_PRIOR * float(LONG_PROMPT) ** 4
        self.excess = self.pairs * INITIAL_COEFFICIENT

    def work(self, prompt: float) -> float:
        """Return the prefill work of a prompt, in tokens of a short prompt."""
        return prompt * (1.0 + self.coefficient * prompt)

    def learn(self, prompt: int, tokens: float) -> None:
        """Update the coefficient from a prompt's prefill work."""
        if prompt < LONG_PROMPT:
            return
        pairs = float(prompt) * prompt
        self.pairs = QUADRATIC_DECAY * self.pairs + pairs * pairs
        self.excess = QUADRATIC_DECAY * self.excess + pairs * (tokens - prompt)
        self.coefficient = min(MAX_COEFFICIENT, max(0.0, self.excess / self.pairs))


class Prefill:
    """The base time and rate of one server."""

    def __init__(self, quadratic: QuadraticCost) -> None:
        self.quadratic = quadratic
        self.base = INITIAL_BASE
        self.rate = INITIAL_RATE
        # Decaying sums over observations: of work, and of seconds beyond the base.
        self.works = 0.0
        self.seconds = 0.0

    def copy_from(self, other: Prefill) -> None:
        """Start from the estimates of another server."""
        self.base, self.rate = other.base, other.rate

    def first_seconds(self, work: float) -> float:
        """Return the seconds to a first event after so much work."""
        return self.base + work * self.rate

    def remaining_work(self, prompt: int, seconds: float) -> float:
        """Return the work that remains of a prompt after some seconds."""
        return max(0.0, self.quadratic.work(prompt) - seconds / self.rate)

    def learn(self, prompt: int, work: float, seconds: float) -> None:
        """Update the estimates from a first event; `work` includes the prompt's own.

        Observations are weighted by work. A short prompt mostly waits for engine steps
        of other requests: with equal weights, one of 300 tokens that took .1 s would
        make 6,000 tokens seem to take .6 s, six times too long.
        """
        if work <= 0.0:
            return
        self.works = DECAY * self.works + work
        self.seconds = DECAY * self.seconds + (seconds - self.base)
        self.rate = max(MIN_RATE, self.seconds / self.works)
        if work * self.rate < self.base:
            seen = seconds - work * self.rate
            self.base += BASE_WEIGHT * (seen - self.base)
            self.base = min(MAX_BASE, max(MIN_BASE, self.base))
        others = work - self.quadratic.work(prompt)
        self.quadratic.learn(prompt, (seconds - self.base) / self.rate - others)
