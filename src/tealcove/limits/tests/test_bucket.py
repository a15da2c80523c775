"""A bucket that lets large requests pass on debt, and keeps its rate."""

from __future__ import annotations

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
    spare = rate * (bucket.SPARE_SECONDS + bucket.SPARE_PART * now)
    bound = LIMIT.burst * part + rate * now + spare + largest
    assert sum(passed) <= bound + 1e-6
