"""A bucket that lets large requests pass on debt, and keeps its rate."""

from __future__ import annotations

import collections
import random

from hypothesis import given
from hypothesis import strategies as st

from tealcove import ids
from tealcove.limits import bucket, limit

LIMIT = limit.Limit(1000.0, 2000.0)


def test_a_request_larger_than_the_burst_passes_on_debt():
    """Requests of an account are refused though it's within its limit.

    Symptom: 429 for a large request, however long the account was idle.
    Sequence: one request's tokens are more than the burst. Cause: a bucket that
    lets pass only what it holds.
    """
    held = bucket.Bucket(2000.0, ids.Instant(0.0))
    assert held.take(5000.0, LIMIT, 1.0, ids.Instant(0.0)) == 0.0
    wait = held.take(10.0, LIMIT, 1.0, ids.Instant(0.0))
    assert wait == 3.0
    assert held.take(10.0, LIMIT, 1.0, ids.Instant(3.1)) == 0.0


@given(
    st.lists(
        st.tuples(st.floats(0.0, 0.5), st.floats(1.0, 3000.0)), min_size=1, max_size=80
    ),
    st.sampled_from((1.0, 0.25)),
)
def test_what_passes_stays_within_the_limit(
    asked: list[tuple[float, float]], part: float
) -> None:
    held = bucket.Bucket(LIMIT.burst * part, ids.Instant(0.0))
    now = 0.0
    passed = []
    for pause, tokens in asked:
        now += pause
        if held.take(tokens, LIMIT, part, ids.Instant(now)) == 0.0:
            passed.append(tokens)
    largest = max(passed, default=0.0)
    rate = LIMIT.rate * part
    seconds = bucket.SPARE_SECONDS + bucket.SPARE_DEBT_SECONDS
    assert seconds <= 1.5
    spare = rate * (seconds + bucket.SPARE_PART * now)
    bound = LIMIT.burst * part + rate * now + spare + largest
    assert sum(passed) <= bound + 1e-6


def test_large_requests_pass_as_often_as_small_ones():
    """Large requests of an account beyond its limit hardly ever pass.

    Symptom: the largest tenth of a kind is served less than its other requests.
    Sequence: an account sends three times its limit, in requests of several sizes.
    Cause: what falls just beyond the limit passes if it fits into the spare bucket,
    which is nearly empty all the time.
    """
    source = random.Random(1)
    held = bucket.Bucket(LIMIT.burst, ids.Instant(0.0))
    sizes = (33.0, 133.0, 667.0)
    asked: collections.Counter[float] = collections.Counter()
    passed: collections.Counter[float] = collections.Counter()
    now = 0.0
    while now < 600.0:
        tokens = source.choice(sizes)
        now += source.expovariate(3.0 * LIMIT.rate / (sum(sizes) / len(sizes)))
        asked[tokens] += 1
        passed[tokens] += held.take(tokens, LIMIT, 1.0, ids.Instant(now)) == 0.0
    parts = [passed[size] / asked[size] for size in sizes]
    assert max(parts) - min(parts) < 0.05, parts
