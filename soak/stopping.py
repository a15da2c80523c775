"""Instances that are stopped while callers go on using their open connections."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import socket
from collections.abc import AsyncIterator

import msgspec
from tests import platform_site

from soak import callers, deployment, disturbances, injector
from tealcove import clock, ids
from tealcove.platform import names

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
READ_BYTES = 64 * 2**10
READ_PAUSE = 0.04
SLOW_SHARE = 0.3
RECEIVE_BUFFER = 2**16
# Requests that are sent in one go at most.
MAX_TOGETHER = 3
# Seconds from a request to the close of its connection that crosses it.
CROSSING_SECONDS = 0.2
# Mean seconds between the starts of two disturbances, which overlap.
MEAN_PAUSE_SECONDS = 0.5
# Seconds between the signals of a series.
MAX_SIGNAL_PAUSE = 0.3
HEAD_END = b"\r\n\r\n"


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


class Sent(msgspec.Struct, frozen=True):
    """A request on a kept connection, and what became of it."""

    request_id: str
    member: str
    sent_at: ids.Instant
    ended_at: ids.Instant
    # The whole answer; None if the connection ended before.
    status: int | None

    @property
    def has_crossed(self) -> bool:
        """Whether it was sent when its connection was being closed."""
        return self.ended_at - self.sent_at <= CROSSING_SECONDS


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
        self.sent: list[Sent] = []

    async def run(self) -> None:
        """Run all callers until `is_stopping` is set."""
        await asyncio.gather(*(self.keep() for _ in range(CALLERS)))

    async def keep(self) -> None:
        """Use one connection after the other, each until it is closed."""
        while not self.is_stopping:
            member = self.random.choice(self.running.members)
            try:
                reader, writer = await connect(member)
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
        writer.write(b"".join(head_of(*one) for one in requests))
        sent_at = clock.now()
        is_open = True
        for request_id, path in requests:
            answer = await read_answer(reader, pause) if is_open else None
            ended_at = clock.now()
            is_open = answer is not None and answer.headers.get("Connection") != "close"
            status = None if answer is None else answer.status
            one = Sent(request_id, member.name, sent_at, ended_at, status)
            self.sent.append(one)
            found = answer or platform_site.Answer(None, b"", False)
            self.results.append(
                callers.CallResult(
                    request_id, path, found, member.name, sent_at, ended_at
                )
            )
        return is_open


async def connect(
    member: deployment.Member,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to an instance, with little room for unread answers; raises OSError."""
    host, _, port = member.listen["callers"].rpartition(":")
    plain = socket.socket()
    plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    plain.setblocking(False)
    try:
        await asyncio.get_running_loop().sock_connect(plain, (host, int(port)))
        return await asyncio.open_connection(sock=plain, limit=RECEIVE_BUFFER)
    except OSError:
        plain.close()
        raise


def head_of(request_id: str, path: str) -> bytes:
    """Return a request without a body."""
    headers = {
        "Host": platform_site.HOST,
        names.REQUEST_ID: request_id,
        names.API_KEY: platform_site.KEY,
        names.DEADLINE_MS: DEADLINE_MS,
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"POST {path} HTTP/1.1\r\n{lines}Content-Length: 0\r\n\r\n".encode()


async def read_answer(
    reader: asyncio.StreamReader, pause: float
) -> platform_site.Answer | None:
    """Return the next answer, read with pauses; None if the connection ends before."""
    try:
        head = (await reader.readuntil(HEAD_END)).decode()
        first, *lines = head.rstrip().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines)
        body = b""
        length = int(headers["Content-Length"])
        while len(body) < length:
            part = await reader.read(min(READ_BYTES, length - len(body)))
            if not part:
                return None
            body += part
            await asyncio.sleep(pause)
    except (OSError, asyncio.IncompleteReadError):
        return None
    return platform_site.Answer(int(first.split()[1]), body, True, headers)


def lost(running: deployment.Deployment, calling: KeptCallers) -> list[str]:
    """Return the requests whose connections ended without a whole answer.

    One that crossed the close of its connection and hasn't run isn't lost.
    """
    ran = {run.request_id for server in running.servers for run in server.runs}
    return [
        f"{one.request_id} of {one.member} got no answer within "
        f"{one.ended_at - one.sent_at:.2f} s, "
        + ("run" if one.request_id in ran else "not run")
        for one in calling.sent
        if one.status is None and not (one.has_crossed and one.request_id not in ran)
    ]
