"""Problem answers: `application/problem+json`."""

from __future__ import annotations

import enum
import math

import msgspec
from aiohttp import web

from tealcove.dispatch import messages

CONTENT_TYPE = "application/problem+json"
# The outcome in metrics for a caller that disconnected before the answer was sent;
# no answer has it.
CALLER_GONE = "caller_gone"


class Outcome(enum.Enum):
    """The outcome of a request; docs/API.md has its guarantees to callers."""

    COMPLETED = "completed"
    # No byte was written to any backend server.
    NOT_RUN = "not_run"
    # Dispatched and partly run; idempotent, so it is safe to send again.
    INTERRUPTED = "interrupted"
    # Non-idempotent and dispatched; its outcome is unknown and it never runs again.
    UNKNOWN = "unknown"
    # The request can't be served as sent.
    REJECTED = "rejected"


class Problem(msgspec.Struct, frozen=True, omit_defaults=True, kw_only=True):
    """The body of a problem answer (RFC 9457)."""

    status: int
    title: str
    outcome: Outcome
    detail: str = ""
    reason: str = ""
    request_id: str = ""
    # Seconds; whole ones go into the Retry-After header, rounded up.
    retry_after: float | None = None


class ProblemError(Exception):
    """Raised to end a request with a problem as its one final answer."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.title)
        self.problem = problem


STATUS_BY_REASON = {
    messages.RefusalReason.ACCOUNT_LIMIT: 429,
    messages.RefusalReason.QUARANTINED: 422,
}
NOT_RUN_STATUS = 503
INTERRUPTED_STATUS = 502
UNKNOWN_STATUS = 500


def not_run(
    reason: messages.RefusalReason, retry_after: float | None, detail: str = ""
) -> ProblemError:
    """Return the error for a request that no backend server has received."""
    problem = Problem(
        status=STATUS_BY_REASON.get(reason, NOT_RUN_STATUS),
        title="The request was not run",
        outcome=Outcome.NOT_RUN,
        reason=reason.value,
        detail=detail,
        retry_after=retry_after,
    )
    return ProblemError(problem)


def interrupted(
    reason: str, detail: str = "", retry_after: float | None = None
) -> ProblemError:
    """Return the error for a request that a backend server didn't finish."""
    problem = Problem(
        status=INTERRUPTED_STATUS,
        title="The request was interrupted; it is safe to send it again",
        outcome=Outcome.INTERRUPTED,
        reason=reason,
        detail=detail,
        retry_after=retry_after,
    )
    return ProblemError(problem)


def unknown(
    reason: str, detail: str = "", retry_after: float | None = None
) -> ProblemError:
    """Return the error for a non-idempotent request with an unknown outcome."""
    problem = Problem(
        status=UNKNOWN_STATUS,
        title="Whether the request was carried out isn't known; it won't run again",
        outcome=Outcome.UNKNOWN,
        reason=reason,
        detail=detail,
        retry_after=retry_after,
    )
    return ProblemError(problem)


def rejected(status: int, title: str, detail: str = "") -> ProblemError:
    """Return the error for a request that can't be served as sent."""
    problem = Problem(
        status=status, title=title, outcome=Outcome.REJECTED, detail=detail
    )
    return ProblemError(problem)


def answer_not_kept() -> ProblemError:
    """Return the error for a completed request whose answer isn't stored."""
    problem = Problem(
        status=409,
        title="The request was carried out; its answer was too long to be kept",
        outcome=Outcome.COMPLETED,
        reason="answer_not_kept",
    )
    return ProblemError(problem)


def key_reused() -> ProblemError:
    """Return the error for a request whose key belongs to another one."""
    return rejected(
        422,
        "The Idempotency-Key belongs to another request",
        "Method, path or body differ from those sent first; take a new key.",
    )


def respond(problem: Problem, request_id: str = "") -> web.Response:
    """Return the HTTP response for a problem."""
    headers = {}
    if problem.retry_after is not None:
        headers["Retry-After"] = str(max(1, math.ceil(problem.retry_after)))
    if request_id:
        headers["X-Request-Id"] = request_id
    body = msgspec.json.encode(msgspec.structs.replace(problem, request_id=request_id))
    return web.Response(
        status=problem.status, body=body, headers=headers, content_type=CONTENT_TYPE
    )
