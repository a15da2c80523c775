"""Tracks whether aiohttp dispatched a call, and prevents its retries."""

from __future__ import annotations

import types
from collections.abc import Callable

import aiohttp

from tealcove import errors
from tealcove.backends import engine

# Headers that aiohttp would add to the caller's.
SKIPPED_AUTO_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


class SecondWriteError(errors.BackendError):
    """aiohttp was about to write a call a second time."""


class Attempt:
    """Records whether a byte of one call may have been written."""

    def __init__(self, dispatched: Callable[[], None]) -> None:
        self.dispatched = dispatched
        self.is_dispatched = False

    def dispatch(self) -> None:
        """Record that the first byte is about to be written."""
        self.is_dispatched = True
        self.dispatched()


def translate_error(
    server: engine.Server, attempt: Attempt, error: Exception
) -> errors.BackendError:
    """Translate the failure of a call to a BackendError.

    Whether the call was dispatched is read from the attempt, not from the error's
    type: a timeout, for example, occurs both before and after connecting.
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
    """Record in the attempt that the first byte is about to be written."""
    attempt: Attempt = context.trace_request_ctx
    attempt.dispatch()


async def forbid_second_write(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Convert a connection error to one that aiohttp doesn't retry.

    aiohttp retries a GET, PUT or DELETE when the server closes the connection
    without a response, and `force_close` doesn't prevent it. The service would then
    receive two calls with one id, unknown to the caller. The retry is triggered by
    two exception types, so these are replaced by another.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise SecondWriteError(
            f"The connection broke: {error!r}", "Don't write the call again."
        ) from error
