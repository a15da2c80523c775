"""Request and response bodies of the resource API."""

from __future__ import annotations

from typing import Any

import msgspec

from tealcove import decoding, ids
from tealcove.resources import codec, edits, kinds, refusals, status


class ResourceStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Where a resource's last change is in force."""

    generation: int
    revision: ids.Revision
    in_force: status.InForce


class Document(msgspec.Struct, frozen=True, kw_only=True):
    """A resource as the API shows it."""

    kind: kinds.Kind
    metadata: kinds.Metadata
    spec: kinds.Spec
    # None for a dry run, whose result isn't in force anywhere.
    status: ResourceStatus | None


class Page(msgspec.Struct, frozen=True, kw_only=True):
    """A page of a list; `next` is the `after` of the next page, None on the last."""

    # Revision of this page; a watch from that of the first page misses no change.
    revision: ids.Revision
    items: tuple[Document, ...]
    next: str | None


class Deleted(msgspec.Struct, frozen=True, kw_only=True):
    """The response to a deletion."""

    kind: kinds.Kind
    name: str
    revision: ids.Revision
    deleted: bool = True


class ConfigurationStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The response to GET /admin/v1/status."""

    revision: ids.Revision
    in_force: status.InForce


class PutMetadata(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Metadata in a PUT body; all fields but the name are read-only and ignored."""

    name: str | None = None
    revision: int | None = None
    generation: int | None = None
    changed_by: str | None = None


class PutBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The body of a PUT: a resource as GET returns it, or only its spec."""

    spec: msgspec.Raw
    kind: kinds.Kind | None = None
    metadata: PutMetadata | None = None
    status: msgspec.Raw | None = None


class PatchBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a PATCH, which can change only the spec."""

    spec: dict[str, Any]


def document(
    resource: kinds.Resource, resource_status: ResourceStatus | None
) -> Document:
    """Return the document that shows a resource and its status."""
    return Document(
        kind=resource.kind,
        metadata=resource.metadata,
        spec=resource.spec,
        status=resource_status,
    )


def status_of(
    resource: kinds.Resource, source: status.StatusSource, now: ids.Instant
) -> ResourceStatus:
    """Return where a resource's last change is in force."""
    metadata = resource.metadata
    return ResourceStatus(
        generation=metadata.generation,
        revision=metadata.revision,
        in_force=source.in_force(metadata.revision, now),
    )


def decode(content: bytes, shape: type[Any]) -> Any:
    """Decode a request body; raises BadRequestError, InvalidFieldError."""
    try:
        return decoding.decode_json(content, shape)
    except msgspec.ValidationError as error:
        raise codec.field_error(error, "") from error
    except msgspec.DecodeError as error:
        raise refusals.BadRequestError(
            f"the body isn't JSON: {error}", "Send the resource as JSON."
        ) from error


def read_put(content: bytes, kind: kinds.Kind, name: str) -> edits.Put:
    """Parse the body of a PUT to a resource; raises ResourceError."""
    written = decode(content, PutBody)
    if written.kind not in (None, kind):
        raise mismatch("kind", written.kind.value, kind.value)
    if written.metadata is not None and written.metadata.name not in (None, name):
        raise mismatch("metadata.name", written.metadata.name, name)
    return edits.Put(codec.decode_spec(kind, written.spec))


def read_patch(content: bytes) -> edits.MergePatch:
    """Parse the body of a PATCH; raises ResourceError."""
    return edits.MergePatch(decode(content, PatchBody).spec)


def mismatch(field: str, written: str, wanted: str) -> refusals.InvalidFieldError:
    """Return the error for a body that contradicts the path of the request."""
    return refusals.InvalidFieldError(
        f"is {written}, but the path says {wanted}",
        "Send the resource to its own path, or leave the field out.",
        field,
    )
