"""What the answers of a new version say of it, compared with the old ones'."""

from __future__ import annotations

import collections
import math
from collections.abc import Iterable, Sequence

import msgspec

# A version is taken for bad whose answers fail more often than the old ones' by this
# part of those that don't fail there.
EXCESS_FAILURE_RATE = 0.2
# How often a good version may be taken for bad at one answer, by one test. A version
# has one for each route and one for all together, and some hundred answers.
FALSE_ALARM_RATE = 1e-5
ALARM_THRESHOLD = math.log(1.0 / FALSE_ALARM_RATE)
# What is taken for the old versions' failures before any was seen: one in fifty.
PRIOR_FAILURES = 1.0
PRIOR_ANSWERS = 50.0
# Answers of the old versions that are remembered on a route: older ones count half.
MAX_BASELINE_ANSWERS = 1000
# The test of all routes together.
ALL_ROUTES = ""
# A version of which servers take longer than the old ones' by this factor is bad: the
# middle between one that is alike and one that takes three times as long.
SLOWDOWN_THRESHOLD = math.sqrt(3.0)
# Servers of one version aren't alike, and a slow machine says nothing of a version. The
# old servers' fastest quarter is compared with the second fastest of the new ones, when
# all that are on trial are known.
SECOND_FASTEST = 1
# Seconds by which they have to differ at least: a few milliseconds are the machines'.
MIN_DIFFERENCE = 0.01


class AnswerCounts(msgspec.Struct):
    """Answers of one side on one route."""

    answers: int = 0
    failures: int = 0


class Evidence:
    """A sequential test of failures by route, and a comparison of paces.

    The test is Page's cumulative sum (CUSUM): the old versions' failure rate against
    that rate plus EXCESS_FAILURE_RATE. The baseline is taken per route, so that a route
    whose requests fail with every version doesn't count against the new one.
    """

    def __init__(self) -> None:
        self.old: dict[str, AnswerCounts] = collections.defaultdict(AnswerCounts)
        self.start_version()

    def start_version(self) -> None:
        """Begin anew with a new version; what is known of the old ones stays."""
        # Answers of the new version, and the cumulative sums of its tests.
        self.new: dict[str, AnswerCounts] = collections.defaultdict(AnswerCounts)
        self.log_ratios: dict[str, float] = collections.defaultdict(float)

    def record_old(self, route: str, has_failed: bool) -> None:
        """Take in an answer of an old version."""
        for key in (route, ALL_ROUTES):
            known = self.old[key]
            add_answer(known, has_failed)
            if known.answers >= MAX_BASELINE_ANSWERS:
                known.answers //= 2
                known.failures //= 2

    def record_new(self, route: str, has_failed: bool) -> None:
        """Take in an answer of the new version."""
        for key in (route, ALL_ROUTES):
            add_answer(self.new[key], has_failed)
            expected = self.baseline_failure_rate(key)
            bad = expected + EXCESS_FAILURE_RATE * (1.0 - expected)
            ratio = bad / expected if has_failed else (1.0 - bad) / (1.0 - expected)
            # Never below 0: a version may be good at first and bad later.
            self.log_ratios[key] = max(0.0, self.log_ratios[key] + math.log(ratio))

    def baseline_failure_rate(self, key: str) -> float:
        """Return the old versions' part of failures, and one standard error more."""
        known = self.old[key]
        answers = known.answers + PRIOR_ANSWERS
        part = min(0.9, (known.failures + PRIOR_FAILURES) / answers)
        return min(0.9, part + math.sqrt(part * (1.0 - part) / answers))

    def failure_reason(self) -> str | None:
        """Return why the new version is bad by its failures; None: it isn't."""
        for key, found in self.log_ratios.items():
            if found > ALARM_THRESHOLD:
                seen = self.new[key]
                where = f"of route {key}" if key else "of all routes"
                return (
                    f"{seen.failures} of {seen.answers} answers {where} failed, "
                    f"{self.baseline_failure_rate(key):.3f} of the old ones'"
                )
        return None


def add_answer(counts: AnswerCounts, has_failed: bool) -> None:
    """Add one answer."""
    counts.answers += 1
    counts.failures += has_failed


def slowdown_reason(
    old: Iterable[Sequence[float]], new: Iterable[Sequence[float]]
) -> str | None:
    """Return why a version is bad by its servers' paces; None: it isn't.

    Each server has its seconds for each of several things, in one order; 0: unknown.
    """
    # No pair at all where a side has no server.
    columns = zip(zip(*old, strict=True), zip(*new, strict=True), strict=False)
    for known, seen in columns:
        before = sorted(pace for pace in known if pace > 0.0)
        after = sorted(seen)
        if not before or len(after) <= SECOND_FASTEST or after[0] <= 0.0:
            continue
        usual = before[len(before) // 4]
        times = after[SECOND_FASTEST] / usual
        if (
            times > SLOWDOWN_THRESHOLD
            and after[SECOND_FASTEST] - usual > MIN_DIFFERENCE
        ):
            return f"its servers take {times:.1f} times as long"
    return None
