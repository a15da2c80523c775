"""References: the fields of a resource that name other resources."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from tealcove.resources import kinds

POOLS = (kinds.Kind.ENGINE_POOL, kinds.Kind.SERVICE_POOL)
# Callers name an adapter in place of a model.
MODELS = (kinds.Kind.MODEL, kinds.Kind.ADAPTER)


class Reference(msgspec.Struct, frozen=True):
    """A field that names a resource of one of the given kinds."""

    field: str
    kinds: tuple[kinds.Kind, ...]
    name: str


def references_in(
    field: str, wanted: tuple[kinds.Kind, ...], names: tuple[str, ...]
) -> Iterator[Reference]:
    """Yield a reference for each name in a list field."""
    for number, name in enumerate(names):
        yield Reference(f"{field}[{number}]", wanted, name)


def references(resource: kinds.Resource) -> Iterator[Reference]:
    """Yield all references of a resource."""
    spec = resource.spec
    if isinstance(spec, kinds.ClientAccountSpec):
        yield Reference("spec.tier", (kinds.Kind.SERVICE_TIER,), spec.tier)
    elif isinstance(spec, kinds.EnginePoolSpec):
        yield from references_in("spec.models", (kinds.Kind.MODEL,), spec.models)
        yield from references_in("spec.adapters", (kinds.Kind.ADAPTER,), spec.adapters)
    elif isinstance(spec, kinds.AdapterSpec):
        yield Reference("spec.model", (kinds.Kind.MODEL,), spec.model)
    elif isinstance(spec, kinds.RoutingRuleSpec):
        yield Reference("spec.pool", POOLS, spec.pool)
        yield from references_in("spec.models", MODELS, spec.models)
        yield from references_in(
            "spec.accounts", (kinds.Kind.CLIENT_ACCOUNT,), spec.accounts
        )
