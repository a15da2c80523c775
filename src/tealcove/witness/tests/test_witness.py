"""Which instances find which record."""

from __future__ import annotations

import asyncio

import msgspec

from tealcove import ids
from tealcove.membership import messages as membership_messages
from tealcove.witness import messages, records
from tealcove.witness.tests import builders

ENTRY, OTHER = 0, 1
NOW = ids.Instant(100.0)


def store_message(
    key: str = "k", number: int = 0, seconds: float = 5.0
) -> messages.StoreRecord:
    return messages.StoreRecord(
        request_key=builders.request_key(key),
        record=builders.record(number, key),
        seconds=seconds,
    )


async def test_every_instance_finds_the_record_of_a_dead_entry() -> None:
    """A request runs twice if the next entry queries other instances than the holder.

    Each key ranks the instances in another order, including the dead entry and the
    one that queries; the dead one isn't detected as dead yet.
    """
    cluster = builders.Cluster(4)
    stored = {f"k{n}": await cluster.store(ENTRY, f"k{n}") for n in range(60)}
    cluster.kill(ENTRY)
    for key, record in stored.items():
        for witness in cluster.witnesses[1:]:
            found = await witness.find_lost(builders.request_key(key), "f")
            assert found == record


async def test_a_record_of_a_live_entry_is_not_returned() -> None:
    """A caller that leaves one entry would cancel the run that another one reads."""
    cluster = builders.Cluster(3)
    await cluster.store(ENTRY)
    assert await cluster.witnesses[OTHER].find_lost(builders.request_key(), "f") is None


async def test_an_entry_that_was_restarted_under_its_name_counts_as_lost() -> None:
    """The restarted process replies under the dead entry's name, without its run."""
    cluster = builders.Cluster(3)
    record = await cluster.store(ENTRY)
    cluster.witnesses[ENTRY].members.update_own(incarnation=ids.Incarnation("second"))
    found = await cluster.witnesses[OTHER].find_lost(builders.request_key(), "f")
    assert found == record


async def test_an_entry_known_to_be_dead_is_not_queried() -> None:
    cluster = builders.Cluster(3)
    record = await cluster.store(ENTRY)
    gone = msgspec.structs.replace(
        cluster.witnesses[ENTRY].members.own,
        lifecycle=membership_messages.Lifecycle.GONE,
    )
    cluster.witnesses[OTHER].members.record_heartbeat(gone, ids.Instant(0.0))
    found = await cluster.witnesses[OTHER].find_lost(builders.request_key(), "f")
    assert found == record


async def test_another_request_or_an_ended_one_finds_nothing() -> None:
    cluster = builders.Cluster(3)
    record = await cluster.store(ENTRY)
    asker = cluster.witnesses[OTHER]
    cluster.witnesses[ENTRY].delete(builders.request_key(), ids.RequestId("another"))
    cluster.kill(ENTRY)
    assert await asker.find_lost(builders.request_key("other key"), "f") is None
    assert await asker.find_lost(builders.request_key(), "another body") is None
    assert await asker.find_lost(builders.request_key(), "f") == record
    cluster.witnesses[ENTRY].delete(builders.request_key(), record.request_id)
    await asyncio.sleep(0)
    assert await asker.find_lost(builders.request_key(), "f") is None
    assert asker.queries == {}
    assert cluster.witnesses[ENTRY].holders == {}


async def test_a_single_instance_stores_and_queries_nothing() -> None:
    cluster = builders.Cluster(1)
    await cluster.store(ENTRY)
    assert await cluster.witnesses[ENTRY].find_lost(builders.request_key(), "f") is None
    assert cluster.witnesses[ENTRY].holders == {}


def test_a_late_deletion_for_an_earlier_run_keeps_the_later_record() -> None:
    memory = records.Records()
    memory.store(store_message(number=0), NOW)
    memory.store(store_message(number=1), NOW)
    memory.delete(
        messages.DeleteRecord(
            request_key=builders.request_key(), request_id=builders.record(0).request_id
        )
    )
    assert memory.find(builders.request_key(), NOW) == builders.record(1)


def test_records_are_bounded_by_age_and_by_number() -> None:
    memory = records.Records()
    memory.store(store_message("short", seconds=1.0), NOW)
    assert memory.find(builders.request_key("short"), ids.Instant(NOW + 1.0)) is None
    memory.store(store_message("oldest"), NOW)
    for number in range(records.MAX_RECORDS):
        memory.store(store_message(f"k{number}"), NOW)
    assert len(memory.by_key) == records.MAX_RECORDS
    assert memory.find(builders.request_key("oldest"), NOW) is None
