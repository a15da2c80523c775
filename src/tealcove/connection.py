"""HTTP calls to any of several instances, the next one when one fails."""

from __future__ import annotations

import asyncio
import ssl
import typing

import aiohttp
import msgspec

from tealcove import errors

T = typing.TypeVar("T")

HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503
HTTP_GATEWAY_TIMEOUT = 504
# Answers after which another instance is worth a try.
RETRIED_STATUSES = (HTTP_UNAVAILABLE, HTTP_GATEWAY_TIMEOUT)
HTTP_FIRST_ERROR = 400
# An "in use" is status 409 too, but no conflict with another change.
CONFLICT_TYPE = "urn:tealcove:problem:revision-conflict"
CALL_SECONDS = 10.0
CONNECT_SECONDS = 2.0
SYSTEM_AUTHORITIES = True


class ClientError(errors.TealcoveError):
    """A call of an instance that didn't end well."""


class UnavailableError(ClientError):
    """No instance took the call: nothing was done."""


class LostReplyError(ClientError):
    """The call was sent, and its reply never came: it may have been carried out."""


class TimedOutError(ClientError):
    """What was waited for didn't happen in time."""


class Problem(msgspec.Struct, frozen=True):
    """What an instance says of a call that it refused (RFC 9457).

    `outcome` and `reason` come with requests, the last four with resources.
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
    """An instance refused the call, for good."""

    def __init__(self, status: int, problem: Problem) -> None:
        parts = (problem.title, problem.reason, problem.detail)
        said = ": ".join(part for part in parts if part)
        remedy = problem.remedy or "Correct the call; docs/API.md explains it."
        said = said.rstrip(".") or f"Refused with status {status}"
        super().__init__(said, remedy)
        self.status = status
        self.answer = problem


class ConflictError(RefusedError):
    """The resource isn't as the call expected; somebody else changed it."""


class Connection:
    """Calls to whichever known instance answers; use it with `async with`."""

    def __init__(self, servers: typing.Sequence[str], key: str, ca: str = "") -> None:
        self.servers = [server.rstrip("/") for server in servers]
        self.key = key
        # Plain True has aiohttp check certificates against the system's authorities.
        self.tls = ssl.create_default_context(cafile=ca) if ca else SYSTEM_AUTHORITIES
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> typing.Self:
        """Open the session."""
        headers = {"Authorization": f"Bearer {self.key}"} if self.key else {}
        self.session = aiohttp.ClientSession(headers=headers)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close the session."""
        assert self.session is not None
        await self.session.close()

    def add_servers(self, servers: typing.Iterable[str]) -> None:
        """Add instances to turn to when the known ones fail."""
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
        """Send a call to one instance; `seconds` limits the whole of it."""
        assert self.session is not None
        timeout = aiohttp.ClientTimeout(total=seconds, sock_connect=CONNECT_SECONDS)
        return await self.session.request(
            method, server + path, timeout=timeout, ssl=self.tls, **options
        )

    async def open(
        self, method: str, path: str, seconds: float | None, **options: typing.Any
    ) -> aiohttp.ClientResponse:
        """Open a call at the first instance that can be reached.

        Only an instance to which no byte was written is passed over, so nothing
        is ever sent twice. Raises UnavailableError if there is none.
        """
        for server in list(self.servers):
            try:
                return await self.send(server, method, path, seconds, options)
            except aiohttp.ClientConnectorError:
                self.move_to_end(server)
        raise self.unavailable()

    async def call(self, method: str, path: str, **options: typing.Any) -> bytes:
        """Return the answer's body, from any instance.

        Only for calls that may be sent again: reads, and writes that carry an
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
            raise lost_reply(method, path)
        raise (
            self.unavailable()
            if last_refusal is None
            else unavailable_everywhere(last_refusal)
        )

    async def call_at(
        self, server: str, method: str, path: str, options: dict[str, typing.Any]
    ) -> bytes:
        """Return the answer's body from one instance; raises RefusedError too."""
        response = await self.send(server, method, path, CALL_SECONDS, options)
        async with response:
            body = await response.read()
        if response.status >= HTTP_FIRST_ERROR:
            raise refusal(response.status, body)
        return body

    def move_to_end(self, server: str) -> None:
        """Turn to an instance that failed only after all others."""
        if server in self.servers:
            self.servers.remove(server)
            self.servers.append(server)

    def unavailable(self) -> UnavailableError:
        """Return the error for the case that no instance took a call."""
        return UnavailableError(
            f"No instance answers at {', '.join(self.servers)}",
            "Check the addresses in --server or TEALCOVE_SERVER.",
        )


def lost_reply(method: str, path: str) -> LostReplyError:
    """Return the error for a write that may have been carried out."""
    return LostReplyError(
        f"Whether {method} {path} was carried out isn't known",
        "Read the resource to see whether the change was made.",
    )


def unavailable_everywhere(last: RefusedError) -> UnavailableError:
    """Return the error for the case that every instance said: not now."""
    return UnavailableError(last.problem, "Try again later; nothing was done.")


def refusal(status: int, body: bytes) -> RefusedError:
    """Return the error for a refused call."""
    try:
        problem = msgspec.json.decode(body, type=Problem)
    except msgspec.DecodeError:
        problem = Problem(title=f"Status {status}")
    if problem.type == CONFLICT_TYPE:
        return ConflictError(status, problem)
    return RefusedError(status, problem)


async def within(seconds: float, awaited: typing.Awaitable[T], what: str) -> T:
    """Await something for a time; raises TimedOutError."""
    try:
        return await asyncio.wait_for(awaited, seconds)
    except TimeoutError:
        raise TimedOutError(
            f"{what} didn't happen within {seconds:g} s", "Give a longer --timeout."
        ) from None
