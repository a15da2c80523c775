"""The rate limit of a client account across several entries."""

from __future__ import annotations

import asyncio
import pathlib
import time

from tealcove.backends import prefixes
from tealcove.resources import kinds
from tests import callers, deployment

INSTANCES = 3
RATE = 1000.0
BURST = 1000.0
OUTPUT = 8
PROMPT_BYTES = 128
COST = PROMPT_BYTES // prefixes.TOKEN_BYTES + OUTPUT
WANTED = 200
# Callers at each entry; one entry receives most of the load.
CALLERS = (8, 2, 1)
PAUSE = 0.02


async def test_a_limit_holds_over_all_entries_together(tmp_path: pathlib.Path) -> None:
    """Guards against an account that gets its full limit at each entry.

    An account used three times its limit when its callers used all entries and
    each entry counted only its own requests.
    """
    async with deployment.Deployment(tmp_path) as running:
        engine = await running.add_engine()
        for _ in range(INSTANCES):
            await running.add_instance()
        await running.declare(slots=64)
        spec = running.resources.current.get(
            kinds.Kind.CLIENT_ACCOUNT, "account-low"
        ).spec
        limited = kinds.ClientAccountSpec(
            tier="low",
            key_hashes=spec.key_hashes,
            tokens_per_second=RATE,
            burst_tokens=BURST,
        )
        await running.put(kinds.Kind.CLIENT_ACCOUNT, "account-low", limited)
        for instance in running.instances:
            await running.wait_until_ready(instance)
        await running.wait_for_members()
        replies: list[callers.Reply] = []

        async def call(number: int) -> None:
            while True:
                prompt = f"{len(replies)}".ljust(PROMPT_BYTES, ".")
                reply = await callers.complete(
                    running.session,
                    running.instances[number].url,
                    prompt,
                    OUTPUT,
                    tier="low",
                )
                replies.append(reply)
                await asyncio.sleep(PAUSE)

        async def enough() -> bool:
            completed = (await running.counts(engine))["completed"]
            return len(completed) >= WANTED

        began = time.monotonic()
        calling = [
            asyncio.create_task(call(number))
            for number, count in enumerate(CALLERS)
            for _ in range(count)
        ]
        await deployment.until(enough)
        for task in calling:
            task.cancel()
        await asyncio.gather(*calling, return_exceptions=True)
        dispatched = len((await running.counts(engine))["dispatches"])
        elapsed = time.monotonic() - began
        # One request on credit for each entry, and a second of provisional shares.
        slack = INSTANCES * COST + RATE
        assert dispatched * COST <= BURST + RATE * elapsed + slack
        ends = {(reply.status, reply.outcome, reply.reason) for reply in replies}
        assert ends == {(200, "completed", ""), (429, "not_run", "account_limit")}
        others = await callers.complete(
            running.session, running.instances[0].url, "of another account"
        )
        assert others.outcome == "completed"
