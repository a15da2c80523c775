"""Callers who ask which entries to use, and send again elsewhere when cut off."""

from __future__ import annotations

import asyncio
import enum
import hashlib
import random
import time
import typing

import aiohttp
import msgspec

from bench import arrivals, plans
from tealcove.entry import points
from tealcove.standins import answers, service

# A caller waits for its deadline and this long, then leaves.
GRACE = 0.5
SENDS = 4
REQUEST_ID = "X-Request-Id"
OK = 200


class End(enum.Enum):
    """How a request ended, as its caller saw it."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    INTERRUPTED = "interrupted"
    UNKNOWN = "unknown"
    REJECTED = "rejected"
    # An answer that isn't the whole one of this very request.
    WRONG = "wrong"
    # The caller left, since there was no final answer.
    LEFT = "left"
    # Every connection broke.
    CUT = "cut"


class Reply(msgspec.Struct, frozen=True):
    """What came back on one connection."""

    end: End
    reason: str = ""
    request_id: str = ""
    text: str = ""


class Sent(msgspec.Struct, frozen=True, kw_only=True):
    """One request and its end; times in seconds."""

    key: str
    tier: str
    length: plans.Length
    at: float
    deadline: float
    # From the time it was meant to be sent to the end, and how late it was sent.
    seconds: float
    lag: float
    end: End
    reason: str = ""
    sends: int = 1
    request_id: str = ""
    # When the answer came, by the machine's monotonic clock.
    answered: float = 0.0

    @property
    def is_good(self) -> bool:
        """Whether it was completed whole and in time."""
        return self.end is End.COMPLETED and self.seconds <= self.deadline


class Caller:
    """A program of one account in one data centre.

    One-way delays are modelled here only: a caller waits before it sends and
    after it got the answer, longer for an entry in another data centre.
    """

    def __init__(
        self,
        plan: plans.Plan,
        session: aiohttp.ClientSession,
        data_centre: str,
        api_key: str,
        known: list[str],
        seed: int,
    ) -> None:
        self.plan = plan
        self.session = session
        self.data_centre = data_centre
        self.api_key = api_key
        # URLs from the caller's own settings, for when no answer is at hand.
        self.known = known
        self.random = random.Random(seed)
        self.points: list[points.EntryPoint] = []
        self.kept_until = 0.0
        self.asking = asyncio.Lock()

    async def entries(self) -> list[points.EntryPoint]:
        """Return the addresses to use, asked again once their time is over."""
        async with self.asking:
            if time.monotonic() >= self.kept_until:
                await self.ask()
        return self.points

    async def ask(self) -> None:
        """Ask any instance that answers; keep the old answer if none does."""
        urls = [point.url for point in self.points] + self.known
        self.random.shuffle(urls)
        for url in urls:
            try:
                timeout = aiohttp.ClientTimeout(total=1.0)
                where = f"{url}/v1/entry-points"
                async with self.session.get(where, timeout=timeout) as response:
                    response.raise_for_status()
                    found = await response.read()
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue
            answer = msgspec.json.decode(found, type=points.EntryPoints)
            self.points = answer.entry_points
            self.kept_until = time.monotonic() + answer.ttl_seconds
            return

    async def send(self, request: arrivals.Request, start: float) -> Sent:
        """Send a request until it has a final answer, and say how it ended."""
        due = start + request.at
        lag = time.monotonic() - due
        sends = [0]
        try:
            async with asyncio.timeout(request.deadline + GRACE - lag):
                reply = await self.send_until_answered(request, due, sends)
        except TimeoutError:
            reply = Reply(End.LEFT)
        now = time.monotonic()
        if reply.end is End.COMPLETED and not is_own(reply.text, request):
            reply = Reply(End.WRONG, request_id=reply.request_id)
        return Sent(
            key=request.key,
            tier=request.tier,
            length=request.length,
            at=request.at,
            deadline=request.deadline,
            seconds=now - due,
            lag=lag,
            end=reply.end,
            reason=reply.reason,
            sends=sends[0],
            request_id=reply.request_id,
            answered=now,
        )

    async def send_until_answered(
        self, request: arrivals.Request, due: float, sends: list[int]
    ) -> Reply:
        """Send to one entry after the other until a connection stays whole."""
        reply = Reply(End.CUT)
        entries = await self.entries()
        for number in range(SENDS):
            if not entries:
                break
            point = entries[number % len(entries)]
            sends[0] += 1
            delay = plans.CLIENT_DELAY
            if point.data_centre != self.data_centre:
                delay += self.plan.delay
            await asyncio.sleep(delay)
            reply = await self.send_once(request, point.url, due)
            if reply.end is not End.CUT:
                await asyncio.sleep(delay)
                break
        return reply

    async def send_once(self, request: arrivals.Request, url: str, due: float) -> Reply:
        """Send a request on one connection; its key is the same each time."""
        remaining = max(0.001, due + request.deadline - time.monotonic())
        headers = {
            "Authorization": f"Bearer {self.api_key}",
            "Idempotency-Key": request.key,
            "Tealcove-Deadline": f"{remaining:.3f}",
            "Content-Type": "application/json",
        }
        try:
            async with self.session.post(
                f"{url}{request.path}", data=body_of(request), headers=headers
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, OSError):
            return Reply(End.CUT)
        request_id = response.headers.get(REQUEST_ID, "")
        try:
            content = msgspec.json.decode(body)
        except msgspec.DecodeError:
            # Not of the system's making, such as the library's own 404.
            return Reply(End.REJECTED, body[:80].decode(errors="replace"), request_id)
        if response.status == OK:
            text = text_of(content)
            return Reply(End.COMPLETED, request_id=request_id, text=text)
        return Reply(End(content["outcome"]), content.get("reason", ""), request_id)


def is_own(reply_text: str, request: arrivals.Request) -> bool:
    """Tell whether an answer is the whole one of this very request."""
    if request.length is plans.Length.CALL:
        digest = hashlib.blake2b(body_of(request), digest_size=service.DIGEST_BYTES)
        return reply_text == digest.hexdigest()
    return reply_text == answers.expected_answer(request.prompt, request.max_tokens)


def body_of(request: arrivals.Request) -> bytes:
    """Return what is sent."""
    if request.length is plans.Length.CALL:
        return request.prompt.encode()
    body = {"model": "m", "prompt": request.prompt, "max_tokens": request.max_tokens}
    return msgspec.json.encode(body)


def text_of(content: dict[str, typing.Any]) -> str:
    """Return an engine's text, or the digest that a plain service answers."""
    if "digest" in content:
        return content["digest"]
    return content["choices"][0]["text"]
