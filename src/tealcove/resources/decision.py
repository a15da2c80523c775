"""Validation of a change against one configuration, and its outcome."""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.resources import copy, edits, kinds, refusals, validation


class ChangeRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A change requested by an operator."""

    operator: str
    kind: kinds.Kind
    name: str
    edit: edits.Edit
    # Revision of the resource that the change is based on; None if it must not exist.
    if_match: ids.Revision | None = None
    # Whether the caller sent If-None-Match: *, rather than no If-Match.
    must_be_new: bool = False
    idempotency_key: ids.IdempotencyKey | None = None
    dry_run: bool = False


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a change; `resource` is None after a deletion."""

    revision: ids.Revision
    created: bool
    resource: kinds.Resource | None


def check_revision(request: ChangeRequest, current: kinds.Resource | None) -> None:
    """Refuse a change that isn't based on the current state of the resource."""
    if current is None:
        check_absent(request)
    else:
        check_current(request, current.metadata)


def check_absent(request: ChangeRequest) -> None:
    """Refuse a change of a missing resource if it requires an existing one."""
    target = f"{request.kind.value}/{request.name}"
    if request.if_match is not None:
        raise refusals.RevisionConflictError(
            f"{target} doesn't exist, so it isn't at revision {request.if_match}",
            "Leave If-Match out to create it.",
            copy.NO_REVISION,
            "",
        )
    if not request.edit.creates:
        raise not_found(request.kind, request.name)


def check_current(request: ChangeRequest, metadata: kinds.Metadata) -> None:
    """Refuse a change that isn't based on the current revision of the resource."""
    target = f"{request.kind.value}/{request.name}"
    if request.if_match is None and not request.must_be_new:
        raise refusals.PreconditionRequiredError(
            f"{target} exists at revision {metadata.revision}, changed by "
            f"{metadata.changed_by}",
            f'Read it, then repeat with If-Match: "{metadata.revision}".',
        )
    if request.if_match != metadata.revision:
        wanted = "new" if request.if_match is None else f"at {request.if_match}"
        raise refusals.RevisionConflictError(
            f"{target} is at revision {metadata.revision}, changed by "
            f"{metadata.changed_by}, not {wanted}",
            f'Read it again, then repeat with If-Match: "{metadata.revision}".',
            metadata.revision,
            metadata.changed_by,
        )


def not_found(kind: kinds.Kind, name: str) -> refusals.NotFoundError:
    """Return the error for a resource that doesn't exist."""
    return refusals.NotFoundError(
        f"{kind.value}/{name} doesn't exist",
        f"List /admin/v1/{kind.value} for the names that do.",
    )


def decide(request: ChangeRequest, configuration: copy.Configuration) -> Outcome:
    """Return the outcome of a change to a configuration; raises ResourceError."""
    current = configuration.get(request.kind, request.name)
    check_revision(request, current)
    spec = request.edit.spec_after(request.kind, current)
    revision = ids.Revision(configuration.revision + 1)
    if spec is None:
        validation.check_deletion(configuration, current)
        return Outcome(revision=revision, created=False, resource=None)
    generation = 0 if current is None else current.metadata.generation
    metadata = kinds.Metadata(
        name=request.name,
        revision=revision,
        generation=generation + 1,
        changed_by=request.operator,
    )
    resource = kinds.Resource(kind=request.kind, metadata=metadata, spec=spec)
    validation.check(configuration, resource)
    return Outcome(revision=revision, created=current is None, resource=resource)
