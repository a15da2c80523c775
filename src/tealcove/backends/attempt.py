"""One writing of a call by aiohttp: whether it began, and never a second one."""

from __future__ import annotations

import types
from collections.abc import Callable

import aiohttp

from tealcove import errors
from tealcove.backends import engine

# Headers that aiohttp would add to those of the caller.
SKIPPED_AUTO_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


class SecondWriteError(errors.BackendError):
    """aiohttp was about to write a call for the second time."""


class Attempt:
    """One call's way to its server: whether a byte of it may have been written."""

    def __init__(self, dispatched: Callable[[], None]) -> None:
        self.dispatched = dispatched
        self.is_dispatched = False

    def dispatch(self) -> None:
        """Note that the first byte is about to be written."""
        self.is_dispatched = True
        self.dispatched()


def translate_error(
    server: engine.Server, attempt: Attempt, error: Exception
) -> errors.BackendError:
    """Return what the failure of a call means.

    Whether it was dispatched is read from the attempt and not from the kind of
    error: a time-out, for one, comes before as well as after the connection.
    """
    if not attempt.is_dispatched:
        return engine.NotDispatchedError(
            f"{server.name} can't be reached: {error!r}",
            "Nothing was sent to it; see whether the process runs.",
        )
    return engine.BrokenStreamError(
        f"The response of {server.name} broke off: {error!r}",
        "Ask the service what became of the call.",
    )


async def notify_dispatched(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    params: aiohttp.TraceConnectionCreateEndParams,
) -> None:
    """Tell that the call's first byte is about to be written."""
    attempt: Attempt = context.trace_request_ctx
    attempt.dispatch()


async def forbid_second_write(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Turn a broken connection into an error that aiohttp doesn't retry.

    aiohttp writes a GET, PUT or DELETE a second time when the server closes the
    connection without an answer, and `force_close` doesn't keep it from that. The
    service would then count two calls of one id, and the caller would never know.
    The retry looks for these two kinds of error, so they leave under another.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise SecondWriteError(
            f"The connection broke: {error!r}", "Don't write the call again."
        ) from error
