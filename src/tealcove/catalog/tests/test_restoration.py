"""Copies after the store was restored from an older copy."""

from __future__ import annotations

import msgspec
import pytest

from tealcove import ids
from tealcove.catalog import (
    copies,
    declared,
    messages,
    pools,
    restoration,
    serverlist,
)
from tealcove.platform import documents
from tealcove.platform.tests import builders
from tealcove.storage import feed, revisions

KEY = "config"


def at(era: int, number: int) -> int:
    return revisions.revision_of(ids.Era(era), number)


def instant(seconds: float) -> ids.Instant:
    return ids.Instant(seconds)


def row(name: str, version: int, state: str = "ready", **changes: object) -> feed.Entry:
    written = {**builders.WRITTEN, "state": state, **changes}
    return feed.Entry(name, msgspec.json.encode(written), version)


def gone(name: str, version: int) -> feed.Entry:
    return feed.Entry(name, None, version)


def page(version: int, *entries: feed.Entry) -> feed.Page:
    return feed.Page(entries, version)


def servers(*pages: feed.Page) -> serverlist.ServersCopy:
    """Return a list that has read a whole table, and then changes."""
    held = serverlist.ServersCopy(documents.decode_server)
    for number, one in enumerate(pages):
        (held.apply if number else held.replace)(one, instant(0))
    return held


def told_by(held: copies.Copy, seconds: float = 0.0) -> messages.Told:
    return messages.Told(
        topic=held.topic,
        revision=held.revision,
        content=held.encode(instant(seconds)),
        version=held.version,
    )


def configuration(version: int, key: str = "k") -> bytes:
    tenants = [{"name": "bakery", "api_keys": [key]}]
    return msgspec.json.encode({"version": version, "tenants": tenants})


def configured(version: int, revision: int) -> copies.ConfigurationCopy:
    held = copies.ConfigurationCopy(KEY, documents.decode_configuration)
    held.put(configuration(version), ids.Revision(revision))
    return held


def test_a_server_that_had_left_is_used_only_if_its_entry_outlives_a_silent_one():
    held = servers(
        page(at(1, 9), row("a", at(1, 3))), page(at(1, 10), gone("a", at(1, 10)))
    )
    held.replace(page(at(2, 5), row("a", at(2, 3))), instant(20))
    assert held.known == {}
    assert held.has_left("a")
    held.release_withheld(instant(20 + restoration.WITHHOLD_SECONDS - 0.1))
    assert held.known == {}
    held.release_withheld(instant(20 + restoration.WITHHOLD_SECONDS))
    assert set(held.known) == {"a"}


def test_a_server_that_had_left_is_used_once_it_writes_again():
    held = servers(
        page(at(1, 9), row("a", at(1, 3))), page(at(1, 10), gone("a", at(1, 10)))
    )
    held.replace(page(at(2, 5), row("a", at(2, 3))), instant(20))
    held.apply(page(at(2, 6), row("a", at(2, 6))), instant(21))
    assert set(held.known) == {"a"}


@pytest.mark.parametrize("is_whole", [True, False])
def test_a_withheld_entry_that_is_dropped_is_never_used(is_whole: bool):
    """The entry came into use though the store no longer had it."""
    held = servers(
        page(at(1, 9), row("a", at(1, 3))), page(at(1, 10), gone("a", at(1, 10)))
    )
    held.replace(page(at(2, 5), row("a", at(2, 3))), instant(20))
    if is_whole:
        held.replace(page(at(2, 8)), instant(21))
    else:
        held.apply(page(at(2, 8), gone("a", at(2, 8))), instant(21))
    held.release_withheld(instant(99))
    assert held.known == {}


def test_a_leaving_server_does_not_become_ready_by_an_older_entry():
    held = servers(page(at(1, 9), row("a", at(1, 9), "draining")))
    held.replace(page(at(2, 5), row("a", at(2, 3))), instant(20))
    held.release_withheld(instant(999))
    assert held.has_left("a")
    held.apply(page(at(2, 8), gone("a", at(2, 8))), instant(1000))
    assert held.known == {}


def test_an_entry_above_the_known_number_is_newer():
    """The copy was newer than what an instance knew that had been cut off."""
    held = servers(page(at(1, 9), row("a", at(1, 3), "draining")))
    held.replace(page(at(2, 30), row("a", at(2, 20), addr="10.0.0.2:80")), instant(20))
    assert held.known["a"].server.host == "10.0.0.2"


def test_servers_that_the_copy_lacks_have_time_to_write_again():
    """A service looked empty right after the store's return."""
    held = servers(page(at(1, 9), row("a", at(1, 8)), row("b", at(1, 9))))
    held.replace(page(at(2, 5)), instant(20))
    assert set(held.known) == {"a", "b"}
    held.apply(page(at(2, 6), row("a", at(2, 6))), instant(21))
    held.expire_lapses(instant(20 + serverlist.LAPSE_SECONDS))
    assert set(held.known) == {"a"}


def test_a_second_return_withholds_again():
    held = servers(
        page(at(1, 9), row("a", at(1, 3)), row("b", at(1, 9), "draining")),
        page(at(1, 10), gone("a", at(1, 10))),
    )
    for era in (2, 3):
        rows = (row("a", at(era, 3)), row("b", at(era, 4)))
        held.replace(page(at(era, 5), *rows), instant(20 + era))
        assert held.has_left("a")
        assert held.has_left("b")


@pytest.mark.parametrize("reads_first", [True, False])
def test_a_started_instance_withholds_what_a_peer_withholds(reads_first: bool):
    """It used servers that had left by the copy's entries."""
    peer = servers(
        page(at(1, 9), row("a", at(1, 3)), row("b", at(1, 9), "draining")),
        page(at(1, 10), gone("a", at(1, 10))),
    )
    restored = page(
        at(2, 5), row("a", at(2, 3)), row("b", at(2, 4)), row("c", at(2, 5))
    )
    peer.replace(restored, instant(20))
    fresh = servers(restored) if reads_first else servers()
    fresh.adopt(told_by(peer, 21), instant(50))
    if not reads_first:
        fresh.replace(restored, instant(50))
    assert {name for name in fresh.known if not fresh.has_left(name)} == {"c"}
    seconds = restoration.WITHHOLD_SECONDS - 1.0
    fresh.release_withheld(instant(50 + seconds - 0.1))
    assert "a" not in fresh.known
    fresh.release_withheld(instant(50 + seconds))
    assert not fresh.has_left("a")
    assert fresh.has_left("b")


def test_an_instance_of_the_earlier_era_takes_a_peers_list():
    held = servers(
        page(at(1, 9), row("a", at(1, 3))), page(at(1, 10), gone("a", at(1, 10)))
    )
    fresh = servers(page(at(2, 5), row("a", at(2, 3)), row("b", at(2, 4))))
    held.adopt(told_by(fresh), instant(20))
    assert set(held.known) == {"b"}
    assert held.revision == at(2, 5)
    fresh.adopt(told_by(servers(page(at(1, 99), row("x", at(1, 99))))), instant(20))
    assert "x" not in fresh.known


def test_a_grant_by_the_copys_older_start_is_declined():
    """A dispatcher that has just started granted a start of a server that was over."""
    held = servers(page(at(1, 9), row("a", at(1, 9), born=2)))
    held.replace(page(at(2, 5), row("a", at(2, 3), born=1)), instant(20))
    found = pools.Pools(held, lambda service: None)
    older, newer, newest = (ids.ServerStart(number) for number in (1, 2, 3))
    assert found.has_left("pool", "a", older, held.revision)
    assert not found.has_left("pool", "a", newer, held.revision)
    assert not found.has_left("pool", "a", newest, held.revision)
    held.apply(page(at(2, 8), row("a", at(2, 8), born=1)), instant(21))
    assert not found.has_left("pool", "a", older, held.revision)


def test_the_restored_store_is_told_once():
    held = serverlist.ServersCopy(documents.decode_server)
    heard = []
    held.restoration.listeners.append(lambda: heard.append(held.revision))
    held.replace(page(at(1, 1)), instant(0))
    held.replace(page(at(1, 2)), instant(0))
    assert heard == []
    held.replace(page(at(2, 1)), instant(0))
    held.replace(page(at(2, 2)), instant(0))
    assert heard == [at(1, 2)]


def test_a_configuration_does_not_come_back_older_under_a_higher_revision():
    held = configured(version=84, revision=at(1, 48))
    held.put(configuration(77), ids.Revision(at(2, 45)))
    assert held.position == configured(84, at(1, 48)).position
    held.put(configuration(84), ids.Revision(at(2, 46)))
    assert (held.version, held.revision) == (84, at(2, 46))
    held.put(configuration(87), ids.Revision(at(2, 47)))
    assert held.version == 87


def test_a_started_instance_takes_the_newer_configuration_of_an_earlier_era():
    held = configured(version=84, revision=at(1, 48))
    fresh = configured(version=77, revision=at(2, 45))
    assert held.position.is_after(fresh.position)
    fresh.adopt(told_by(held), instant(0))
    assert fresh.version == 84
    held.adopt(told_by(configured(77, at(2, 45))), instant(0))
    assert held.version == 84


def test_configurations_without_a_version_are_ordered_by_the_store():
    held = configured(version=0, revision=at(0, 5))
    held.put(configuration(0, "new"), ids.Revision(at(0, 7)))
    held.put(configuration(0, "old"), ids.Revision(at(0, 6)))
    assert held.current.find_account("new")


def test_an_instance_of_the_version_before_is_understood():
    """Its messages name no version, and its configuration has none."""
    held = configured(version=84, revision=at(0, 48))
    catalog = msgspec.structs.replace(held.current.catalog, version=0)
    before = copies.ConfigurationCopy(KEY, documents.decode_configuration)
    before.install(catalog, ids.Revision(50), "a test")
    assert before.position.is_after(held.position)
    held.adopt(told_by(before), instant(0))
    assert (held.revision, held.version) == (50, 84)
    held.put(configuration(77), ids.Revision(at(1, 45)))
    assert (held.revision, held.version) == (50, 84)


@pytest.mark.parametrize("version", [None, "7", -1, 0, 1.5, True, 2**64, [1]])
def test_a_version_that_is_no_count_makes_no_configuration_invalid(version: object):
    written = {"version": version, "tenants": [{"name": "b", "api_keys": ["k"]}]}
    found = documents.decode_configuration(msgspec.json.encode(written))
    assert found.version == 0
    assert found.keys == {"k": "b"}


def test_a_catalog_of_the_version_before_is_decoded():
    encoded = msgspec.msgpack.encode(msgspec.to_builtins(declared.Catalog()))
    fields = msgspec.msgpack.decode(encoded)
    del fields["version"]
    found = msgspec.msgpack.decode(
        msgspec.msgpack.encode(fields), type=declared.Catalog
    )
    assert found == declared.Catalog()
