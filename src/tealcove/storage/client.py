"""The HTTP session with the platform, and what its failures mean."""

from __future__ import annotations

import ssl
from typing import Any, NoReturn, TypeVar

import aiohttp
import msgspec

from tealcove import errors
from tealcove.storage import table

T = TypeVar("T")

CONTENT_TYPE = "application/msgpack"
HTTP_OK = 200
# The answer of a read that found nothing. It isn't 404, which a wrong address
# gives too: an instance would take a platform it can't find for an empty one.
HTTP_NO_CONTENT = 204
HTTP_CONFLICT = 409
HTTP_TOO_MANY_REQUESTS = 429
HTTP_SERVER_ERROR = 500
HTTP_UNAVAILABLE = 503
# By these statuses the platform says that it did nothing with the call.
REFUSALS = (HTTP_TOO_MANY_REQUESTS, HTTP_UNAVAILABLE)
USABLE = (HTTP_OK, HTTP_NO_CONTENT, HTTP_CONFLICT)


class Timeouts(msgspec.Struct, frozen=True):
    """Limits of one call, in seconds."""

    # Until a connection stands; after that nothing has been sent yet.
    connect: float = 1.0
    # Until the whole reply is in, connecting included.
    total: float = 5.0


class Reply(msgspec.Struct, frozen=True):
    """A reply of the platform, whole."""

    status: int
    content: bytes


class PlatformClient:
    """One HTTP session, which all services of the platform share.

    Opens no connection before the first call. Must be made and closed inside
    the event loop that uses it.
    """

    def __init__(
        self,
        url: str,
        timeouts: Timeouts | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        chosen = timeouts or Timeouts()
        self.url = url.rstrip("/")
        self.encoder = msgspec.msgpack.Encoder()
        # For the metrics; a failure is a call without a usable reply.
        self.calls = 0
        self.failures = 0
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(ssl=tls or True),
            timeout=aiohttp.ClientTimeout(total=chosen.total, connect=chosen.connect),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def read(self, path: str, params: dict[str, str]) -> Reply:
        """Return the reply to a read: 200 or 204.

        Raises PlatformUnavailableError for everything else, since a read that
        failed in any way changed nothing and may be repeated.
        """
        try:
            reply = await self.call("GET", path, params, None)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise unavailable(f"a read failed: {describe(error)}") from error
        if reply.status not in (HTTP_OK, HTTP_NO_CONTENT):
            raise unavailable(f"a read was answered by status {reply.status}")
        return reply

    async def write(self, path: str, params: dict[str, str], body: Any) -> Reply:
        """Return the reply to a write: 200 or 409.

        Raises PlatformUnavailableError if it was certainly not applied, and
        OutcomeUnknownError if it may have been. `body` is bytes as they are,
        or a struct that is sent as MessagePack.

        Every write is a POST. aiohttp sends a PUT or DELETE a second time by
        itself when a reused connection breaks. After a lost reply, that would
        apply the write twice and hide the loss; one would notice an old object
        that comes back over a newer one.
        """
        content = body if isinstance(body, bytes) else self.encoder.encode(body)
        try:
            reply = await self.call("POST", path, params, content)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise unavailable(f"no connection: {describe(error)}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise unknown(f"the reply is missing: {describe(error)}") from error
        if reply.status in (HTTP_OK, HTTP_CONFLICT):
            return reply
        reject(reply)

    async def call(
        self, method: str, path: str, params: dict[str, str], content: bytes | None
    ) -> Reply:
        """Send one request and return the whole reply; raises aiohttp's errors."""
        self.calls += 1
        is_usable = False
        try:
            async with self.session.request(
                method,
                self.url + path,
                params=params,
                data=content,
                headers={"Content-Type": CONTENT_TYPE},
                allow_redirects=False,
            ) as response:
                reply = Reply(response.status, await response.read())
            is_usable = reply.status in USABLE
            return reply
        finally:
            self.failures += not is_usable


def decode_read(content: bytes, kind: type[T]) -> T:
    """Decode the reply to a read; raises PlatformUnavailableError."""
    try:
        return msgspec.msgpack.decode(content, type=kind)
    except msgspec.MsgspecError as error:
        raise unavailable(f"a reply can't be understood: {error}") from error


def decode_write(content: bytes, kind: type[T]) -> T:
    """Decode the reply to a write; raises OutcomeUnknownError."""
    try:
        return msgspec.msgpack.decode(content, type=kind)
    except msgspec.MsgspecError as error:
        raise unknown(f"a reply can't be understood: {error}") from error


def reject(reply: Reply) -> NoReturn:
    """Raise the error that the status of a write's reply stands for."""
    problem = f"a write was answered by status {reply.status}"
    if reply.status in REFUSALS:
        raise unavailable(problem)
    if reply.status >= HTTP_SERVER_ERROR:
        # A server that failed half way, or something between, may answer so
        # after the write was applied.
        raise unknown(problem)
    raise errors.PlatformError(
        f"the platform refused a call: status {reply.status}",
        "Check that the platform's address and version are the right ones.",
    )


def unavailable(problem: str) -> errors.PlatformUnavailableError:
    """Return the error for a call that certainly changed nothing."""
    return errors.PlatformUnavailableError(
        f"the platform can't be used: {problem}",
        "Try again later; check the platform's address and state.",
    )


def unknown(problem: str) -> errors.OutcomeUnknownError:
    """Return the error for a write that may have been applied."""
    return errors.OutcomeUnknownError(
        f"a write may have been applied: {problem}",
        "Read what it would have changed to find out.",
    )


def describe(error: BaseException) -> str:
    """Return an error's text, or its type where it has none (a timeout)."""
    return str(error) or type(error).__name__


def conflicts_of(reply: Reply) -> table.ConditionFailedError:
    """Return the error that lists every conflict of a 409.

    Raises PlatformUnavailableError if the list can't be understood, since a
    refused transaction was certainly not applied.
    """
    found = decode_read(reply.content, tuple[table.Conflict, ...])
    return table.ConditionFailedError(found)
