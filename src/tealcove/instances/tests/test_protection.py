"""Refusals of an overloaded instance, and answers that callers don't read."""

from __future__ import annotations

from tealcove import ids
from tealcove.instances import measurement, protection, unread
from tealcove.instances.tests import builders

LIMITS = measurement.Limits(memory_bytes=1000.0)


def test_requests_are_refused_above_the_threshold_only() -> None:
    """Guards against refusals while there is capacity: callers only go elsewhere."""
    found = protection.Protection()
    assert not found.update(0.9, builders.instant(0.0))
    assert found.update(0.91, builders.instant(1.0))


def test_refusals_end_with_hysteresis() -> None:
    """Guards against an instance that accepts and refuses in turn."""
    found = protection.Protection()
    found.update(0.95, builders.instant(0.0))
    assert found.update(0.1, builders.instant(protection.MIN_SECONDS / 2))
    assert found.update(0.88, builders.instant(2.0))
    assert not found.update(0.84, builders.instant(3.0))
    assert not found.update(0.88, builders.instant(4.0))


def test_refused_callers_return_at_different_times() -> None:
    found = protection.Protection()
    waits = {found.retry_after(ids.RequestId(f"r-{n}")) for n in range(50)}
    assert len(waits) > 30
    assert min(waits) >= protection.RETRY_SECONDS
    assert found.refused == 50


def ended(memory: float, *sizes: int, until: float = 3.0) -> list[bool]:
    """Return which of some connections are ended; sizes below 0 are read."""
    transports = {
        str(number): builders.FakeTransport(abs(size))
        for number, size in enumerate(sizes)
    }
    answers = unread.UnreadAnswers(lambda: transports)
    at = 0.0
    while at <= until:
        answers.end_unread(memory, LIMITS, builders.instant(at))
        for transport, size in zip(transports.values(), sizes, strict=True):
            transport.size -= size < 0
        at += 0.5
    return [transport.is_aborted for transport in transports.values()]


def test_unread_answers_are_ended_only_while_memory_is_scarce() -> None:
    """Guards against aborted answers of callers that pause for a moment."""
    assert ended(0.9, 500) == [False]
    assert ended(0.95, 500) == [True]
    assert ended(0.95, 500, until=1.5) == [False]


def test_answers_that_are_read_slowly_are_kept() -> None:
    assert ended(0.95, -500) == [False]


def test_the_largest_unread_answer_is_ended_first() -> None:
    """Guards against more lost answers than the memory needs."""
    # 50 of 1,000 bytes are above the threshold.
    assert ended(0.95, 10, 60, 30, until=2.0) == [False, True, False]
