"""The path of requests through separate processes."""

from __future__ import annotations

import asyncio
import pathlib

from tests import callers, deployment


async def test_requests_through_every_instance(tmp_path: pathlib.Path) -> None:
    async with deployment.Deployment(tmp_path) as running:
        for _ in range(2):
            await running.add_engine(decode_seconds_per_token=0.005)
        for _ in range(3):
            await running.add_instance()
        await running.declare()
        for instance in running.instances:
            await running.wait_until_ready(instance)
        await running.wait_for_members()
        prompts = [f"prompt {number}" for number in range(30)]
        found = await asyncio.gather(
            *(
                callers.complete(
                    running.session, running.instances[n % 3].url, prompt, 8
                )
                for n, prompt in enumerate(prompts)
            )
        )
        assert [reply.outcome for reply in found] == ["completed"] * 30
        for prompt, reply in zip(prompts, found, strict=True):
            assert callers.is_own_answer(reply, prompt, 8)
        counts = [await running.counts(engine) for engine in running.engines]
        dispatches = [n for c in counts for n in c["dispatches"].values()]
        assert dispatches == [1] * 30
