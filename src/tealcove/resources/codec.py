"""JSON encoding and decoding of specs, resources and changes."""

from __future__ import annotations

import re
from typing import Any

import msgspec

from tealcove import decoding, ids
from tealcove.resources import kinds, refusals

# msgspec appends the path to its message: "Expected `int`, got `str` - at `$.port`".
PATH_MARK = " - at `$"
FIELD_NAME = re.compile(r"(?:unknown|required) field `([^`]+)`")
SPEC_PATH = "spec"
FIELD_REMEDY = "Correct the field; docs/API.md lists the fields of each kind."


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One change of the configuration; `resource` is None for a deletion."""

    revision: ids.Revision
    kind: kinds.Kind
    name: str
    changed_by: str
    # Random for each call: after a lost reply, the writer identifies its change by it.
    nonce: str
    # Key of the idempotency row; empty if the caller sent no Idempotency-Key.
    idempotency_row: str = ""
    resource: kinds.Resource | None = None


class StoredResource(msgspec.Struct, frozen=True, kw_only=True):
    """A resource with its spec undecoded: the kind, read first, gives its type."""

    kind: kinds.Kind
    metadata: kinds.Metadata
    spec: msgspec.Raw


class StoredChange(msgspec.Struct, frozen=True, kw_only=True):
    """A change with the spec of its resource undecoded."""

    revision: ids.Revision
    kind: kinds.Kind
    name: str
    changed_by: str
    nonce: str
    idempotency_row: str = ""
    resource: StoredResource | None = None


def field_error(error: msgspec.DecodeError, root: str) -> refusals.InvalidFieldError:
    """Convert a decoding error to one that names the path of the invalid field."""
    problem, _, path = str(error).partition(PATH_MARK)
    path = root + path.rstrip("`")
    named = FIELD_NAME.search(problem)
    if named is not None:
        path = f"{path}.{named.group(1)}"
    return refusals.InvalidFieldError(problem, FIELD_REMEDY, path.lstrip("."))


def decode_spec(kind: kinds.Kind, document: bytes | msgspec.Raw) -> kinds.Spec:
    """Decode a spec from JSON; raises InvalidFieldError."""
    try:
        return decoding.decode_json(document, kinds.SPECS[kind])
    except msgspec.DecodeError as error:
        raise field_error(error, SPEC_PATH) from error


def convert_spec(kind: kinds.Kind, document: Any) -> kinds.Spec:
    """Convert a decoded JSON value to a spec; raises InvalidFieldError."""
    try:
        return msgspec.convert(document, type=kinds.SPECS[kind])
    except msgspec.ValidationError as error:
        raise field_error(error, SPEC_PATH) from error


def encode(value: msgspec.Struct) -> bytes:
    """Encode a resource, change or other struct as JSON."""
    return msgspec.json.encode(value)


def decode_stored_resource(stored: StoredResource) -> kinds.Resource:
    """Decode the spec of a stored resource; raises InvalidFieldError."""
    return kinds.Resource(
        kind=stored.kind,
        metadata=stored.metadata,
        spec=decode_spec(stored.kind, stored.spec),
    )


def decode_resource(document: bytes) -> kinds.Resource:
    """Decode a resource from JSON; raises InvalidFieldError."""
    try:
        stored = decoding.decode_json(document, StoredResource)
    except msgspec.DecodeError as error:
        raise field_error(error, "resource") from error
    return decode_stored_resource(stored)


def decode_change(document: bytes) -> Change:
    """Decode a change from JSON; raises InvalidFieldError."""
    try:
        stored = decoding.decode_json(document, StoredChange)
    except msgspec.DecodeError as error:
        raise field_error(error, "change") from error
    resource = None
    if stored.resource is not None:
        resource = decode_stored_resource(stored.resource)
    return Change(
        revision=stored.revision,
        kind=stored.kind,
        name=stored.name,
        changed_by=stored.changed_by,
        nonce=stored.nonce,
        idempotency_row=stored.idempotency_row,
        resource=resource,
    )
