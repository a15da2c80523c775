"""Snapshots: whole configurations encoded for the object store and for peers."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from tealcove import decoding, errors, ids
from tealcove.resources import accounts, codec, copy, kinds


class Snapshot(msgspec.Struct, frozen=True):
    """All resources at one revision; client accounts are packed."""

    revision: ids.Revision
    client_accounts: list[msgspec.Raw]
    # The other kinds' resources, each as JSON.
    others: list[bytes]


def encode(configuration: copy.Configuration) -> bytes:
    """Encode a configuration deterministically."""
    table = configuration.resources[kinds.Kind.CLIENT_ACCOUNT]
    others = []
    for kind in kinds.Kind:
        if kind is kinds.Kind.CLIENT_ACCOUNT:
            continue
        for name in configuration.names(kind):
            others.append(codec.encode(configuration.get(kind, name)))
    names = sorted(table)
    packed = [msgspec.Raw(table.packed[name]) for name in names]
    return msgspec.msgpack.encode(Snapshot(configuration.revision, packed, others))


def decode(content: bytes) -> copy.Configuration:
    """Decode a configuration; raises ResourceError."""
    try:
        snapshot = decoding.decode_msgpack(content, Snapshot)
        table = accounts.AccountTable.from_packed(snapshot.client_accounts)
    except msgspec.DecodeError as error:
        raise errors.ResourceError(
            f"a snapshot of the configuration can't be decoded: {error}",
            "Run one version of tealcove on all instances, or two neighbouring ones.",
        ) from error
    resources: dict[kinds.Kind, Mapping[str, kinds.Resource]] = {}
    for kind in kinds.Kind:
        resources[kind] = {}
    for document in snapshot.others:
        resource = codec.decode_resource(document)
        resources[resource.kind][resource.metadata.name] = resource
    resources[kinds.Kind.CLIENT_ACCOUNT] = table
    return copy.Configuration(snapshot.revision, resources)
