"""Loops in the background go on after a failure."""

from __future__ import annotations

import asyncio

import logbook
import pytest

from tealcove import clock, ids, tasks
from tealcove.tests import virtual


class FailingLoop:
    """A loop that records when it is started, and fails so many times."""

    def __init__(self, failures: int, seconds: float = 0.0) -> None:
        self.failures = failures
        self.seconds = seconds
        self.started: list[ids.Instant] = []

    async def run(self) -> None:
        self.started.append(clock.now())
        if self.seconds:
            await asyncio.sleep(self.seconds)
        if len(self.started) <= self.failures:
            raise RecursionError("too deep")

    def pauses(self) -> list[float]:
        """Return the seconds from each failure to the next start."""
        pairs = zip(self.started, self.started[1:], strict=False)
        return [round(after - before - self.seconds, 3) for before, after in pairs]


def test_a_failed_loop_is_started_again_after_growing_pauses(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against heartbeats or copies that stop for good after one exception."""
    loop = FailingLoop(8)
    before = tasks.RESTARTS.count
    with logbook.TestHandler() as handler:
        virtual.run(monkeypatch, tasks.keep_running(loop.run, "heartbeats"))
    assert loop.pauses() == [0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 5.0, 5.0]
    assert tasks.RESTARTS.count == before + 8
    first = handler.records[0]
    assert first.message == "heartbeats failed and starts again in 0.1 s"
    assert "RecursionError: too deep" in first.formatted_exception


def test_a_loop_that_ran_for_a_while_is_started_again_soon(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against long pauses after failures that are hours apart."""
    loop = FailingLoop(4, tasks.RECOVERED_SECONDS)
    virtual.run(monkeypatch, tasks.keep_running(loop.run, "heartbeats"))
    assert loop.pauses() == [0.1, 0.1, 0.1, 0.1]


async def test_a_loop_that_waits_after_a_failure_can_be_stopped():
    """Guards against a stop that waits for a loop which goes on failing."""
    loop = FailingLoop(1_000_000)
    running = tasks.start_loop(loop.run, "heartbeats")
    await asyncio.sleep(0)
    assert loop.started
    await tasks.stop([running])
    assert running.cancelled()
