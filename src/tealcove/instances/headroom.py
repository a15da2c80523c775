"""The headroom that an instance states, by which callers are distributed."""

from __future__ import annotations

from tealcove import ids

# Load above which an instance gets fewer callers, while its peers have headroom. It
# rises to the second value as theirs falls: if all went on to reduce theirs at a common
# high load, all would end at the least one, and the weights would say nothing.
HIGH_LOAD = 0.75
HIGHEST_LOAD = 1.0
# Distance below that, for the expected load with which an instance gets more callers:
# what one caller changes, with some twenty callers for each instance.
MARGIN = 0.05
# Values of the headroom in hundredths, from the whole to the least. Each is about a
# seventh below the one before: with equal steps, the last ones would halve the callers.
# With 0 for an overloaded instance, its callers overloaded one instance after the
# other, until all were in simulations.
LEVELS = (100, 90, 80, 70, 61, 53, 46, 40, 35, 30, 26, 23, 20, 17, 15, 13, 11, 10)
WHOLE, LEAST = LEVELS[0], LEVELS[-1]
# The most that an increase adds.
STEP = 10
# Seconds between two reductions. Callers ask the directory again after a second, and
# until then a reduction has no effect on the load.
REDUCTION_SECONDS = 1.0
# Seconds between two increases: a tenth a second.
INCREASE_SECONDS = 1.0
# Seconds after which the headroom is increased although the load is expected to become
# too high. Memory that doesn't fall with the number of callers would keep an instance
# without callers otherwise.
TRIAL_SECONDS = 10.0
# A reduction so many seconds after an increase shows that it was too early: the next
# one waits twice as long, up to the factor below. Seconds of one value that reset it.
FAILED_SECONDS = 10.0
MAX_BACKOFF = 32
RESET_SECONDS = 60.0


class Headroom:
    """Follows the load in steps, down in proportion and up slowly.

    An instance's load is taken to be proportional to its weight. It goes up only if the
    load that is expected then isn't too high; a rule by the present load alone would
    alternate between two values for ever.
    """

    def __init__(self, now: ids.Instant) -> None:
        self.value = WHOLE
        self.changed_at = ids.Instant(now - RESET_SECONDS)
        self.was_increased = False
        self.was_overloaded = False
        # Factor on the seconds until the next increase.
        self.backoff = 1

    def update(
        self,
        load: float,
        is_overloaded: bool,
        now: ids.Instant,
        peers: float = WHOLE,
    ) -> int:
        """Return the headroom in hundredths, given the largest fraction.

        `peers` is the mean headroom of the other instances of the data centre.
        """
        high = HIGH_LOAD + (HIGHEST_LOAD - HIGH_LOAD) * (1.0 - peers / WHOLE)
        is_new = is_overloaded and not self.was_overloaded
        self.was_overloaded = is_overloaded
        found = self.next_value(load, high, is_new, now)
        if found != self.value:
            self.change(found, now)
        return self.value

    def change(self, found: int, now: ids.Instant) -> None:
        """Apply a new value, and adapt the pace of increases."""
        since = now - self.changed_at
        is_increase = found > self.value
        if not is_increase and since >= RESET_SECONDS:
            self.backoff = 1
        elif not is_increase and self.was_increased and since < FAILED_SECONDS:
            self.backoff = min(MAX_BACKOFF, 2 * self.backoff)
        self.value = found
        self.changed_at = now
        self.was_increased = is_increase

    def next_value(
        self, load: float, high: float, is_new: bool, now: ids.Instant
    ) -> int:
        """Return the value that follows the present one."""
        since = now - self.changed_at
        if load > high or self.was_overloaded:
            may_reduce = is_new or since >= REDUCTION_SECONDS
            return self.reduced(load, high) if may_reduce else self.value
        if self.value == WHOLE or since < INCREASE_SECONDS * self.backoff:
            return self.value
        bearable = (high - MARGIN) * self.value / load if load > 0.0 else WHOLE
        if since >= TRIAL_SECONDS * self.backoff:
            bearable = WHOLE
        return max(self.value, level_below(min(bearable, self.value + STEP)))

    def reduced(self, load: float, high: float) -> int:
        """Return the value with which the load is expected to be bearable."""
        return min(self.value, level_below(self.value * high / load))


def level_below(value: float) -> int:
    """Return the highest level up to a value, or the least one."""
    return next((level for level in LEVELS if level <= value), LEAST)
