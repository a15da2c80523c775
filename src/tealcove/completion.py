"""Client side of a single completion request."""

from __future__ import annotations

import typing

import aiohttp
import msgspec

from tealcove import connection, decoding

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
    """Options sent as headers; a header is left out for None and ""."""

    idempotency_key: str = ""
    # Seconds from now after which the answer is useless.
    deadline: float | None = None
    idempotent: bool = True

    def headers(self) -> dict[str, str]:
        """Return the headers of the request."""
        found = {"Content-Type": "application/json"}
        if self.idempotency_key:
            found["Idempotency-Key"] = self.idempotency_key
        if self.deadline is not None:
            found["Tealcove-Deadline"] = f"{self.deadline:g}"
        if not self.idempotent:
            found["Tealcove-Idempotent"] = NO
        return found


class Choice(msgspec.Struct, frozen=True):
    """The only choice of an answer."""

    text: str = ""


class Part(msgspec.Struct, frozen=True):
    """A complete answer, or one event of a streamed one."""

    choices: tuple[Choice, ...] = ()
    # Total number of tokens; only in the last event of a stream.
    count: int | None = None


async def send(
    link: connection.Connection, completion: Completion, options: Options
) -> typing.AsyncIterator[str]:
    """Send a request once and yield its text, in one piece unless it's streamed.

    Raises UnavailableError if it wasn't run, RefusedError with the outcome, or
    LostReplyError if the answer broke off: the text yielded is incomplete.
    """
    body = msgspec.json.encode(completion)
    request = link.open("POST", PATH, None, data=body, headers=options.headers())
    response = await read(request)
    async with response:
        if response.status >= connection.HTTP_FIRST_ERROR:
            raise error_from_response(response.status, await read(response.read()))
        if not completion.stream:
            body = await read(response.read())
            yield decoding.decode_json(body, Part).choices[0].text
            return
        complete = False
        while line := await read(response.content.readline()):
            content = line.removeprefix(DATA).strip()
            if not content or content == DONE:
                continue
            part = decoding.decode_json(content, Part)
            complete = complete or part.count is not None
            yield part.choices[0].text
        if not complete:
            raise broken_answer_error()


async def read(reading: typing.Awaitable[T]) -> T:
    """Await an answer or a part of it; raises LostReplyError."""
    try:
        return await reading
    except (aiohttp.ClientError, TimeoutError):
        raise broken_answer_error() from None


def broken_answer_error() -> connection.LostReplyError:
    """Return the error for an incomplete answer."""
    return connection.LostReplyError(
        "The answer broke off",
        "Send the request again with the same Idempotency-Key.",
    )


def error_from_response(status: int, body: bytes) -> connection.ClientError:
    """Return the error for a request that was refused or failed."""
    found = connection.error_from_response(status, body)
    if found.answer.outcome == NOT_RUN:
        return connection.UnavailableError(found.problem, "Send it again later.")
    return found
