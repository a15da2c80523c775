"""How long prompts take to be read: learnt for each server, and the square for all.

Callers' goals are met or missed by tens of milliseconds, and those of long prompts by
where they're read. The time to a first event is the server's base, and the work that is
to be read before it, at the server's rate.
"""

from __future__ import annotations

# What is taken for a server's rate until the first event tells, in seconds a token: a
# fast engine's, since a guess that is too slow would refuse work that it could serve.
INITIAL_RATE = 1 / 50_000
# A rate that is learnt is never less: a short prompt that is answered within the base
# time would make it 0, and nothing could be divided by it any more. Ten times as fast
# as the fastest engine seen.
MIN_RATE = 1 / 600_000
# Seconds from dispatch to the first event that no prompt token explains: at first, and
# between which bounds it's learnt. .03 to .06 s on engines of three grades.
INITIAL_BASE = 0.03
MIN_BASE = 0.005
MAX_BASE = 0.5
# The weight of a new observation of the base; single ones are off by a step or two.
BASE_WEIGHT = 0.1
# What an observation of the rate keeps of its weight when the next one comes: ten count
# for two thirds, so that a server that has slowed down is known within 2 s at a dozen
# first events a second, and a single late one changes little.
DECAY = 0.9
# Part by which a prompt token takes longer for each token before it: at first, and at
# the most. 7e-6 to 17e-6 where it's known.
INITIAL_COEFFICIENT = 1e-5
MAX_COEFFICIENT = 1e-4
# Prompts from which the square shows: at 12,000 tokens a tenth and more.
LONG_PROMPT = 12_000
# What the first guess of the square counts, in prompts of that length.
QUADRATIC_PRIOR = 5.0
QUADRATIC_DECAY = 0.98


class QuadraticCost:
    """How much longer a token takes by the tokens before it; one for a cell's model."""

    def __init__(self) -> None:
        self.coefficient = INITIAL_COEFFICIENT
        self.pairs = QUADRATIC_PRIOR * float(LONG_PROMPT) ** 4
        self.excess = self.pairs * INITIAL_COEFFICIENT

    def work(self, prompt: float) -> float:
        """Return what a prompt is to read, in tokens of a short one."""
        return prompt * (1.0 + self.coefficient * prompt)

    def learn(self, prompt: int, tokens: float) -> None:
        """Learn from a prompt that took as long as so many tokens of a short one."""
        if prompt < LONG_PROMPT:
            return
        pairs = float(prompt) * prompt
        self.pairs = QUADRATIC_DECAY * self.pairs + pairs * pairs
        self.excess = QUADRATIC_DECAY * self.excess + pairs * (tokens - prompt)
        self.coefficient = min(MAX_COEFFICIENT, max(0.0, self.excess / self.pairs))


class Prefill:
    """One server's base and rate."""

    def __init__(self, quadratic: QuadraticCost) -> None:
        self.quadratic = quadratic
        self.base = INITIAL_BASE
        self.rate = INITIAL_RATE
        # Sums over observations: of work, and of the seconds beyond the base.
        self.works = 0.0
        self.seconds = 0.0

    def copy_from(self, other: Prefill) -> None:
        """Start from what is known of another server."""
        self.base, self.rate = other.base, other.rate

    def first_seconds(self, work: float) -> float:
        """Return the seconds to a first event with so much work before it."""
        return self.base + work * self.rate

    def remaining_work(self, prompt: int, seconds: float) -> float:
        """Return the work that is left of a prompt after some seconds."""
        return max(0.0, self.quadratic.work(prompt) - seconds / self.rate)

    def learn(self, prompt: int, work: float, seconds: float) -> None:
        """Learn from the time to a first event; `work` includes the prompt's own.

        Each counts by its work. The time of a short prompt is that of others' steps
        that happen to be under way: were all to count alike, one of 300 tokens that
        took .1 s would make 6,000 tokens seem to take .6 s, six times too long.
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
