"""Instances that are stopped while callers go on using their open connections."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
from collections.abc import AsyncIterator

from tests import connections, platform_site

from soak import callers, deployment, disturbances, injector
from tealcove import clock

# Seconds of a call, so that callers wait for slots when instances stop; the last ones
# wait longer than the grace period.
CALL_SECONDS = 0.8
CALLERS = 24
DEADLINE_MS = 8000
TIMEOUT_MS = 10_000
# Callers that wait for a slot don't miss it; those that would are served last.
GOAL_MS = 6000
# Length of an answer, and how it is read by slow callers: together some .7 s.
ANSWER_BYTES = 2**20
READ_PAUSE = 0.04
SLOW_SHARE = 0.3
# Requests that are sent in one go at most.
MAX_TOGETHER = 3
# Seconds from a request to the close of its connection that crosses it.
CROSSING_SECONDS = 0.2
# Mean seconds between the starts of two disturbances, which overlap.
MEAN_PAUSE_SECONDS = 0.5
# Seconds between the signals of a series.
MAX_SIGNAL_PAUSE = 0.3


def make_slow(running: deployment.Deployment) -> None:
    """Declare patient routes and slow servers, in a deployment that isn't started."""
    running.routes = tuple(
        platform_site.route(
            name, kind, attempts=1, timeout_ms=TIMEOUT_MS, goal_ms=GOAL_MS
        )
        for name, kind in (("safe", "safe"), ("once", "unsafe"))
    )
    for server in running.servers:
        server.call_seconds = CALL_SECONDS
        server.body_bytes = ANSWER_BYTES


def make_fast(running: deployment.Deployment) -> None:
    """Let calls take no time, so that none has to wait in the recovery."""
    for server in running.servers:
        server.call_seconds = 0.0


class StopInjector(injector.Injector):
    """Stops instances with series of signals, never all of them at once."""

    @contextlib.asynccontextmanager
    async def stop(self) -> AsyncIterator[str]:
        """Stop an instance by several signals, and start it again."""
        member = self.random.choice(self.running.members)
        stopping = sum(one.is_stopping for one in self.running.members)
        if member.is_stopping or stopping == len(self.running.members) - 1:
            yield "nothing"
            return
        member.is_stopping = True
        signals = [signal.SIGTERM, signal.SIGTERM, signal.SIGHUP, signal.SIGINT]
        series = signals[: self.random.randrange(1, len(signals) + 1)]
        self.random.shuffle(series)
        ended = asyncio.create_task(member.process.wait())
        yield f"{member.name} gets {' '.join(one.name for one in series)}"
        for one in series:
            member.send(one)
            await asyncio.sleep(self.random.uniform(0.0, MAX_SIGNAL_PAUSE))
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(ended, deployment.GRACE_SECONDS)
        await member.end()
        await member.start()

    @contextlib.asynccontextmanager
    async def hang_up(self) -> AsyncIterator[str]:
        """Let an instance read its settings again."""
        member = self.random.choice(self.running.members)
        # Before Python runs the program's first lines, the signal would end it.
        if not member.is_stopping and deployment.listens(member.listen["callers"]):
            member.send(signal.SIGHUP)
        yield f"{member.name} gets SIGHUP"


class KeptCallers(callers.Callers):
    """Callers that keep their connections, pipeline, and read slowly."""

    def __init__(
        self,
        running: deployment.Deployment,
        log: disturbances.DisturbanceLog,
        seed: int,
    ) -> None:
        super().__init__(running, log, seed)
        self.random = random.Random(f"kept connections of {seed}")

    async def run(self) -> None:
        """Run all callers until `is_stopping` is set."""
        await asyncio.gather(*(self.keep() for _ in range(CALLERS)))

    async def keep(self) -> None:
        """Use one connection after the other, each until it is closed."""
        while not self.is_stopping:
            member = self.random.choice(self.running.members)
            try:
                reader, writer = await connections.connect(member.listen["callers"])
            except OSError:
                await asyncio.sleep(callers.PAUSE)
                continue
            is_open = True
            while is_open and not self.is_stopping:
                is_open = await self.send_together(member, reader, writer)
                await asyncio.sleep(callers.PAUSE)
            writer.close()

    async def send_together(
        self,
        member: deployment.Member,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Send requests in one go; return whether the connection stays open."""
        pause = READ_PAUSE if self.random.random() < SLOW_SHARE else 0.0
        requests: list[tuple[str, str]] = []
        for _ in range(self.random.randrange(1, MAX_TOGETHER + 1)):
            self.count += 1
            path = self.random.choice(("/safe/x", "/once/x"))
            requests.append((f"k-{self.count}", path))
        writer.write(
            b"".join(connections.head_of(*one, DEADLINE_MS) for one in requests)
        )
        sent_at = clock.now()
        is_open = True
        for request_id, path in requests:
            answer = await read_answer(reader, pause) if is_open else None
            ended_at = clock.now()
            is_open = answer is not None and answer.headers.get("Connection") != "close"
            found = answer or platform_site.Answer(None, b"", False)
            self.results.append(
                callers.CallResult(
                    request_id, path, found, member.name, sent_at, ended_at
                )
            )
        return is_open


async def read_answer(
    reader: asyncio.StreamReader, pause: float
) -> platform_site.Answer | None:
    """Return the next answer, read with pauses; None if the connection ends before."""
    try:
        return await connections.read_answer(reader, pause)
    except (OSError, asyncio.IncompleteReadError):
        return None


def lost(running: deployment.Deployment, calling: KeptCallers) -> list[str]:
    """Return the requests whose connections ended without a whole answer.

    One that crossed the close of its connection and hasn't run isn't lost.
    """
    ran = {run.request_id for server in running.servers for run in server.runs}
    return [
        f"{one.request_id} of {one.member} got no answer within "
        f"{one.ended_at - one.sent_at:.2f} s, "
        + ("run" if one.request_id in ran else "not run")
        for one in calling.results
        if one.answer.status is None
        and not (has_crossed(one) and one.request_id not in ran)
    ]


def has_crossed(one: callers.CallResult) -> bool:
    """Tell whether a request was sent when its connection was being closed."""
    return one.ended_at - one.sent_at <= CROSSING_SECONDS
