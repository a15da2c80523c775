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
    """The body of an error."""

    type: str
    title: str
    status: int
    detail: str
    remedy: str
    field: str = ""
    # Of a conflict: the resource's revision (0: it doesn't exist) and its author.
    current_revision: int | None = None
    changed_by: str = ""


class Answer(msgspec.Struct, frozen=True):
    """What a kind of error is answered with."""

    error: type[errors.TealcoveError]
    status: int
    name: str
    title: str
    headers: dict[str, str] = {}


# The first that fits counts, so subclasses come before their base classes.
ANSWERS = (
    Answer(refusals.InUseError, 409, "in-use", "The resource is in use"),
    Answer(refusals.FieldError, 422, "invalid-field", "A field can't be accepted"),
    Answer(refusals.NotFoundError, 404, "not-found", "There is no such resource"),
    Answer(
        refusals.PreconditionRequiredError,
        428,
        "precondition-required",
        "The change must name the revision that it is based on",
    ),
    Answer(
        refusals.RevisionConflictError,
        409,
        "revision-conflict",
        "The resource is at another revision",
    ),
    Answer(
        refusals.IdempotencyMismatchError,
        422,
        "idempotency-key-reused",
        "The Idempotency-Key belongs to another change",
    ),
    Answer(refusals.CompactedError, 410, "compacted", "The changes were compacted"),
    Answer(
        refusals.UnauthorisedError,
        401,
        "unauthorised",
        "The request has no operator's key",
        CHALLENGE,
    ),
    Answer(refusals.BusyError, 503, "busy", "Other changes were faster", RETRY_AFTER),
    Answer(refusals.BadRequestError, 400, "bad-request", "The request is malformed"),
    Answer(refusals.TooLargeError, 413, "too-large", "The body is too large"),
    Answer(
        errors.OutcomeUnknownError,
        504,
        "outcome-unknown",
        "The change may have been applied",
        RETRY_AFTER,
    ),
    Answer(
        errors.PlatformError,
        503,
        "platform-unavailable",
        "The platform can't be reached; nothing was applied",
        RETRY_AFTER,
    ),
    Answer(errors.TealcoveError, 500, "internal", "The request failed"),
)


def answer_to(error: errors.TealcoveError) -> Answer:
    """Return how an error is answered."""
    return next(answer for answer in ANSWERS if isinstance(error, answer.error))


def problem(error: errors.TealcoveError) -> Problem:
    """Return the body that tells of an error."""
    answer = answer_to(error)
    current, changed_by = None, ""
    if isinstance(error, refusals.RevisionConflictError):
        current, changed_by = error.current, error.changed_by
    return Problem(
        type=TYPE_PREFIX + answer.name,
        title=answer.title,
        status=answer.status,
        detail=error.problem,
        remedy=error.remedy,
        field=error.field if isinstance(error, refusals.FieldError) else "",
        current_revision=current,
        changed_by=changed_by,
    )


def response(error: errors.TealcoveError) -> web.Response:
    """Return the response that tells of an error."""
    answer = answer_to(error)
    return web.Response(
        status=answer.status,
        body=msgspec.json.encode(problem(error)),
        content_type=CONTENT_TYPE,
        headers=answer.headers,
    )
