"""Instances that get SIGHUP, as a stopped process does whose shell has ended."""

from __future__ import annotations

import asyncio
import pathlib
import signal

import pytest

from tests import deployment, test_at_most_once

KEY = "k"


@pytest.mark.parametrize("is_stopped", [False, True], ids=["running", "stopped"])
async def test_a_hang_up_ends_no_request(
    tmp_path: pathlib.Path, is_stopped: bool
) -> None:
    """An instance that was stopped for a moment ended by SIGHUP with its requests."""
    async with deployment.Deployment(tmp_path) as running:
        session = test_at_most_once.Session(running)
        await session.prepare(instances=1)
        (instance,) = running.instances
        sending = asyncio.create_task(session.send(0, KEY))
        await session.wait_for_run(KEY)
        if is_stopped:
            instance.freeze()
        instance.send(signal.SIGHUP)
        instance.unfreeze()
        answer = await sending
        assert answer.status == 200
        assert instance.process.returncode is None
