"""What the answers of a new version say of it, compared with the old ones'."""

from __future__ import annotations

import collections
import math
from collections.abc import Iterable, Sequence

import msgspec

# A version is taken for bad whose answers fail more often than the old ones' by this
# part of those that don't fail there.
BAD_PART = 0.2
# How often a good version may be taken for bad at one answer, by one test. A version
# has one for each route and one for all together, and some hundred answers.
FALSE_ALARM = 1e-5
BOUND = math.log(1.0 / FALSE_ALARM)
# What is taken for the old versions' failures before any was seen: one in fifty.
PRIOR_FAILURES = 1.0
PRIOR_ANSWERS = 50.0
# Answers of the old versions that are remembered on a route: older ones count half.
MOST_ANSWERS = 1000
# The test of all routes together.
ALL_ROUTES = ""
# A version of which servers take longer than the old ones' by this factor is bad: the
# middle between one that is alike and one that takes three times as long.
BAD_PACE = math.sqrt(3.0)
# Servers of one version aren't alike, and a slow machine says nothing of a version. The
# old servers' fastest quarter is compared with the second fastest of the new ones, when
# all that are on trial are known.
SECOND = 1
# Seconds by which they have to differ at least: a few milliseconds are the machines'.
LEAST_DIFFERENCE = 0.01


class Answers(msgspec.Struct):
    """Answers of one side on one route."""

    answers: int = 0
    failures: int = 0


class Evidence:
    """A sequential test of failures by route, and a comparison of paces.

    The test is Page's cumulative sum, of the old versions' part of failures against
    that with BAD_PART more. What the old versions do on the same route counts, so that
    one on which requests fail by themselves says nothing against the new version.
    """

    def __init__(self) -> None:
        self.old: dict[str, Answers] = collections.defaultdict(Answers)
        self.begin()

    def begin(self) -> None:
        """Begin anew with a new version; what is known of the old ones stays."""
        # Answers of the new version, and its tests' sums of log-likelihood ratios.
        self.new: dict[str, Answers] = collections.defaultdict(Answers)
        self.sums: dict[str, float] = collections.defaultdict(float)

    def note_old(self, route: str, has_failed: bool) -> None:
        """Take in an answer of an old version."""
        for key in (route, ALL_ROUTES):
            known = self.old[key]
            count(known, has_failed)
            if known.answers >= MOST_ANSWERS:
                known.answers //= 2
                known.failures //= 2

    def note_new(self, route: str, has_failed: bool) -> None:
        """Take in an answer of the new version."""
        for key in (route, ALL_ROUTES):
            count(self.new[key], has_failed)
            expected = self.expected(key)
            bad = expected + BAD_PART * (1.0 - expected)
            ratio = bad / expected if has_failed else (1.0 - bad) / (1.0 - expected)
            # Never below 0: a version may be good at first and bad later.
            self.sums[key] = max(0.0, self.sums[key] + math.log(ratio))

    def expected(self, key: str) -> float:
        """Return the old versions' part of failures, and one standard error more."""
        known = self.old[key]
        answers = known.answers + PRIOR_ANSWERS
        part = min(0.9, (known.failures + PRIOR_FAILURES) / answers)
        return min(0.9, part + math.sqrt(part * (1.0 - part) / answers))

    def fault(self) -> str | None:
        """Return why the new version is bad by its failures; None: it isn't."""
        for key, found in self.sums.items():
            if found > BOUND:
                seen = self.new[key]
                where = f"of route {key}" if key else "of all routes"
                return (
                    f"{seen.failures} of {seen.answers} answers {where} failed, "
                    f"{self.expected(key):.3f} of the old ones'"
                )
        return None


def count(answers: Answers, has_failed: bool) -> None:
    """Add one answer."""
    answers.answers += 1
    answers.failures += has_failed


def slowness(
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
        if not before or len(after) <= SECOND or after[0] <= 0.0:
            continue
        usual = before[len(before) // 4]
        times = after[SECOND] / usual
        if times > BAD_PACE and after[SECOND] - usual > LEAST_DIFFERENCE:
            return f"its servers take {times:.1f} times as long"
    return None
