"""Statistical tests of a new version's failures and latencies against the old ones."""

from __future__ import annotations

import collections
import math
from collections.abc import Iterable, Sequence

import msgspec

# A version is bad if its failure rate exceeds the old versions' by this share of their
# success rate.
EXCESS_FAILURE_RATE = 0.2
# Probability that one test rejects a good version at one answer. A version has one test
# for each route and one for all routes together, and some hundred answers.
FALSE_ALARM_RATE = 1e-5
ALARM_THRESHOLD = math.log(1.0 / FALSE_ALARM_RATE)
# Prior for the old versions' failure rate, before any answer: one in fifty.
PRIOR_FAILURES = 1.0
PRIOR_ANSWERS = 50.0
# Answers of the old versions at which a route's counts are halved, so that recent
# answers weigh more.
MAX_BASELINE_ANSWERS = 1000
# Key of the test over all routes together.
ALL_ROUTES = ""
# A version is bad if its servers' latency exceeds the old servers' by this factor: the
# geometric mean of equal latency and three times the latency.
SLOWDOWN_THRESHOLD = math.sqrt(3.0)
# Index of the new server that is compared with the old servers' lower quartile, once
# all servers on trial are measured. Servers of one version differ, and a slow machine
# is no evidence against a version.
SECOND_FASTEST = 1
# Minimum difference in seconds: a few milliseconds are noise of the machines.
MIN_DIFFERENCE = 0.01


class AnswerCounts(msgspec.Struct):
    """Count the answers and failures of the old or new versions on one route."""

    answers: int = 0
    failures: int = 0


class Evidence:
    """Test a new version's failures sequentially, by route and over all routes.

    The test is Page's cumulative sum (CUSUM): the old versions' failure rate against
    that rate plus EXCESS_FAILURE_RATE. The baseline is taken per route, so that a route
    whose requests fail with every version doesn't count against the new one.
    """

    def __init__(self) -> None:
        self.old: dict[str, AnswerCounts] = collections.defaultdict(AnswerCounts)
        self.start_version()

    def start_version(self) -> None:
        """Reset the new version's counts and tests; keep the old versions' counts."""
        # Answers of the new version, and the cumulative sums of its tests.
        self.new: dict[str, AnswerCounts] = collections.defaultdict(AnswerCounts)
        self.log_ratios: dict[str, float] = collections.defaultdict(float)

    def record_old(self, route: str, has_failed: bool) -> None:
        """Record an answer of an old version."""
        for key in (route, ALL_ROUTES):
            known = self.old[key]
            add_answer(known, has_failed)
            if known.answers >= MAX_BASELINE_ANSWERS:
                known.answers //= 2
                known.failures //= 2

    def record_new(self, route: str, has_failed: bool) -> None:
        """Record an answer of the new version and update its tests."""
        for key in (route, ALL_ROUTES):
            add_answer(self.new[key], has_failed)
            expected = self.baseline_failure_rate(key)
            bad = expected + EXCESS_FAILURE_RATE * (1.0 - expected)
            ratio = bad / expected if has_failed else (1.0 - bad) / (1.0 - expected)
            # Never below 0: a version may be good at first and bad later on.
            self.log_ratios[key] = max(0.0, self.log_ratios[key] + math.log(ratio))

    def baseline_failure_rate(self, key: str) -> float:
        """Return the old versions' failure rate plus one standard error, up to 0.9."""
        known = self.old[key]
        answers = known.answers + PRIOR_ANSWERS
        part = min(0.9, (known.failures + PRIOR_FAILURES) / answers)
        return min(0.9, part + math.sqrt(part * (1.0 - part) / answers))

    def failure_reason(self) -> str | None:
        """Return why the new version's failure rate is too high, or None."""
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
    """Add one answer to the counts."""
    counts.answers += 1
    counts.failures += has_failed


def slowdown_reason(
    old: Iterable[Sequence[float]], new: Iterable[Sequence[float]]
) -> str | None:
    """Return why the new servers' latency is too high, or None.

    Each server has a row of seconds, one for each kind of work; 0 means not measured.
    """
    # Yields no pair if one side has no server.
    columns = zip(zip(*old, strict=True), zip(*new, strict=True), strict=False)
    for known, seen in columns:
        before = sorted(seconds for seconds in known if seconds > 0.0)
        after = sorted(seen)
        if not before or len(after) <= SECOND_FASTEST or after[0] <= 0.0:
            continue
        quartile = before[len(before) // 4]
        slowdown = after[SECOND_FASTEST] / quartile
        if (
            slowdown > SLOWDOWN_THRESHOLD
            and after[SECOND_FASTEST] - quartile > MIN_DIFFERENCE
        ):
            return f"its servers take {slowdown:.1f} times as long"
    return None
