"""Tests that inconsistent resources are refused with the path of the field."""

from __future__ import annotations

import msgspec
import pytest

from tealcove.resources import copy, kinds, refusals, validation
from tealcove.resources.tests import builders

Kind = kinds.Kind

EXISTING = (
    (Kind.SERVICE_TIER, "gold", builders.tier()),
    (Kind.CLIENT_ACCOUNT, "armor", builders.account(0)),
    (Kind.MODEL, "m", kinds.ModelSpec(version="1")),
    (Kind.MODEL, "n", kinds.ModelSpec(version="1")),
    (Kind.ADAPTER, "a", kinds.AdapterSpec(model="m", version="1")),
    (
        Kind.ENGINE_POOL,
        "drafts",
        kinds.EnginePoolSpec(
            servers=(builders.server(1),), models=("m",), adapters=("a",)
        ),
    ),
    (Kind.SERVICE_POOL, "labels", kinds.ServicePoolSpec(servers=(builders.server(2),))),
    (
        Kind.ROUTING_RULE,
        "r",
        kinds.RoutingRuleSpec(pool="drafts", models=("a",), accounts=("armor",)),
    ),
)


@pytest.fixture
def configuration() -> copy.Configuration:
    return copy.empty().with_changes(
        builders.change(number, *each) for number, each in enumerate(EXISTING, 1)
    )


def pool(*servers: kinds.BackendServerSpec, **fields) -> kinds.EnginePoolSpec:
    return kinds.EnginePoolSpec(servers=servers, **fields)


def moved(number: int, **fields) -> kinds.BackendServerSpec:
    return msgspec.structs.replace(builders.server(number), **fields)


def rule(**fields) -> kinds.RoutingRuleSpec:
    return kinds.RoutingRuleSpec(**{"pool": "labels", **fields})


REFUSED = [
    (Kind.CLIENT_ACCOUNT, "x", builders.account(1, "lead"), "Missing", "spec.tier"),
    (Kind.CLIENT_ACCOUNT, "x", builders.account(0), "Duplicate", "spec.key_hashes[0]"),
    (
        Kind.CLIENT_ACCOUNT,
        "armor",
        kinds.ClientAccountSpec(tier="gold", key_hashes=(builders.key_hash(0),) * 2),
        "Duplicate",
        "spec.key_hashes[1]",
    ),
    (Kind.MODEL, "x\n", kinds.ModelSpec(version="1"), "Invalid", "metadata.name"),
    (
        Kind.ADAPTER,
        "x",
        kinds.AdapterSpec(model="q", version="1"),
        "Missing",
        "spec.model",
    ),
    (
        Kind.ADAPTER,
        "a",
        kinds.AdapterSpec(model="n", version="1"),
        "InUse",
        "spec.model",
    ),
    (Kind.ENGINE_POOL, "x", pool(models=("m", "q")), "Missing", "spec.models[1]"),
    (Kind.ENGINE_POOL, "x", pool(adapters=("q",)), "Missing", "spec.adapters[0]"),
    (
        Kind.ENGINE_POOL,
        "x",
        pool(models=("n",), adapters=("a",)),
        "Missing",
        "spec.adapters[0]",
    ),
    (Kind.ENGINE_POOL, "labels", pool(), "Duplicate", "metadata.name"),
    (
        Kind.ENGINE_POOL,
        "x",
        pool(moved(3, host="engine.example")),
        "Invalid",
        "spec.servers[0].host",
    ),
    (
        Kind.ENGINE_POOL,
        "x",
        pool(moved(3, host="0.0.0.0")),
        "Invalid",
        "spec.servers[0].host",
    ),
    (
        Kind.ENGINE_POOL,
        "x",
        pool(builders.server(3), moved(2, port=1)),
        "Duplicate",
        "spec.servers[1].name",
    ),
    (
        Kind.ENGINE_POOL,
        "x",
        pool(moved(3, port=9001)),
        "Duplicate",
        "spec.servers[0].host",
    ),
    (
        Kind.SERVICE_POOL,
        "x",
        kinds.ServicePoolSpec(
            servers=(moved(3, host="fd00::7"), moved(4, host="fd00:0::7", port=9003))
        ),
        "Duplicate",
        "spec.servers[1].host",
    ),
    (Kind.ROUTING_RULE, "x", rule(pool="q"), "Missing", "spec.pool"),
    (Kind.ROUTING_RULE, "x", rule(models=("m", "q")), "Missing", "spec.models[1]"),
    (Kind.ROUTING_RULE, "x", rule(accounts=("q",)), "Missing", "spec.accounts[0]"),
    (Kind.ROUTING_RULE, "x", rule(path_prefix="v1"), "Invalid", "spec.path_prefix"),
]


@pytest.mark.parametrize(("kind", "name", "spec", "error", "field"), REFUSED)
def test_refused(configuration, kind, name, spec, error, field):
    resource = builders.change(99, kind, name, spec).resource
    with pytest.raises(refusals.FieldError) as caught:
        validation.check(configuration, resource)
    assert type(caught.value).__name__.startswith(error)
    assert caught.value.field == field


@pytest.mark.parametrize(("kind", "name", "spec"), EXISTING)
def test_existing_resource_may_be_rewritten(configuration, kind, name, spec):
    validation.check(configuration, builders.change(99, kind, name, spec).resource)


@pytest.mark.parametrize(
    ("kind", "name", "field"),
    [
        (Kind.SERVICE_TIER, "gold", "client-accounts/armor spec.tier"),
        (Kind.CLIENT_ACCOUNT, "armor", "routing-rules/r spec.accounts[0]"),
        (Kind.MODEL, "m", "engine-pools/drafts spec.models[0]"),
        (Kind.ADAPTER, "a", "engine-pools/drafts spec.adapters[0]"),
        (Kind.ENGINE_POOL, "drafts", "routing-rules/r spec.pool"),
        (Kind.SERVICE_POOL, "labels", None),
        (Kind.MODEL, "n", None),
        (Kind.ROUTING_RULE, "r", None),
    ],
)
def test_deletion(configuration, kind, name, field):
    resource = configuration.get(kind, name)
    if field is None:
        validation.check_deletion(configuration, resource)
        return
    with pytest.raises(refusals.InUseError) as caught:
        validation.check_deletion(configuration, resource)
    assert caught.value.field == field
