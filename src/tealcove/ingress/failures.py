"""Errors for backend servers' responses that can't be forwarded."""

from __future__ import annotations

from tealcove import errors
from tealcove.backends import engine


class FailedAnswerError(errors.BackendError):
    """The request failed at a backend server that may have run it."""


def failed(server: engine.Server, status: int) -> FailedAnswerError:
    """Return the error for a response with a server error status."""
    return FailedAnswerError(
        f"{server.name} responded with status {status}",
        "Ask its operator for the cause.",
    )


def silent(server: engine.Server) -> FailedAnswerError:
    """Return the error for a server that exceeded the silence timeout."""
    return FailedAnswerError(
        f"{server.name} sent nothing for far longer than predicted",
        "Check whether it hangs or loses responses.",
    )


def broken(problem: str) -> engine.BrokenStreamError:
    """Return the error for an incomplete response."""
    return engine.BrokenStreamError(
        f"the response can't be forwarded: {problem}", "See the server's log."
    )
