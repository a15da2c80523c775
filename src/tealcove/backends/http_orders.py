"""Sends orders to model engines over HTTP, each at most once."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable

import aiohttp
import msgspec

from tealcove import errors
from tealcove.backends import bodies, engine

PATH = "/orders"
HTTP_OK = 200
HTTP_OLD_NUMBER = 412
HTTP_SERVER_ERROR = 500


class Body:
    """The body of an order, which is written only if it may still be sent.

    aiohttp connects, writes the headers, and then iterates over the body. A process
    that is paused between its last check of the lease and the write would send an
    order under a lease that another process holds by then, and the engine would
    receive an old number after a newer one. A server that received only the headers
    can't execute anything.
    """

    def __init__(self, content: bytes, may_send: Callable[[], bool]) -> None:
        self.content = content
        self.may_send = may_send
        self.is_written = False

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the complete body, or raise NotDispatchedError."""
        if not self.may_send():
            raise not_sent("the lease ran out before the order was written")
        self.is_written = True
        yield self.content


async def send(
    session: aiohttp.ClientSession,
    server: engine.Server,
    order: engine.Order,
    may_send: Callable[[], bool],
    timeout: float,
) -> None:
    """Send an order; see EngineClient.order."""
    body = Body(msgspec.json.encode(order), may_send)
    limits = aiohttp.ClientTimeout(total=timeout)
    headers = {
        "Content-Type": "application/json",
        "Content-Length": str(len(body.content)),
    }
    try:
        async with session.post(
            f"{server.url}{PATH}", data=body.parts(), headers=headers, timeout=limits
        ) as response:
            await bodies.read(response)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        if not body.is_written:
            raise not_sent(f"{server.name} got no order: {error!r}") from error
        raise errors.BackendError(
            f"{server.name} didn't answer an order: {error!r}",
            "It may still be carried out; read the engine's state.",
        ) from error
    check(server, response.status)


def check(server: engine.Server, status: int) -> None:
    """Raise the error for a response's status, if any."""
    if status == HTTP_OK:
        return
    if status == HTTP_OLD_NUMBER:
        raise engine.OldNumberError(
            f"{server.name} has seen an order with a higher fencing number",
            "Another steward is in charge; nothing needs to be done.",
        )
    if status < HTTP_SERVER_ERROR:
        raise engine.RefusedCallError(
            f"{server.name} answered an order with status {status}",
            "Compare the engine with docs/BACKENDS.md.",
        )
    raise errors.BackendError(
        f"{server.name} answered an order with status {status}",
        "It may be carried out in part; read the engine's state.",
    )


def not_sent(problem: str) -> engine.NotDispatchedError:
    """Return the error for an order that wasn't sent."""
    return engine.NotDispatchedError(problem, "It is given again if still wanted.")
