"""Tests that copies never regress and are always complete."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from hypothesis import settings, stateful
from hypothesis import strategies as st

from tealcove import errors
from tealcove.resources import (
    accounts,
    codec,
    compaction,
    copy,
    edits,
    kinds,
    log,
    refusals,
    snapshots,
)
from tealcove.resources.tests import builders
from tealcove.storage import memory

ACCOUNT = kinds.Kind.CLIENT_ACCOUNT
INSTANCES = st.integers(0, 2)
NAMES = st.sampled_from(["armor", "biscuit", "criee"])


def contents(configuration: copy.Configuration) -> dict[str, kinds.Resource]:
    """Return all resources by kind and name."""
    return {
        f"{kind.value}/{name}": resource
        for kind, resources in configuration.resources.items()
        for name, resource in resources.items()
    }


class Copies(stateful.RuleBasedStateMachine):
    """Three instances that write, advance, compact, restart and fetch from peers."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner()
        self.platform = memory.MemoryPlatform()
        self.instances = [builders.instance(self.platform) for _ in range(3)]
        self.seen = [copy.NO_REVISION] * 3
        self.heads = [log.Head()]
        # Expected resources at each revision, according to the outcomes of writes.
        self.model: list[dict[str, kinds.Resource]] = [{}]
        self.write(0, builders.put(kinds.Kind.SERVICE_TIER, "gold", builders.tier()))

    def teardown(self) -> None:
        self.runner.close()

    def write(self, number: int, request) -> None:
        """Apply a change that must succeed, and record its effect."""
        outcome = self.runner.run(self.instances[number].store.change(request))
        after = dict(self.model[-1])
        key = log.resource_key(request.kind, request.name)
        after.pop(key, None)
        if outcome.resource is not None:
            after[key] = outcome.resource
        assert outcome.revision == len(self.model)
        self.model.append(after)

    @stateful.rule(
        number=INSTANCES, name=NAMES, keys=st.integers(0, 2), lost=st.booleans()
    )
    def put(self, number: int, name: str, keys: int, lost: bool) -> None:
        self.platform.faults.lose_replies = int(lost)
        hashes = tuple(builders.key_hash(f"{name} {n}") for n in range(keys))
        spec = kinds.ClientAccountSpec(tier="gold", key_hashes=hashes)
        current = self.model[-1].get(f"client-accounts/{name}")
        base = None if current is None else current.metadata.revision
        self.write(number, builders.put(ACCOUNT, name, spec, base))

    @stateful.rule(number=INSTANCES, name=NAMES)
    def delete(self, number: int, name: str) -> None:
        current = self.model[-1].get(f"client-accounts/{name}")
        if current is not None:
            base = current.metadata.revision
            self.write(number, builders.delete(ACCOUNT, name, base))

    @stateful.rule()
    def remember_head(self) -> None:
        row = self.runner.run(self.instances[0].log.read_head())
        self.heads.append(row.head)

    @stateful.rule(number=INSTANCES, data=st.data())
    def advance(self, number: int, data: st.DataObject) -> None:
        """Advance to a head that may be outdated."""
        instance = self.instances[number]
        head = data.draw(st.sampled_from(self.heads))
        self.runner.run(instance.log.advance(instance.copy, head))
        assert instance.copy.revision >= head.revision

    @stateful.rule(number=INSTANCES, peer=INSTANCES)
    def fetch(self, number: int, peer: int) -> None:
        content = snapshots.encode(self.instances[peer].copy.current)
        self.instances[number].copy.activate(snapshots.decode(content))

    @stateful.rule(number=INSTANCES, retained=st.integers(1, 3), lost=st.booleans())
    def compact(self, number: int, retained: int, lost: bool) -> None:
        compactor = self.instances[number].compactor
        compactor.settings = compaction.CompactionSettings(1, retained)
        self.platform.faults.lose_replies = int(lost)
        try:
            self.runner.run(compactor.compact())
        except errors.OutcomeUnknownError:
            return

    @stateful.rule(number=INSTANCES)
    def restart(self, number: int) -> None:
        self.instances[number] = builders.instance(self.platform)
        self.seen[number] = copy.NO_REVISION

    @stateful.invariant()
    def never_regresses_and_is_complete(self) -> None:
        for number, instance in enumerate(self.instances):
            current = instance.copy.current
            assert current.revision >= self.seen[number]
            self.seen[number] = current.revision
            assert contents(current) == self.model[current.revision]
            self.check_accounts(current)

    def check_accounts(self, current: copy.Configuration) -> None:
        table = current.resources[ACCOUNT]
        assert table.counts_by_tier.get("gold", 0) == len(table)
        hashes = [h for found in table.values() for h in found.spec.key_hashes]
        assert len(table.names_by_key_hash) == len(hashes)
        for account in table.values():
            for key_hash in account.spec.key_hashes:
                assert current.account_by_key_hash(key_hash) == account


Copies.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
TestCopies = Copies.TestCase


def test_subscribers_are_called_despite_failures_of_others():
    local_copy = copy.ConfigurationCopy()
    activations = []

    def faulty(before, after):
        raise RuntimeError("a subscriber's fault")

    local_copy.subscribe(faulty)
    end = local_copy.subscribe(
        lambda *moved: activations.append([each.revision for each in moved])
    )
    spec = builders.tier()
    first = local_copy.current.with_changes(
        [builders.change(1, kinds.Kind.SERVICE_TIER, "gold", spec)]
    )
    assert local_copy.activate(first)
    assert not local_copy.activate(first)
    end()
    local_copy.activate(
        first.with_changes([builders.change(2, kinds.Kind.SERVICE_TIER, "tin", spec)])
    )
    assert activations == [[0, 1]]


def test_routes_by_order_then_name():
    rules = {
        "b": kinds.RoutingRuleSpec(order=1, pool="p", models=("m",)),
        "a": kinds.RoutingRuleSpec(order=1, pool="p", methods=("post",), models=("m",)),
        "z": kinds.RoutingRuleSpec(order=0, pool="p", accounts=("armor",)),
        "c": kinds.RoutingRuleSpec(order=9, pool="p", path_prefix="/labels/"),
    }
    configuration = copy.empty().with_changes(
        builders.change(number, kinds.Kind.ROUTING_RULE, name, spec)
        for number, (name, spec) in enumerate(rules.items(), 1)
    )

    def name(*request: str | None) -> str | None:
        found = configuration.route(*request)
        return None if found is None else found.metadata.name

    assert name("/v1/x", "POST", "m", "armor") == "z"
    assert name("/v1/x", "POST", "m", "other") == "a"
    assert name("/v1/x", "GET", "m", None) == "b"
    assert name("/labels/7", "GET", None, None) == "c"
    assert name("/v1/x", "GET", "other", None) is None


def test_packed_accounts_keep_every_field():
    spec = kinds.ClientAccountSpec(
        tier="gold",
        key_hashes=(builders.key_hash(1), builders.key_hash(2)),
        tokens_per_second=1.5,
        burst_tokens=9.0,
        weight=2.5,
    )
    resource = builders.change(7, ACCOUNT, "armor", spec).resource
    assert accounts.unpack(accounts.pack(resource)) == resource


def test_an_account_without_a_weight_is_written_as_before():
    """Guards against accounts that instances of the release before can't read.

    They reject fields that they don't know, in rows as well as in orders.
    """
    resource = builders.change(7, ACCOUNT, "armor", builders.account()).resource
    assert b"weight" not in codec.encode(resource)
    unpacked = accounts.unpack(accounts.pack(resource))
    assert codec.encode(unpacked) == codec.encode(resource)
    packed = msgspec.msgpack.decode(accounts.pack(resource))
    before = msgspec.msgpack.encode(packed[:-1])
    assert accounts.unpack(before) == resource


@pytest.mark.parametrize("weight", [0, -1, 1000.5, "2", True])
def test_a_weight_that_can_t_be_used_is_refused_by_its_field(weight: object):
    spec = msgspec.json.encode({"tier": "gold", "weight": weight})
    with pytest.raises(refusals.InvalidFieldError) as raised:
        codec.decode_spec(ACCOUNT, spec)
    assert raised.value.field == "spec.weight"


def test_a_weight_is_removed_by_a_merge_patch():
    weighted = kinds.ClientAccountSpec(tier="gold", weight=2.0)
    current = builders.change(7, ACCOUNT, "armor", weighted).resource
    changed = edits.MergePatch({"weight": None}).spec_after(ACCOUNT, current)
    assert changed == kinds.ClientAccountSpec(tier="gold")
