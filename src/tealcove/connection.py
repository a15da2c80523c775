"""HTTP calls to one of several instances, with failover to the next."""

from __future__ import annotations

import asyncio
import ssl
import typing

import aiohttp
import msgspec

from tealcove import decoding, errors
from tealcove.backends import connector

T = typing.TypeVar("T")

HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503
HTTP_GATEWAY_TIMEOUT = 504
# Statuses after which the call is sent to another instance.
RETRIED_STATUSES = (HTTP_UNAVAILABLE, HTTP_GATEWAY_TIMEOUT)
HTTP_FIRST_ERROR = 400
# Status 409 alone isn't enough: a resource that is in use is also refused with it.
CONFLICT_TYPE = "urn:tealcove:problem:revision-conflict"
CALL_SECONDS = 10.0
CONNECT_SECONDS = 2.0
SYSTEM_AUTHORITIES = True


class ClientError(errors.TealcoveError):
    """A call to an instance that failed."""


class UnavailableError(ClientError):
    """No instance accepted the call: nothing was done."""


class LostReplyError(ClientError):
    """The call was sent and its reply lost: it may have been carried out."""


class TimedOutError(ClientError):
    """An event that was awaited didn't happen in time."""


class Problem(msgspec.Struct, frozen=True):
    """The problem details of a refused call (RFC 9457).

    `outcome` and `reason` are set for requests, the last four for resources.
    """

    title: str = ""
    detail: str = ""
    outcome: str = ""
    reason: str = ""
    type: str = ""
    field: str = ""
    remedy: str = ""
    current_revision: int | None = None


class RefusedError(ClientError):
    """An instance refused the call; a retry won't help."""

    def __init__(self, status: int, problem: Problem) -> None:
        parts = (problem.title, problem.reason, problem.detail)
        summary = ": ".join(part for part in parts if part)
        remedy = problem.remedy or "Correct the call; docs/API.md explains it."
        summary = summary.rstrip(".") or f"Refused with status {status}"
        super().__init__(summary, remedy)
        self.status = status
        self.answer = problem


class ConflictError(RefusedError):
    """The resource isn't at the expected revision; somebody else changed it."""


class Connection:
    """Sends calls to any known instance that answers; use it with `async with`."""

    def __init__(self, servers: typing.Sequence[str], key: str, ca: str = "") -> None:
        self.servers = [server.rstrip("/") for server in servers]
        self.key = key
        # With True, aiohttp checks certificates against the system's authorities.
        self.tls = ssl.create_default_context(cafile=ca) if ca else SYSTEM_AUTHORITIES
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> typing.Self:
        """Open the session."""
        headers = {"Authorization": f"Bearer {self.key}"} if self.key else {}
        self.session = aiohttp.ClientSession(
            headers=headers, connector=connector.BoundedConnector()
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close the session."""
        assert self.session is not None
        await self.session.close()

    def add_servers(self, servers: typing.Iterable[str]) -> None:
        """Add instances to try if the known ones fail."""
        for server in servers:
            if server not in self.servers:
                self.servers.append(server)

    async def send(
        self,
        server: str,
        method: str,
        path: str,
        seconds: float | None,
        options: dict[str, typing.Any],
    ) -> aiohttp.ClientResponse:
        """Send a call to one instance; `seconds` is the timeout of the whole call."""
        assert self.session is not None
        timeout = aiohttp.ClientTimeout(total=seconds, sock_connect=CONNECT_SECONDS)
        return await self.session.request(
            method, server + path, timeout=timeout, ssl=self.tls, **options
        )

    async def open(
        self, method: str, path: str, seconds: float | None, **options: typing.Any
    ) -> aiohttp.ClientResponse:
        """Open a call at the first instance that can be reached.

        The next instance is tried only if no byte was written to the one before, so
        that nothing is sent twice. Raises UnavailableError if all fail.
        """
        for server in list(self.servers):
            try:
                return await self.send(server, method, path, seconds, options)
            except aiohttp.ClientConnectorError:
                self.move_to_end(server)
        raise self.unavailable()

    async def call(self, method: str, path: str, **options: typing.Any) -> bytes:
        """Return the body of the answer from any instance.

        Only for calls that are safe to retry: reads, and writes with an
        Idempotency-Key. Raises UnavailableError, LostReplyError (a write that
        may have been carried out), RefusedError or ConflictError.
        """
        lost = False
        last_refusal = None
        for server in list(self.servers):
            try:
                return await self.call_at(server, method, path, options)
            except aiohttp.ClientConnectorError:
                pass
            except (aiohttp.ClientError, TimeoutError):
                lost = True
            except RefusedError as refusal:
                if refusal.status not in RETRIED_STATUSES:
                    raise
                lost = lost or refusal.status == HTTP_GATEWAY_TIMEOUT
                last_refusal = refusal
            self.move_to_end(server)
        if lost and method != "GET":
            raise lost_reply_error(method, path)
        raise (
            self.unavailable()
            if last_refusal is None
            else unavailable_everywhere(last_refusal)
        )

    async def call_at(
        self, server: str, method: str, path: str, options: dict[str, typing.Any]
    ) -> bytes:
        """Return the body of one instance's answer; also raises RefusedError."""
        response = await self.send(server, method, path, CALL_SECONDS, options)
        async with response:
            body = await response.read()
        if response.status >= HTTP_FIRST_ERROR:
            raise error_from_response(response.status, body)
        return body

    def move_to_end(self, server: str) -> None:
        """Move an instance that failed behind all others."""
        if server in self.servers:
            self.servers.remove(server)
            self.servers.append(server)

    def unavailable(self) -> UnavailableError:
        """Return the error for a call that no instance answered."""
        return UnavailableError(
            f"No instance answers at {', '.join(self.servers)}",
            "Check the addresses in --server or TEALCOVE_SERVER.",
        )


def lost_reply_error(method: str, path: str) -> LostReplyError:
    """Return the error for a write that may have been carried out."""
    return LostReplyError(
        f"Whether {method} {path} was carried out isn't known",
        "Read the resource to see whether the change was made.",
    )


def unavailable_everywhere(last: RefusedError) -> UnavailableError:
    """Return the error for a call that every instance refused for now."""
    return UnavailableError(last.problem, "Try again later; nothing was done.")


def error_from_response(status: int, body: bytes) -> RefusedError:
    """Return the error for a refused call."""
    try:
        problem = decoding.decode_json(body, Problem)
    except msgspec.DecodeError:
        problem = Problem(title=f"Status {status}")
    if problem.type == CONFLICT_TYPE:
        return ConflictError(status, problem)
    return RefusedError(status, problem)


async def within(seconds: float, awaited: typing.Awaitable[T], what: str) -> T:
    """Await something with a timeout; raises TimedOutError."""
    try:
        return await asyncio.wait_for(awaited, seconds)
    except TimeoutError:
        raise TimedOutError(
            f"{what} didn't happen within {seconds:g} s", "Give a longer --timeout."
        ) from None
