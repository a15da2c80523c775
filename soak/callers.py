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
# The same where streams are tested.
STREAM_PATHS = (*PATHS, *("/stream/x",) * 4)
CALLERS = 6
PAUSE = 0.03
TIMEOUT = aiohttp.ClientTimeout(total=4.0, sock_connect=1.0)
# Seconds after which a declared key must be in force at all instances.
IN_FORCE_SECONDS = 2.0
# Statuses which state that a request has not run, and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# The software versions that servers may have, and the whole stream of each.
VERSIONS = (poolserver.FIRST_VERSION, "v2", "v3")
WHOLE_STREAMS = {version: poolserver.stream_of(version) for version in VERSIONS}
# Tries of a caller whose stream breaks, at any instance each time.
MAX_TRIES = 3
EVENT_END = b"\n\n"


class CallResult(msgspec.Struct, frozen=True):
    """A finished request, as its caller saw it."""

    request_id: str
    path: str
    answer: platform_site.Answer
    # The instance that it was sent to.
    member: str
    sent_at: ids.Instant
    ended_at: ids.Instant
    # What the caller had of its stream before, and the try that brought its first
    # event.
    received: bytes = b""
    resumes: str | None = None
    # How many listed servers had the version of that stream when it was sent.
    version_servers: int = 0

    @property
    def stream(self) -> bytes:
        """The events of the stream over all its tries, in order."""
        return self.received + self.answer.body

    @property
    def is_broken_stream(self) -> bool:
        """Whether its caller has a part of a stream, and takes it up."""
        is_whole = self.answer.status == deployment.HTTP_OK and self.answer.is_complete
        return is_stream(self.path) and not is_whole and bool(taken_up(self)[0])


class Callers:
    """Sends requests from several callers until `is_stopping` is set."""

    default_paths = PATHS

    def __init__(
        self,
        running: deployment.Deployment,
        log: disturbances.DisturbanceLog,
        seed: int,
        paths: tuple[str, ...] | None = None,
    ) -> None:
        self.running = running
        self.paths = paths or self.default_paths
        self.disturbances = log
        self.random = random.Random(seed)
        self.results: list[CallResult] = []
        self.count = 0
        self.request_prefix = "r"
        self.is_stopping = False
        # The newest key that each process has accepted, by its instance and number.
        self.accepted: dict[tuple[str, int], int] = {}

    @property
    def all_results(self) -> list[CallResult]:
        """The results of these callers and of others that run with them."""
        return self.results

    async def run(self) -> None:
        """Run all callers until `is_stopping` is set."""
        async with aiohttp.ClientSession(timeout=TIMEOUT) as session:
            await asyncio.gather(*(self.call(session) for _ in range(CALLERS)))

    async def call(self, session: aiohttp.ClientSession) -> None:
        """Run one caller, which sends each request to a random instance."""
        while not self.is_stopping:
            path = self.random.choice(self.paths)
            ended = await self.try_once(session, path)
            for _ in range(MAX_TRIES - 1):
                if not ended.is_broken_stream:
                    break
                await asyncio.sleep(PAUSE)
                ended = await self.try_once(session, path, ended)
            await asyncio.sleep(PAUSE)

    async def try_once(
        self,
        session: aiohttp.ClientSession,
        path: str,
        before: CallResult | None = None,
        member: deployment.Member | None = None,
    ) -> CallResult:
        """Send a request, to a random instance unless one is given.

        It takes a stream up that has broken.
        """
        self.count += 1
        request_id = f"{self.request_prefix}-{self.count}"
        member = member or self.random.choice(self.running.members)
        process = (member.name, member.process.pid)
        received, resumes = taken_up(before)
        version_servers = self.count_servers(received)
        sent_at = clock.now()
        key = self.key_at(member, sent_at)
        answer = await self.send(
            session,
            member,
            request_id,
            path,
            key,
            {**self.more_headers(), **resuming(received, resumes)},
        )
        if answer.status == deployment.HTTP_OK and process[1] == member.process.pid:
            self.note_accepted(process, key)
        ended = CallResult(
            request_id=request_id,
            path=path,
            answer=answer,
            member=member.name,
            sent_at=sent_at,
            ended_at=clock.now(),
            received=received,
            resumes=resumes,
            version_servers=version_servers,
        )
        self.results.append(ended)
        return ended

    def more_headers(self) -> dict[str, str]:
        """Return the headers of this kind of callers."""
        return {}

    def count_servers(self, received: bytes) -> int:
        """Return how many listed servers have the version of a begun stream."""
        version = version_of(received)
        return sum(
            server.version == version and self.running.states[server.name] == "ready"
            for server in self.running.servers
        )

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
        more: dict[str, str],
    ) -> platform_site.Answer:
        """Send one request with a key and more headers."""
        headers = {
            "Host": platform_site.HOST,
            names.REQUEST_ID: request_id,
            names.API_KEY: key,
            names.DEADLINE_MS: "3000",
            **more,
        }
        url = f"http://{member.listen['callers']}{path}"
        try:
            async with session.post(url, headers=headers, data=b"x") as response:
                return await platform_site.read(response)
        except aiohttp.ClientConnectorError:
            return platform_site.Answer(None, b"", False, is_unreached=True)
        except (aiohttp.ClientError, TimeoutError):
            return platform_site.Answer(None, b"", False)


def is_stream(path: str) -> bool:
    """Tell whether the answers of a path are streams."""
    return path.startswith("/stream/")


def taken_up(before: CallResult | None) -> tuple[bytes, str | None]:
    """Return the events that a caller has, and the try that brought the first one."""
    if before is None:
        return b"", None
    if before.answer.status != deployment.HTTP_OK:
        return before.received, before.resumes
    events = before.stream[: before.stream.rfind(EVENT_END) + len(EVENT_END)]
    if EVENT_END not in events:
        return b"", None
    return events, before.resumes or before.request_id


def resuming(received: bytes, resumes: str | None) -> dict[str, str]:
    """Return the headers of a try that takes a stream up; none if it begins."""
    if resumes is None:
        return {}
    last = received.count(EVENT_END)
    return {names.LAST_EVENT_ID: str(last), names.RESUMES: resumes}


def version_of(received: bytes) -> str | None:
    """Return the version that wrote the events of a stream, or None."""
    if not received:
        return None
    fitting = (v for v, whole in WHOLE_STREAMS.items() if whole.startswith(received))
    return next(fitting, None)


def reason_of(answer: platform_site.Answer) -> str | None:
    """Return why a request was refused, or None."""
    if answer.status not in NOT_RUN_STATUSES or not answer.is_complete:
        return None
    return msgspec.json.decode(answer.body).get("reason")


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
        wholes = WHOLE_STREAMS.values()
        if is_stream(one.path) and answer.is_complete and one.stream not in wholes:
            found.append(f"a complete stream with wrong events: {one.stream!r}")
        if is_stream(one.path) and not any(w.startswith(one.stream) for w in wholes):
            found.append(f"events out of order, or of two versions: {one.stream!r}")
    reason = reason_of(answer)
    if runs and reason is not None and reason.startswith("version_"):
        found.append(f"refused as {reason}, but has run")
    return found
