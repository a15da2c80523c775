"""Validation of a resource and of the references from and to it."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from tealcove.resources import (
    codec,
    copy,
    kinds,
    references,
    refusals,
    servers,
)

# For each kind, the kinds whose resources may refer to it.
REFERRING_KINDS = {
    kinds.Kind.CLIENT_ACCOUNT: (kinds.Kind.ROUTING_RULE,),
    kinds.Kind.SERVICE_TIER: (kinds.Kind.CLIENT_ACCOUNT,),
    kinds.Kind.ENGINE_POOL: (kinds.Kind.ROUTING_RULE,),
    kinds.Kind.SERVICE_POOL: (kinds.Kind.ROUTING_RULE,),
    kinds.Kind.MODEL: (
        kinds.Kind.ENGINE_POOL,
        kinds.Kind.ADAPTER,
        kinds.Kind.ROUTING_RULE,
    ),
    kinds.Kind.ADAPTER: (kinds.Kind.ENGINE_POOL, kinds.Kind.ROUTING_RULE),
    kinds.Kind.ROUTING_RULE: (),
}
NAME_FIELD = "metadata.name"


def check_name(name: str) -> None:
    """Refuse a name that isn't valid in a path; raises InvalidFieldError."""
    try:
        msgspec.convert(name, kinds.Name)
    except msgspec.ValidationError as error:
        raise codec.field_error(error, NAME_FIELD) from error


def check(configuration: copy.Configuration, resource: kinds.Resource) -> None:
    """Refuse a resource inconsistent with the others; raises FieldError."""
    check_name(resource.metadata.name)
    for reference in references.references(resource):
        check_reference(configuration, reference)
    spec = resource.spec
    if isinstance(spec, kinds.ClientAccountSpec):
        check_keys(configuration, resource)
    elif isinstance(spec, kinds.EnginePoolSpec | kinds.ServicePoolSpec):
        check_pool_name(configuration, resource)
        servers.check_servers(configuration, resource)
    elif isinstance(spec, kinds.RoutingRuleSpec):
        check_prefix(spec)
    if isinstance(spec, kinds.EnginePoolSpec):
        check_adapters(configuration, spec)
    elif isinstance(spec, kinds.AdapterSpec):
        check_pools_of_adapter(configuration, resource)


def check_reference(
    configuration: copy.Configuration, reference: references.Reference
) -> None:
    """Refuse a reference to a missing resource; raises MissingReferenceError."""
    for kind in reference.kinds:
        if reference.name in configuration.resources[kind]:
            return
    choices = " or ".join(f"{kind.value}/{reference.name}" for kind in reference.kinds)
    raise refusals.MissingReferenceError(
        f"there is no {choices}",
        "Create it first, or name one that exists.",
        reference.field,
    )


def check_keys(configuration: copy.Configuration, account: kinds.Resource) -> None:
    """Refuse a duplicate key: its requests would count for the wrong account."""
    table = configuration.resources[kinds.Kind.CLIENT_ACCOUNT]
    seen = set()
    for number, key_hash in enumerate(account.spec.key_hashes):
        holder = table.name_by_key_hash(key_hash)
        if holder not in (None, account.metadata.name) or key_hash in seen:
            raise refusals.DuplicateError(
                f"is a key of client-accounts/{holder or account.metadata.name} "
                "already",
                "Draw a key of its own for each account.",
                f"spec.key_hashes[{number}]",
            )
        seen.add(key_hash)


def check_pool_name(configuration: copy.Configuration, pool: kinds.Resource) -> None:
    """Refuse the name of a pool of the other kind; rules don't state the kind."""
    for kind in references.POOLS:
        name = pool.metadata.name
        if kind is not pool.kind and name in configuration.resources[kind]:
            raise refusals.DuplicateError(
                f"there is {kind.value}/{name}",
                "Give each pool a name of its own; rules name it without its kind.",
                NAME_FIELD,
            )


def check_prefix(spec: kinds.RoutingRuleSpec) -> None:
    """Refuse a path prefix that matches no path; raises InvalidFieldError."""
    if not spec.path_prefix.startswith("/"):
        raise refusals.InvalidFieldError(
            f"{spec.path_prefix!r} doesn't begin with /",
            "Write the beginning of a path, as /v1/.",
            "spec.path_prefix",
        )


def check_adapters(
    configuration: copy.Configuration, spec: kinds.EnginePoolSpec
) -> None:
    """Refuse an adapter whose model the pool doesn't serve."""
    for number, name in enumerate(spec.adapters):
        model = configuration.get(kinds.Kind.ADAPTER, name).spec.model
        if model not in spec.models:
            raise refusals.MissingReferenceError(
                f"adapters/{name} needs models/{model}, which the pool doesn't serve",
                f"Add {model} to spec.models, or remove the adapter.",
                f"spec.adapters[{number}]",
            )


def check_pools_of_adapter(
    configuration: copy.Configuration, adapter: kinds.Resource
) -> None:
    """Refuse a change of an adapter's model to one that a pool of it doesn't serve."""
    for name, pool in configuration.engine_pools.items():
        is_served = adapter.metadata.name in pool.spec.adapters
        if is_served and adapter.spec.model not in pool.spec.models:
            raise refusals.InUseError(
                f"engine-pools/{name} serves this adapter, but not models/"
                f"{adapter.spec.model}",
                f"Add {adapter.spec.model} to that pool's spec.models first.",
                "spec.model",
            )


def referring_fields(
    configuration: copy.Configuration, resource: kinds.Resource
) -> Iterator[str]:
    """Yield the resource and path of each field that refers to a resource."""
    for kind in REFERRING_KINDS[resource.kind]:
        for name, user in configuration.resources[kind].items():
            for reference in references.references(user):
                named = reference.name == resource.metadata.name
                if named and resource.kind in reference.kinds:
                    yield f"{kind.value}/{name} {reference.field}"


def check_deletion(configuration: copy.Configuration, resource: kinds.Resource) -> None:
    """Refuse to delete a resource that others refer to; raises InUseError."""
    if resource.kind is kinds.Kind.SERVICE_TIER:
        table = configuration.resources[kinds.Kind.CLIENT_ACCOUNT]
        if not table.counts_by_tier.get(resource.metadata.name):
            return
    field = next(referring_fields(configuration, resource), None)
    if field is not None:
        raise refusals.InUseError(
            f"names {resource.kind.value}/{resource.metadata.name}, so that can't be "
            "deleted",
            "Change or delete what names it first.",
            field,
        )
