"""A process that stands still while others answer."""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from collections.abc import AsyncIterator

import pytest

from tealcove import clock, stalls

PAUSE_SECONDS = 0.35
TIMEOUT_SECONDS = 0.25
# What a pause may be longer than what is measured of it.
PRECISION_SECONDS = stalls.TICK_SECONDS + stalls.USUAL_DELAY_SECONDS


def stand_still() -> None:
    """Run nothing else in this process for a while."""
    time.sleep(PAUSE_SECONDS)


@pytest.fixture
async def own_stalls() -> AsyncIterator[stalls.Stalls]:
    """Return the stalls of this process, which are measured."""
    found = stalls.Stalls()
    found.start()
    yield found
    found.stop()


async def test_a_pause_takes_no_running_time(own_stalls: stalls.Stalls) -> None:
    before = clock.now()
    running = own_stalls.running(before)
    stand_still()
    # Asked before the event loop has run any timer.
    passed = own_stalls.running(clock.now()) - running
    assert passed <= PRECISION_SECONDS
    await asyncio.sleep(2 * stalls.TICK_SECONDS)
    assert own_stalls.stalled_seconds(clock.now()) >= PAUSE_SECONDS - PRECISION_SECONDS
    assert own_stalls.stalled_seconds(clock.now()) <= clock.now() - before


def test_stalls_that_are_not_measured_are_none() -> None:
    """A component without an instance took all time for a stall."""
    assert stalls.Stalls().running(clock.now()) <= clock.now()
    assert stalls.Stalls().stalled_seconds(clock.now()) == 0.0


async def answer_meanwhile(limit: stalls.Timeout) -> bytes:
    """Return an answer that arrives while this process stands still."""
    here, there = socket.socketpair()
    reader, writer = await asyncio.open_connection(sock=here)
    answering = threading.Timer(PAUSE_SECONDS / 2, there.sendall, [b"answer\n"])
    answering.start()
    try:
        async with limit:
            asyncio.get_running_loop().call_soon(stand_still)
            return await reader.readline()
    finally:
        answering.join()
        writer.close()
        there.close()


async def test_an_answer_that_arrived_in_a_pause_is_in_time(
    own_stalls: stalls.Stalls,
) -> None:
    """The timer was due before the answer, which had long arrived, was read."""
    assert await answer_meanwhile(own_stalls.timeout(TIMEOUT_SECONDS)) == b"answer\n"


async def test_an_ordinary_timeout_takes_the_pause_for_silence() -> None:
    """Shows that the test above has a pause that matters."""
    with pytest.raises(TimeoutError):
        await answer_meanwhile(asyncio.timeout(TIMEOUT_SECONDS))


async def test_silence_is_noticed_after_a_pause(own_stalls: stalls.Stalls) -> None:
    """A process that had stood still waited for a dead peer for ever."""
    with pytest.raises(TimeoutError):
        async with own_stalls.timeout(TIMEOUT_SECONDS):
            stand_still()
            await asyncio.Event().wait()


async def test_a_timeout_may_be_set_anew_and_taken_back(
    own_stalls: stalls.Stalls,
) -> None:
    loop = asyncio.get_running_loop()
    async with own_stalls.timeout(TIMEOUT_SECONDS) as limit:
        limit.reschedule(None)
        await asyncio.sleep(2 * TIMEOUT_SECONDS)
    with pytest.raises(TimeoutError):
        async with own_stalls.timeout(None) as limit:
            limit.reschedule(loop.time())
            await asyncio.Event().wait()


async def test_a_cancelled_timer_calls_nothing(own_stalls: stalls.Stalls) -> None:
    calls: list[None] = []
    timer = own_stalls.call_later(0.0, lambda: calls.append(None))
    timer.cancel()
    await asyncio.sleep(2 * stalls.TICK_SECONDS)
    assert not calls
