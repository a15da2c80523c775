"""Why an answer of a backend server can't be passed on."""

from __future__ import annotations

from tealcove import errors
from tealcove.backends import engine


class FailedAnswerError(errors.BackendError):
    """A backend server ran the request and it has failed there."""


def failed(server: engine.Server, status: int) -> FailedAnswerError:
    """Return the error for an answer that says that the request has failed."""
    return FailedAnswerError(
        f"{server.name} answered {status}", "Ask its operator for the cause."
    )


def silent(server: engine.Server) -> FailedAnswerError:
    """Return the error for a server that showed nothing for far too long."""
    return FailedAnswerError(
        f"{server.name} has shown nothing for far longer than predicted",
        "Look whether it hangs, or loses answers.",
    )


def broken(problem: str) -> engine.BrokenStreamError:
    """Return the error for an answer that isn't whole."""
    return engine.BrokenStreamError(
        f"the answer can't be passed on: {problem}", "Look at the server's log."
    )
