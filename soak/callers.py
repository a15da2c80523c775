"""Callers that check the guarantees of the system."""

from __future__ import annotations

import asyncio
import random

import aiohttp
import msgspec
from tests import platform_site

from soak import deployment, disturbances
from tealcove import clock, ids
from tealcove.platform import names
from tealcove.standins import poolserver

PATHS = ("/safe/x", "/once/x", "/stream/x")
CALLERS = 6
PAUSE = 0.03
TIMEOUT = aiohttp.ClientTimeout(total=4.0, sock_connect=1.0)
# Seconds after which a declared key must be in force at all instances.
IN_FORCE_SECONDS = 2.0
# Statuses which state that a request has not run, and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
COMPLETE_STREAM = poolserver.stream_of(poolserver.FIRST_VERSION)


class CallResult(msgspec.Struct, frozen=True):
    """A finished request, as its caller saw it."""

    request_id: str
    path: str
    answer: platform_site.Answer
    # The instance that it was sent to.
    member: str
    sent_at: ids.Instant
    ended_at: ids.Instant


class Callers:
    """Sends requests from several callers until `is_stopping` is set."""

    def __init__(
        self,
        running: deployment.Deployment,
        log: disturbances.DisturbanceLog,
        seed: int,
    ) -> None:
        self.running = running
        self.disturbances = log
        self.random = random.Random(seed)
        self.results: list[CallResult] = []
        self.count = 0
        self.is_stopping = False
        # The newest key that each process has accepted, by its instance and number.
        self.accepted: dict[tuple[str, int], int] = {}

    async def run(self) -> None:
        """Run all callers until `is_stopping` is set."""
        async with aiohttp.ClientSession(timeout=TIMEOUT) as session:
            await asyncio.gather(*(self.call(session) for _ in range(CALLERS)))

    async def call(self, session: aiohttp.ClientSession) -> None:
        """Run one caller, which sends each request to a random instance."""
        while not self.is_stopping:
            self.count += 1
            request_id = f"r-{self.count}"
            path = self.random.choice(PATHS)
            member = self.random.choice(self.running.members)
            sent_at = clock.now()
            process = (member.name, member.process.pid)
            key = self.key_at(member, sent_at)
            answer = await self.send(session, member, request_id, path, key)
            if answer.status == 200 and process[1] == member.process.pid:
                self.note_accepted(process, key)
            ended = CallResult(
                request_id, path, answer, member.name, sent_at, clock.now()
            )
            self.results.append(ended)
            await asyncio.sleep(PAUSE)

    def key_at(self, member: deployment.Member, now: ids.Instant) -> str:
        """Return the newest key that an instance must accept.

        One that its process has accepted must be accepted for as long as it runs.
        """
        newest = self.accepted.get((member.name, member.process.pid), -1)
        if self.disturbances.is_undisturbed(now, member.name, disturbances.STORE):
            in_force = [
                number
                for number, key in enumerate(self.running.keys)
                if now - self.running.declared.get(key, now) > IN_FORCE_SECONDS
            ]
            newest = max(newest, *in_force, -1)
        return platform_site.KEY if newest < 0 else self.running.keys[newest]

    def note_accepted(self, process: tuple[str, int], key: str) -> None:
        """Record that a process accepted a key."""
        if key in self.running.keys:
            number = self.running.keys.index(key)
            self.accepted[process] = max(number, self.accepted.get(process, -1))

    async def send(
        self,
        session: aiohttp.ClientSession,
        member: deployment.Member,
        request_id: str,
        path: str,
        key: str,
    ) -> platform_site.Answer:
        """Send one request with a key."""
        headers = {
            "Host": platform_site.HOST,
            names.REQUEST_ID: request_id,
            names.API_KEY: key,
            names.DEADLINE_MS: "3000",
        }
        url = f"http://{member.listen['callers']}{path}"
        try:
            async with session.post(url, headers=headers, data=b"x") as response:
                return await platform_site.read(response)
        except (aiohttp.ClientError, TimeoutError):
            return platform_site.Answer(None, b"", False)


def find_violations(
    running: deployment.Deployment, ended: list[CallResult]
) -> list[str]:
    """Return all violations that callers and backend servers have observed."""
    runs: dict[str, int] = {}
    for server in running.servers:
        for run in server.runs:
            runs[run.request_id] = runs.get(run.request_id, 0) + 1
    found = []
    for one in ended:
        count = runs.get(one.request_id, 0)
        found.extend(
            f"{one.request_id} {one.path}: {x}" for x in violations(one, count)
        )
    known = {one.request_id for one in ended}
    found.extend(
        f"{name}: run, but not sent by any caller" for name in set(runs) - known
    )
    return found


def violations(one: CallResult, runs: int) -> list[str]:
    """Return the violations of one request, which ran `runs` times."""
    answer = one.answer
    found = []
    if one.path.startswith("/once/") and runs > 1:
        found.append(f"ran {runs} times")
    is_not_run = answer.status in NOT_RUN_STATUSES and answer.is_complete
    if is_not_run and runs and one.path.startswith("/once/"):
        found.append(f"answered {answer.status}, but has run")
    if answer.status in (401, 404):
        found.append(f"answered {answer.status} for a declared route and key")
    if answer.status == 200:
        if names.SIGNATURE not in answer.headers:
            found.append("a success without a signature")
        if answer.headers.get(names.REQUEST_ID) != one.request_id:
            found.append("another request's answer")
        is_stream = one.path.startswith("/stream/")
        if is_stream and answer.is_complete and answer.body != COMPLETE_STREAM:
            found.append(f"a complete stream with wrong events: {answer.body!r}")
        if is_stream and not COMPLETE_STREAM.startswith(answer.body):
            found.append(f"events out of order: {answer.body!r}")
    return found
