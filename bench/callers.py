"""Clients that look up entry points and retry at another when disconnected."""

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

# Seconds after its deadline at which a caller gives up.
TIMEOUT_MARGIN = 0.5
MAX_ATTEMPTS = 4
REQUEST_ID = "X-Request-Id"
OK = 200


class Outcome(enum.Enum):
    """The outcome of a request as its caller saw it."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    INTERRUPTED = "interrupted"
    UNKNOWN = "unknown"
    REJECTED = "rejected"
    # The answer is incomplete or belongs to another request.
    WRONG = "wrong"
    # The caller gave up without a final answer.
    TIMED_OUT = "left"
    # Every attempt's connection broke.
    DISCONNECTED = "cut"


class Reply(msgspec.Struct, frozen=True):
    """The outcome of one attempt."""

    outcome: Outcome
    reason: str = ""
    request_id: str = ""
    text: str = ""


class SentRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request and its outcome; times in seconds."""

    key: str
    account: str = ""
    tier: str
    length: plans.Length
    at: float
    deadline: float
    # Time from the scheduled sending to the outcome, and the delay of the sending.
    seconds: float
    lag: float
    outcome: Outcome
    reason: str = ""
    attempts: int = 1
    request_id: str = ""
    # When the answer arrived, by the machine's monotonic clock.
    answered: float = 0.0

    @property
    def is_good(self) -> bool:
        """Whether the whole answer arrived by its deadline."""
        return self.outcome is Outcome.COMPLETED and self.seconds <= self.deadline


class Caller:
    """A client of one account in one data centre.

    One-way delays are modelled here only: a caller waits before it sends and
    after it received the answer, longer for an entry in another data centre.
    """

    def __init__(
        self,
        plan: plans.Plan,
        session: aiohttp.ClientSession,
        data_centre: str,
        api_key: str,
        configured_urls: list[str],
        seed: int,
    ) -> None:
        self.plan = plan
        self.session = session
        self.data_centre = data_centre
        self.api_key = api_key
        # Fallback URLs for when no entry point is known or answers.
        self.configured_urls = configured_urls
        self.random = random.Random(seed)
        self.points: list[points.EntryPoint] = []
        self.points_valid_until = 0.0
        self.refresh_lock = asyncio.Lock()

    async def current_entry_points(self) -> list[points.EntryPoint]:
        """Return the entry points, refreshed once their time to live is over."""
        async with self.refresh_lock:
            if time.monotonic() >= self.points_valid_until:
                await self.refresh_entry_points()
        return self.points

    async def refresh_entry_points(self) -> None:
        """Fetch the entry points from any instance; keep the old ones on failure."""
        urls = [point.url for point in self.points] + self.configured_urls
        self.random.shuffle(urls)
        for url in urls:
            try:
                timeout = aiohttp.ClientTimeout(total=1.0)
                where = f"{url}/v1/entry-points"
                async with self.session.get(where, timeout=timeout) as response:
                    response.raise_for_status()
                    content = await response.read()
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue
            answer = msgspec.json.decode(content, type=points.EntryPoints)
            self.points = answer.entry_points
            self.points_valid_until = time.monotonic() + answer.ttl_seconds
            return

    async def send(self, request: arrivals.Request, start: float) -> SentRequest:
        """Send a request until it has a final answer, and return its outcome."""
        due = start + request.at
        lag = time.monotonic() - due
        attempts = [0]
        try:
            async with asyncio.timeout(request.deadline + TIMEOUT_MARGIN - lag):
                reply = await self.send_until_answered(request, due, attempts)
        except TimeoutError:
            reply = Reply(Outcome.TIMED_OUT)
        now = time.monotonic()
        if reply.outcome is Outcome.COMPLETED and not is_expected_answer(
            reply.text, request
        ):
            reply = Reply(Outcome.WRONG, request_id=reply.request_id)
        return SentRequest(
            key=request.key,
            account=request.account,
            tier=request.tier,
            length=request.length,
            at=request.at,
            deadline=request.deadline,
            seconds=now - due,
            lag=lag,
            outcome=reply.outcome,
            reason=reply.reason,
            attempts=attempts[0],
            request_id=reply.request_id,
            answered=now,
        )

    async def send_until_answered(
        self, request: arrivals.Request, due: float, attempts: list[int]
    ) -> Reply:
        """Try one entry after the other until a connection doesn't break."""
        reply = Reply(Outcome.DISCONNECTED)
        entries = await self.current_entry_points()
        for number in range(MAX_ATTEMPTS):
            if not entries:
                break
            point = entries[number % len(entries)]
            attempts[0] += 1
            delay = plans.CLIENT_DELAY
            if point.data_centre != self.data_centre:
                delay += self.plan.delay
            await asyncio.sleep(delay)
            reply = await self.send_to_entry(request, point.url, due)
            if reply.outcome is not Outcome.DISCONNECTED:
                await asyncio.sleep(delay)
                break
        return reply

    async def send_to_entry(
        self, request: arrivals.Request, url: str, due: float
    ) -> Reply:
        """Send a request to an entry, with the same idempotency key on each attempt."""
        remaining = max(0.001, due + request.deadline - time.monotonic())
        headers = {
            "Authorization": f"Bearer {self.api_key}",
            "Idempotency-Key": request.key,
            "Tealcove-Deadline": f"{remaining:.3f}",
            "Content-Type": "application/json",
        }
        try:
            async with self.session.post(
                f"{url}{request.path}", data=request_body(request), headers=headers
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, OSError):
            return Reply(Outcome.DISCONNECTED)
        request_id = response.headers.get(REQUEST_ID, "")
        try:
            content = msgspec.json.decode(body)
        except msgspec.DecodeError:
            # Not an answer of the system, such as the HTTP library's own 404.
            return Reply(
                Outcome.REJECTED, body[:80].decode(errors="replace"), request_id
            )
        if response.status == OK:
            text = answer_text(content)
            return Reply(Outcome.COMPLETED, request_id=request_id, text=text)
        return Reply(Outcome(content["outcome"]), content.get("reason", ""), request_id)


def is_expected_answer(reply_text: str, request: arrivals.Request) -> bool:
    """Return whether an answer is complete and belongs to the request."""
    if request.length is plans.Length.CALL:
        digest = hashlib.blake2b(
            request_body(request), digest_size=service.DIGEST_BYTES
        )
        return reply_text == digest.hexdigest()
    return reply_text == answers.expected_answer(request.prompt, request.max_tokens)


def request_body(request: arrivals.Request) -> bytes:
    """Return the body of a request."""
    if request.length is plans.Length.CALL:
        return request.prompt.encode()
    body = {"model": "m", "prompt": request.prompt, "max_tokens": request.max_tokens}
    return msgspec.json.encode(body)


def answer_text(content: dict[str, typing.Any]) -> str:
    """Return an engine's text, or the digest in a plain service's answer."""
    if "digest" in content:
        return content["digest"]
    return content["choices"][0]["text"]
