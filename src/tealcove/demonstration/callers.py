"""The callers of the demo, which send the mix and check each answer."""

from __future__ import annotations

import asyncio
import enum
import hashlib

import aiohttp
import msgspec

from tealcove import clock, decoding, ids
from tealcove.demonstration import mix, parts
from tealcove.standins import answers
from tealcove.standins import service as service_standin

# Seconds after the deadline for which a caller waits before the answer is lost.
GRACE_SECONDS = 4.0
PATHS = {
    mix.RequestKind.COMPLETION: ("POST", "/v1/completions"),
    mix.RequestKind.CHAT: ("POST", "/v1/chat/completions"),
    mix.RequestKind.LOOKUP: ("GET", parts.LOOKUP_PATH),
    mix.RequestKind.QUOTE: ("POST", parts.QUOTE_PATH),
}
BROKEN_STREAM = "broken stream"
DATA = b"data: "
DONE = b"[DONE]"
REQUEST_ID = "X-Request-Id"
OK = 200


class End(enum.Enum):
    """How a request ended, as its caller saw it."""

    WHOLE = "whole"
    NOT_RUN = "not_run"
    # By a problem answer, or a stream that broke in a way that the client detects.
    INTERRUPTED = "interrupted"
    UNKNOWN = "unknown"
    REJECTED = "rejected"
    # The answer to another request, or an incomplete one.
    MIXED_UP = "mixed_up"
    # The connection broke, or there was no answer long after the deadline.
    LOST = "lost"


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """One final answer."""

    end: End
    reason: str = ""
    request_id: str = ""
    # Seconds from sending to the first token; None without a stream.
    first_token: float | None = None


class CallResult(msgspec.Struct, frozen=True, kw_only=True):
    """A request with its answer."""

    request: mix.Request
    answer: Answer
    # Seconds from sending to the last byte.
    seconds: float

    @property
    def in_time(self) -> bool:
        """Whether the caller received the complete answer by its deadline."""
        within = self.seconds <= self.request.deadline
        return self.answer.end is End.WHOLE and within


class Message(msgspec.Struct, frozen=True):
    """A chat message, or a delta of one."""

    content: str = ""


class Choice(msgspec.Struct, frozen=True):
    """The only choice of an answer or an event."""

    text: str = ""
    message: Message | None = None
    delta: Message | None = None

    def content(self) -> str:
        """Return the text, whose field depends on the kind of answer."""
        message = self.message or self.delta
        return self.text if message is None else message.content


class Part(msgspec.Struct, frozen=True):
    """A buffered answer, or one event of a streamed one."""

    choices: tuple[Choice, ...] = ()
    # Total number of tokens; only the closing event of a stream has it.
    count: int | None = None

    def text(self) -> str:
        """Return the text of all choices."""
        return "".join(choice.content() for choice in self.choices)


class Problem(msgspec.Struct, frozen=True):
    """An error answer."""

    outcome: End = End.REJECTED
    reason: str = ""


class Callers:
    """Sends requests at their times and records the results."""

    def __init__(self, url: str, keys: dict[str, str]) -> None:
        self.url = url
        # Bearer keys by client account.
        self.keys = keys
        self.sent = 0
        self.results: list[CallResult] = []
        # A caller's connection must not wait for another caller's answer.
        self.connector = aiohttp.TCPConnector(limit=0)
        self.session: aiohttp.ClientSession | None = None

    async def send_all(self, requests: list[mix.Request]) -> list[CallResult]:
        """Send all requests, each at its time, and return the results."""
        async with aiohttp.ClientSession(connector=self.connector) as session:
            self.session = session
            start = clock.now()
            async with asyncio.TaskGroup() as group:
                for request in requests:
                    await asyncio.sleep(max(0.0, start + request.at - clock.now()))
                    self.sent += 1
                    group.create_task(self.send(request))
        return self.results

    async def send(self, request: mix.Request) -> None:
        """Send one request, without a retry, and record the result."""
        start = clock.now()
        try:
            async with asyncio.timeout(request.deadline + GRACE_SECONDS):
                answer = await self.exchange(request, start)
        except (aiohttp.ClientError, OSError, msgspec.DecodeError) as error:
            answer = Answer(end=End.LOST, reason=type(error).__name__)
        seconds = clock.now() - start
        self.results.append(CallResult(request=request, answer=answer, seconds=seconds))

    async def exchange(self, request: mix.Request, start: ids.Instant) -> Answer:
        """Send a request and read its final answer."""
        method, path = PATHS[request.kind]
        headers = self.headers(request)
        async with self.session.request(
            method, self.url + path, data=body_of(request), headers=headers
        ) as response:
            request_id = response.headers.get(REQUEST_ID, "")
            if response.status != OK:
                return problem_answer(await response.read(), request_id)
            if request.stream:
                return await read_stream(response, request, start)
            is_correct = is_correct_answer(await response.read(), request, request_id)
            return Answer(end=end_of(is_correct), request_id=request_id)

    def headers(self, request: mix.Request) -> dict[str, str]:
        """Return the headers of a request."""
        return {
            "Authorization": f"Bearer {self.keys[request.account]}",
            "Content-Type": "application/json",
            "Idempotency-Key": request.key,
            "Tealcove-Deadline": f"{request.deadline:g}",
        }


def body_of(request: mix.Request) -> bytes | None:
    """Return the body of a request."""
    if request.kind is mix.RequestKind.LOOKUP:
        return None
    if request.kind is mix.RequestKind.QUOTE:
        return request.content.encode()
    body: dict[str, object] = {
        "model": parts.MODEL,
        "max_tokens": request.max_tokens,
        "stream": request.stream,
    }
    if request.kind is mix.RequestKind.CHAT:
        body["messages"] = [{"role": "user", "content": request.content}]
    else:
        body["prompt"] = request.content
    return msgspec.json.encode(body)


async def read_stream(
    response: aiohttp.ClientResponse, request: mix.Request, start: ids.Instant
) -> Answer:
    """Read a streamed answer; it is incomplete without its closing event."""
    request_id = response.headers.get(REQUEST_ID, "")
    text = ""
    first_token = None
    count = None
    try:
        async for line in response.content:
            content = line.removeprefix(DATA).strip()
            if not content or content == DONE:
                continue
            if first_token is None:
                first_token = clock.now() - start
            part = decoding.decode_json(content, Part)
            text += part.text()
            count = part.count
    except aiohttp.ClientPayloadError:
        return Answer(end=End.INTERRUPTED, reason=BROKEN_STREAM, request_id=request_id)
    is_correct = text == expected(request) and count == request.max_tokens
    return Answer(
        end=end_of(is_correct), request_id=request_id, first_token=first_token
    )


def is_correct_answer(body: bytes, request: mix.Request, request_id: str) -> bool:
    """Tell whether a buffered answer is the complete one to this request."""
    if request.for_engine:
        return decoding.decode_json(body, Part).text() == expected(request)
    found = decoding.decode_json(body, service_standin.Answer)
    content = body_of(request) or b""
    size = service_standin.DIGEST_BYTES
    digest = hashlib.blake2b(content, digest_size=size).hexdigest()
    return (found.digest, found.request_id) == (digest, request_id)


def expected(request: mix.Request) -> str:
    """Return the answer of any engine to a request."""
    prompt = request.content
    if request.kind is mix.RequestKind.CHAT:
        prompt = f"user: {prompt}\n"
    return answers.expected_answer(prompt, request.max_tokens)


def end_of(is_correct: bool) -> End:
    """Return the end of a request with a result."""
    return End.WHOLE if is_correct else End.MIXED_UP


def problem_answer(body: bytes, request_id: str) -> Answer:
    """Convert an error answer."""
    found = decoding.decode_json(body, Problem)
    return Answer(end=found.outcome, reason=found.reason, request_id=request_id)
