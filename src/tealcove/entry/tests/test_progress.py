"""Requests in progress can be ended at each moment."""

from __future__ import annotations

import asyncio

import pytest

from tealcove.entry import progress


async def test_a_step_times_out_when_its_request_is_ended():
    """Guards against requests that wait for a slot until their process is killed."""
    current = progress.Progress()

    async def wait() -> None:
        async with current.step(None):
            await asyncio.Event().wait()

    waiting = asyncio.create_task(wait())
    await asyncio.sleep(0)
    current.end()
    with pytest.raises(TimeoutError):
        await waiting


async def test_a_step_that_begins_after_the_end_times_out_at_once():
    """Guards against a request that was ended between two of its steps."""
    current = progress.Progress()
    current.end()
    with pytest.raises(TimeoutError):
        async with current.step(100.0):
            await asyncio.Event().wait()


async def test_a_request_that_is_ended_after_its_last_step_keeps_its_answer():
    """Guards against whole answers that are replaced by a refusal."""
    current = progress.Progress()
    async with current.step(100.0):
        pass
    current.end()
    await asyncio.sleep(0)
