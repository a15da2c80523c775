"""A request that crashes backend servers and is retried repeatedly."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import pathlib
from collections.abc import AsyncIterator

import aiohttp
import msgspec
import syrupy

from tealcove.backends import prefixes
from tealcove.standins import engine_counts
from tests import callers, deployment

ENGINES = 6
INSTANCES = 3
ATTEMPTS = 12
GOOD_CALLERS = 6
MARKER = "crash-now"
BAD = f"a recipe with {MARKER} in it"


# The beginning of prompts that crash engines, and what follows it, unlike each time.
BAD_BEGINNING = f"{MARKER} ".ljust(prefixes.BLOCK_BYTES, "x")
OWN_LENGTH = 3 * prefixes.BLOCK_BYTES
MOST_CRASHES = 3


class Crashed(msgspec.Struct):
    """The line that an engine prints when a prompt crashes it."""

    event: str
    counts: engine_counts.EngineCounts


class GoodTraffic:
    """Callers that send their own prompts and retry interrupted ones."""

    def __init__(self, running: deployment.Deployment) -> None:
        self.running = running
        self.replies: list[callers.Reply] = []
        self.ended = asyncio.Event()
        self.numbers = itertools.count()

    async def call(self, number: int) -> None:
        while not self.ended.is_set():
            url = self.running.instances[number % INSTANCES].url
            await self.complete(url, f"good recipe {next(self.numbers)}")

    async def complete(self, url: str, prompt: str) -> None:
        async with asyncio.timeout(deployment.READY_TIMEOUT):
            while True:
                reply = await callers.complete(self.running.session, url, prompt, 20)
                self.replies.append(reply)
                if reply.outcome == "completed":
                    assert callers.is_own_answer(reply, prompt, 20)
                    return
                assert reply.outcome in ("interrupted", "not_run"), reply


def counts_of_crashed_engines(folder: pathlib.Path) -> list[engine_counts.EngineCounts]:
    """Return the counts of the engines that crashed."""
    found = []
    for number in range(ENGINES):
        for line in (folder / f"engine-{number}.log").read_bytes().splitlines():
            if line.startswith(b'{"event":"crashed"'):
                found.append(msgspec.json.decode(line, type=Crashed).counts)
    return found


async def dispatched_to_survivors(running: deployment.Deployment) -> set[str]:
    """Return the ids of all requests that the surviving engines received."""
    found = set()
    for engine in running.engines:
        with contextlib.suppress(aiohttp.ClientConnectionError):
            found |= set((await running.counts(engine))["dispatches"])
    return found


@contextlib.asynccontextmanager
async def crashing_engines(
    folder: pathlib.Path,
) -> AsyncIterator[deployment.Deployment]:
    """Run a deployment whose engines crash on the marker."""
    async with deployment.Deployment(folder) as running:
        for _ in range(ENGINES):
            await running.add_engine(
                crash_marker=MARKER, decode_seconds_per_token=0.005
            )
        for _ in range(INSTANCES):
            await running.add_instance()
        await running.declare()
        for instance in running.instances:
            await running.wait_until_ready(instance)
        await running.wait_for_members()
        yield running


async def test_one_bad_request_costs_two_of_six_engines(
    tmp_path: pathlib.Path, snapshot: syrupy.SnapshotAssertion
) -> None:
    """Guards against one request that crashes every engine within a minute.

    A prompt crashes the engine that runs it; its caller is told that a retry is
    safe, and retries, each time at another entry. One engine after another would
    crash, since no entry knows what the others have seen.
    """
    async with crashing_engines(tmp_path) as running:
        traffic = GoodTraffic(running)
        good = [asyncio.create_task(traffic.call(n)) for n in range(GOOD_CALLERS)]
        session = [
            await callers.complete(
                running.session,
                running.instances[n % INSTANCES].url,
                BAD,
                extra={"Tealcove-Deadline": "10"},
            )
            for n in range(ATTEMPTS)
        ]
        traffic.ended.set()
        await asyncio.gather(*good)
        crashed = counts_of_crashed_engines(tmp_path)
        assert len(crashed) == 2
        # An engine may crash between connection and request, without counting it, so
        # only the surviving engines must have completed what they received.
        ran = await dispatched_to_survivors(running)
        for reply in traffic.replies:
            assert reply.outcome == "completed" or reply.request_id not in ran, reply
        # The second engine ran the suspect alone, so that no other request was lost.
        lost_runs = [
            set(counts.dispatches) - set(counts.completed) for counts in crashed
        ]
        assert min(len(runs) for runs in lost_runs) == 1
        outcomes = [(reply.status, reply.outcome, reply.reason) for reply in session]
        assert outcomes == snapshot


async def test_unlike_prompts_with_a_bad_beginning_cost_three_of_six_engines(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a quarantine that knows only whole prompts."""
    async with crashing_engines(tmp_path) as running:
        traffic = GoodTraffic(running)
        good = [asyncio.create_task(traffic.call(n)) for n in range(GOOD_CALLERS)]
        for number in range(ATTEMPTS):
            await callers.complete(
                running.session,
                running.instances[number % INSTANCES].url,
                BAD_BEGINNING + f"{number}".ljust(OWN_LENGTH, "y"),
                extra={"Tealcove-Deadline": "10"},
            )
        traffic.ended.set()
        await asyncio.gather(*good)
        assert len(counts_of_crashed_engines(tmp_path)) <= MOST_CRASHES
