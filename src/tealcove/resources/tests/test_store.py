"""Tests of resource changes with concurrent writers and lost replies."""

from __future__ import annotations

import asyncio

import pytest

from tealcove import errors
from tealcove.resources import kinds, log, refusals
from tealcove.resources.tests import builders
from tealcove.storage import memory, table

TIER = kinds.Kind.SERVICE_TIER


@pytest.fixture
def platform() -> memory.MemoryPlatform:
    return memory.MemoryPlatform()


async def test_create_change_delete(platform):
    instance = builders.instance(platform)
    created = await instance.store.change(builders.put(TIER, "gold", builders.tier(1)))
    assert created.created
    changed = await instance.store.change(
        builders.put(TIER, "gold", builders.tier(2), 1)
    )
    assert changed.resource.metadata.generation == 2
    assert changed.resource.metadata.changed_by == builders.OPERATOR
    gone = await instance.store.change(builders.delete(TIER, "gold", 2))
    assert gone.revision == 3
    other = builders.instance(platform)
    configuration = await other.catch_up()
    assert (configuration.revision, configuration.names(TIER)) == (3, [])
    assert await platform.table.scan(log.RESOURCES) == ()


async def test_conflict_names_the_current_revision_and_its_author(platform):
    instance = builders.instance(platform)
    await instance.store.change(builders.put(TIER, "gold", builders.tier(1)))
    with pytest.raises(refusals.PreconditionRequiredError):
        await instance.store.change(builders.put(TIER, "gold", builders.tier(2)))
    with pytest.raises(refusals.RevisionConflictError) as caught:
        await instance.store.change(builders.put(TIER, "gold", builders.tier(2), 7))
    assert (caught.value.current, caught.value.changed_by) == (1, builders.OPERATOR)


async def write_in_turn(
    instance: builders.Instance, name: str, ranks: range
) -> list[int]:
    """Change a tier's rank as automation does: read, change, retry on conflict."""
    applied = []
    for rank in ranks:
        while True:
            current = (await instance.catch_up()).get(TIER, "gold")
            base = None if current is None else current.metadata.revision
            request = builders.put(
                TIER, "gold", builders.tier(rank), base, f"{name}-{rank}", name
            )
            try:
                applied.append((await instance.store.change(request)).revision)
                break
            except (
                refusals.RevisionConflictError,
                refusals.PreconditionRequiredError,
            ):
                continue
    return applied


async def test_each_concurrent_change_is_applied_exactly_once(platform):
    """Guards against a change applied twice or overwritten by an older one.

    Three writers change one tier through three instances, and replies to applied
    writes are lost. A writer that treats a lost reply as a failure would write again
    and overwrite a change made by another in between.
    """
    instances = [builders.instance(platform) for _ in range(3)]
    platform.faults.lose_replies = 9
    ranks = [range(0, 10), range(10, 20), range(20, 30)]
    names = ["erwan", "nolwenn", "robot"]
    applied = await asyncio.gather(
        *(write_in_turn(*each) for each in zip(instances, names, ranks, strict=True))
    )
    revisions = sorted(revision for each in applied for revision in each)
    assert revisions == list(range(1, 31))
    changes = await instances[0].log.changes_after(0)
    assert sorted(change.resource.spec.rank for change in changes) == list(range(30))
    for instance in instances:
        await instance.catch_up()
        assert instance.copy.current.get(TIER, "gold") == changes[-1].resource
    row = await platform.table.read(log.RESOURCES, "service-tiers/gold")
    assert b'"revision":30' in row.value


async def test_repeat_with_the_same_key_returns_the_same_outcome(platform):
    instance, other = builders.instance(platform), builders.instance(platform)
    request = builders.put(TIER, "gold", builders.tier(1), key="k1")
    first = await instance.store.change(request)
    await instance.store.change(builders.put(TIER, "gold", builders.tier(5), 1))
    assert await other.store.change(request) == first
    with pytest.raises(refusals.IdempotencyMismatchError):
        await other.store.change(
            builders.put(TIER, "gold", builders.tier(9), 2, key="k1")
        )


async def test_platform_that_goes_down_after_a_lost_reply(platform):
    """Guards against a change that is in force although reported as failed.

    The write is applied, its reply is lost, and the platform goes down before the
    writer can check. "Unavailable" then doesn't mean "not applied".
    """
    instance = builders.instance(platform)
    builders.die_after_next_write(platform)
    request = builders.put(TIER, "gold", builders.tier(1), key="k1")
    with pytest.raises(errors.OutcomeUnknownError):
        await instance.store.change(request)
    platform.faults.down = False
    assert (await instance.store.change(request)).revision == 1
    assert (await instance.catch_up()).revision == 1


async def test_platform_down_means_nothing_applied(platform):
    """Guards against a change that is in force although reported as not applied.

    The platform is down during the change and recovers. The write mustn't be kept
    and sent later.
    """
    instance = builders.instance(platform)
    platform.faults.down = True
    with pytest.raises(errors.PlatformUnavailableError):
        await instance.store.change(builders.put(TIER, "gold", builders.tier(1)))
    platform.faults.down = False
    assert (await instance.catch_up()).revision == 0


class LateTable(builders.YieldingTable):
    """Applies the first write only after its timeout."""

    def __init__(self, inner: table.TableService) -> None:
        super().__init__(inner)
        self.late: table.Transaction | None = None
        self.given_up = False

    async def commit(self, transaction: table.Transaction) -> table.Committed:
        if self.given_up:
            return await super().commit(transaction)
        self.given_up = True
        self.late = transaction
        raise errors.OutcomeUnknownError("no reply in time", "Read the row.")

    async def read(self, table: str, key: str) -> table.Row | None:
        found = await super().read(table, key)
        if self.late is not None and table == log.RESOURCES:
            late, self.late = self.late, None
            await self.inner.commit(late)
        return found


async def test_write_that_arrives_after_its_timeout(platform):
    """Guards against reporting a conflict of an operator's change with itself.

    A write times out; the writer finds the head unchanged and tries again; then the
    first write arrives. A write that hasn't arrived yet still may.
    """
    instance = builders.Instance(LateTable(platform.table), platform.objects)
    outcome = await instance.store.change(builders.put(TIER, "gold", builders.tier(1)))
    assert (outcome.revision, outcome.created) == (1, True)
    assert (await instance.catch_up()).revision == 1


async def test_manual_change_of_a_row_is_not_overwritten(platform):
    """Guards against overwriting a manual repair of the table.

    A row changes between read and commit, but the head doesn't. The head mustn't be
    the only condition of the transaction.
    """
    instance = builders.instance(platform)
    await instance.store.change(builders.put(TIER, "gold", builders.tier(1)))

    class Racing(builders.YieldingTable):
        async def commit(self, transaction: table.Transaction) -> table.Committed:
            foreign = table.Put(log.RESOURCES, "service-tiers/gold", b"{}")
            await platform.table.commit(table.Transaction((), (foreign,)))
            return await platform.table.commit(transaction)

    instance.store.rows = Racing(platform.table)
    with pytest.raises(table.ConditionFailedError):
        await instance.store.change(builders.put(TIER, "gold", builders.tier(2), 1))
    assert (await instance.catch_up()).revision == 1


class LosingTable(builders.YieldingTable):
    """Loses the first write in transit; another writer takes its revision."""

    def __init__(self, platform: memory.MemoryPlatform) -> None:
        super().__init__(platform.table)
        self.other = builders.instance(platform)
        self.lost = False

    async def commit(self, transaction: table.Transaction) -> table.Committed:
        if self.lost:
            return await super().commit(transaction)
        self.lost = True
        await self.other.store.change(builders.put(TIER, "tin", builders.tier(9)))
        raise errors.OutcomeUnknownError("no reply in time", "Read the row.")


async def test_write_that_never_arrives(platform):
    """Guards against confirming a change that was never applied.

    A write is lost in transit, rather than its reply, and another writer's change
    gets its revision. The writer mustn't take that change for its own.
    """
    instance = builders.Instance(LosingTable(platform), platform.objects)
    outcome = await instance.store.change(builders.put(TIER, "gold", builders.tier(1)))
    assert outcome.revision == 2
    assert (await instance.catch_up()).names(TIER) == ["gold", "tin"]


async def test_restored_table_accepts_no_change(platform):
    """Guards against copies that differ at the same revision.

    Operators restore the table from a backup while instances keep running at later
    revisions, and an operator writes. No revision may be assigned twice.
    """
    instance = builders.instance(platform)
    await instance.store.change(builders.put(TIER, "gold", builders.tier(1)))
    backup = memory.MemoryPlatform()
    instance.store.rows = instance.log.rows = backup.table
    with pytest.raises(refusals.TableRestoredError):
        await instance.store.change(builders.put(TIER, "tin", builders.tier(2)))
    assert await backup.table.scan(log.CHANGES) == ()
