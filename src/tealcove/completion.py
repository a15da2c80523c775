"""Sending one completion request, as a caller does."""

from __future__ import annotations

import typing

import aiohttp
import msgspec

from tealcove import connection

PATH = "/v1/completions"
DATA = b"data: "
DONE = b"[DONE]"
NO = "no"
NOT_RUN = "not_run"

T = typing.TypeVar("T")


class Completion(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The body of the request."""

    model: str
    prompt: str
    max_tokens: int
    adapter: str | None = None
    stream: bool = False


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """What the caller asks besides; None and "" leave a header out."""

    idempotency_key: str = ""
    # Seconds from now after which the answer is of no use.
    deadline: float | None = None
    idempotent: bool = True

    def headers(self) -> dict[str, str]:
        """Return the headers that say so."""
        found = {"Content-Type": "application/json"}
        if self.idempotency_key:
            found["Idempotency-Key"] = self.idempotency_key
        if self.deadline is not None:
            found["Tealcove-Deadline"] = f"{self.deadline:g}"
        if not self.idempotent:
            found["Tealcove-Idempotent"] = NO
        return found


class Choice(msgspec.Struct, frozen=True):
    """The one choice of an answer."""

    text: str = ""


class Part(msgspec.Struct, frozen=True):
    """A buffered answer, or one event of a streamed one."""

    choices: tuple[Choice, ...] = ()
    # Tokens in all; only the event that closes a stream has it.
    count: int | None = None


async def send(
    link: connection.Connection, completion: Completion, options: Options
) -> typing.AsyncIterator[str]:
    """Send a request once and yield its text, in one piece unless it's streamed.

    Raises UnavailableError if it wasn't run, RefusedError with the outcome, or
    LostReplyError when the answer broke off: its text isn't the whole answer.
    """
    body = msgspec.json.encode(completion)
    request = link.open("POST", PATH, None, data=body, headers=options.headers())
    response = await read(request)
    async with response:
        if response.status >= connection.HTTP_FIRST_ERROR:
            raise refusal(response.status, await read(response.read()))
        if not completion.stream:
            body = await read(response.read())
            yield msgspec.json.decode(body, type=Part).choices[0].text
            return
        complete = False
        while line := await read(response.content.readline()):
            content = line.removeprefix(DATA).strip()
            if not content or content == DONE:
                continue
            part = msgspec.json.decode(content, type=Part)
            complete = complete or part.count is not None
            yield part.choices[0].text
        if not complete:
            raise broken()


async def read(reading: typing.Awaitable[T]) -> T:
    """Await the answer or a part of it; raises LostReplyError."""
    try:
        return await reading
    except (aiohttp.ClientError, TimeoutError):
        raise broken() from None


def broken() -> connection.LostReplyError:
    """Return the error for an answer that isn't whole."""
    return connection.LostReplyError(
        "The answer broke off",
        "Send the request again with the same Idempotency-Key.",
    )


def refusal(status: int, body: bytes) -> connection.ClientError:
    """Return the error for a request that has no result."""
    found = connection.refusal(status, body)
    if found.answer.outcome == NOT_RUN:
        return connection.UnavailableError(found.problem, "Send it again later.")
    return found
