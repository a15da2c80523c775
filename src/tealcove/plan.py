"""The order in which resources are written, and a check of all of them together."""

from __future__ import annotations

import typing

from tealcove import errors, ids, resourcefiles
from tealcove.resources import codec, copy, kinds, refusals, validation

# A resource can only refer to existing ones, so these are written first.
KIND_ORDER = (
    kinds.Kind.SERVICE_TIER,
    kinds.Kind.MODEL,
    kinds.Kind.ADAPTER,
    kinds.Kind.ENGINE_POOL,
    kinds.Kind.SERVICE_POOL,
    kinds.Kind.CLIENT_ACCOUNT,
    kinds.Kind.ROUTING_RULE,
)
PLACEHOLDER_AUTHOR = "nobody"


def by_dependency(
    declared: typing.Iterable[resourcefiles.Declared],
) -> list[resourcefiles.Declared]:
    """Return resources so that each comes after those that it refers to."""
    return sorted(declared, key=lambda one: (KIND_ORDER.index(one.kind), one.name))


def build_configuration(
    resources: typing.Iterable[kinds.Resource],
) -> copy.Configuration:
    """Return a configuration that contains the given resources."""
    return add_all(copy.empty(), resources)


def add_all(
    configuration: copy.Configuration, resources: typing.Iterable[kinds.Resource]
) -> copy.Configuration:
    """Return the configuration with resources added."""
    changes = [
        codec.Change(
            revision=ids.Revision(configuration.revision + number),
            kind=resource.kind,
            name=resource.metadata.name,
            changed_by=PLACEHOLDER_AUTHOR,
            nonce="",
            resource=resource,
        )
        for number, resource in enumerate(resources, 1)
    ]
    return configuration.with_changes(changes)


def check(
    configuration: copy.Configuration,
    declared: typing.Iterable[resourcefiles.Declared],
) -> copy.Configuration:
    """Check resources in order, as the instances would; writes nothing.

    Returns the resulting configuration; raises errors.SettingsError.
    """
    for one in by_dependency(declared):
        resource = as_resource(one)
        try:
            validation.check(configuration, resource)
        except refusals.FieldError as refusal:
            raise errors.SettingsError(
                f"{one.path}: {one.kind.value} {one.name}: {refusal.problem}",
                refusal.remedy,
            ) from None
        configuration = add_all(configuration, [resource])
    return configuration


def as_resource(declared: resourcefiles.Declared) -> kinds.Resource:
    """Return a declared resource with placeholder metadata."""
    metadata = kinds.Metadata(
        name=declared.name,
        revision=copy.NO_REVISION,
        generation=0,
        changed_by=PLACEHOLDER_AUTHOR,
    )
    return kinds.Resource(kind=declared.kind, metadata=metadata, spec=declared.spec)
