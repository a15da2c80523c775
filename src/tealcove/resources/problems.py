"""Errors of the resource API as `application/problem+json` (RFC 9457)."""

from __future__ import annotations

import msgspec
from aiohttp import web

from tealcove import errors
from tealcove.resources import refusals

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:tealcove:problem:"
RETRY_AFTER = {"Retry-After": "1"}
CHALLENGE = {"WWW-Authenticate": "Bearer"}


class Problem(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The body of an error response."""

    type: str
    title: str
    status: int
    detail: str
    remedy: str
    field: str = ""
    # On a conflict: the resource's revision (0 if it doesn't exist) and its author.
    current_revision: int | None = None
    changed_by: str = ""


class ProblemType(msgspec.Struct, frozen=True):
    """The status, name, title and headers for a class of errors."""

    error: type[errors.TealcoveError]
    status: int
    name: str
    title: str
    headers: dict[str, str] = {}


# The first match applies, so subclasses come before their base classes.
PROBLEM_TYPES = (
    ProblemType(refusals.InUseError, 409, "in-use", "The resource is in use"),
    ProblemType(refusals.FieldError, 422, "invalid-field", "A field can't be accepted"),
    ProblemType(refusals.NotFoundError, 404, "not-found", "There is no such resource"),
    ProblemType(
        refusals.PreconditionRequiredError,
        428,
        "precondition-required",
        "The change must name the revision that it is based on",
    ),
    ProblemType(
        refusals.RevisionConflictError,
        409,
        "revision-conflict",
        "The resource is at another revision",
    ),
    ProblemType(
        refusals.IdempotencyMismatchError,
        422,
        "idempotency-key-reused",
        "The Idempotency-Key belongs to another change",
    ),
    ProblemType(
        refusals.CompactedError, 410, "compacted", "The changes were compacted"
    ),
    ProblemType(
        refusals.UnauthorisedError,
        401,
        "unauthorised",
        "The request has no operator's key",
        CHALLENGE,
    ),
    ProblemType(
        refusals.BusyError, 503, "busy", "Other changes were faster", RETRY_AFTER
    ),
    ProblemType(
        refusals.BadRequestError, 400, "bad-request", "The request is malformed"
    ),
    ProblemType(refusals.TooLargeError, 413, "too-large", "The body is too large"),
    ProblemType(
        errors.OutcomeUnknownError,
        504,
        "outcome-unknown",
        "The change may have been applied",
        RETRY_AFTER,
    ),
    ProblemType(
        errors.PlatformError,
        503,
        "platform-unavailable",
        "The platform can't be reached; nothing was applied",
        RETRY_AFTER,
    ),
    ProblemType(errors.TealcoveError, 500, "internal", "The request failed"),
)


def problem_type_of(error: errors.TealcoveError) -> ProblemType:
    """Return the problem type of an error."""
    return next(
        problem_type
        for problem_type in PROBLEM_TYPES
        if isinstance(error, problem_type.error)
    )


def problem(error: errors.TealcoveError) -> Problem:
    """Return the response body for an error."""
    problem_type = problem_type_of(error)
    current, changed_by = None, ""
    if isinstance(error, refusals.RevisionConflictError):
        current, changed_by = error.current, error.changed_by
    return Problem(
        type=TYPE_PREFIX + problem_type.name,
        title=problem_type.title,
        status=problem_type.status,
        detail=error.problem,
        remedy=error.remedy,
        field=error.field if isinstance(error, refusals.FieldError) else "",
        current_revision=current,
        changed_by=changed_by,
    )


def response(error: errors.TealcoveError) -> web.Response:
    """Return the HTTP response for an error."""
    problem_type = problem_type_of(error)
    return web.Response(
        status=problem_type.status,
        body=msgspec.json.encode(problem(error)),
        content_type=CONTENT_TYPE,
        headers=problem_type.headers,
    )
