"""Copies only move to newer revisions, and keep servers over an outage."""

from __future__ import annotations

import logbook
import msgspec
from hypothesis import given
from hypothesis import strategies as st

from tealcove import ids
from tealcove.catalog import copies, declared, lookup, messages, serverlist
from tealcove.ingress.tests import builders
from tealcove.platform import documents
from tealcove.platform.tests import builders as platform_builders
from tealcove.storage import feed


def server(name: str, state: str = "ready", **changes: object) -> bytes:
    return msgspec.json.encode({**platform_builders.WRITTEN, "state": state, **changes})


def page(version: int, *entries: feed.Entry) -> feed.Page:
    return feed.Page(entries, version)


def instant(seconds: float) -> ids.Instant:
    return ids.Instant(seconds)


def servers() -> serverlist.ServersCopy:
    return serverlist.ServersCopy(documents.decode_server)


def test_a_configuration_never_goes_back():
    held = copies.ConfigurationCopy("config", documents.decode_configuration)
    new = msgspec.json.encode({"routes": []})
    held.apply(page(7, feed.Entry("config", new, 7)), instant(0))
    held.replace(page(9, feed.Entry("config", new, 5)), instant(0))
    assert held.revision == 7
    broken = feed.Entry("config", b"{", 8)
    held.apply(page(8, broken), instant(0))
    assert held.revision == 7
    told = messages.Told(
        topic=held.topic, revision=ids.Revision(6), content=held.encode(instant(0))
    )
    held.adopt(told, instant(0))
    assert held.revision == 7


def test_servers_that_lapsed_in_an_outage_have_time_to_come_back():
    """Every request is refused for the first seconds after an outage.

    Symptom: no backend server is known though all are alive. Sequence: the store is
    down, the servers' entries expire, and it reports that when it is up again. Cause:
    an expired entry counts as a server that is gone.
    """
    held = servers()
    held.apply(
        page(2, feed.Entry("a", server("a"), 1), feed.Entry("b", server("b"), 2)),
        instant(0),
    )
    held.note_outage_ended(instant(10))
    gone = page(4, feed.Entry("a", None, 3), feed.Entry("b", None, 4))
    held.apply(gone, instant(10.1))
    assert set(held.known) == {"a", "b"}
    held.apply(page(5, feed.Entry("a", server("a"), 5)), instant(11))
    held.expire_lapses(instant(10 + serverlist.LAPSE_SECONDS))
    assert set(held.known) == {"a"}
    held.apply(page(6, feed.Entry("a", None, 6)), instant(20))
    assert set(held.known) == set()


def test_a_server_that_was_leaving_is_gone_at_once_after_an_outage():
    held = servers()
    held.apply(page(1, feed.Entry("a", server("a", "draining"), 1)), instant(0))
    held.note_outage_ended(instant(10))
    held.apply(page(2, feed.Entry("a", None, 2)), instant(10.1))
    assert not held.known


@given(st.permutations([(1, True), (2, False), (3, True), (4, False)]))
def test_rows_in_any_order_end_at_the_newest(order: list[tuple[int, bool]]) -> None:
    held = servers()
    for version, is_there in order:
        value = server("a") if is_there else None
        held.apply(page(version, feed.Entry("a", value, version)), instant(0))
    assert not held.known
    other = servers()
    other.adopt(told_by(held), instant(0))
    assert other.known == held.known


def test_the_longest_prefix_wins():
    near = builders.route(name="near", prefix="/a/b/")
    far = builders.route(name="far", prefix="/a/")
    found = lookup.Lookup(builders.catalog(near, far), ids.Revision(1))
    host = f"{builders.HOST.upper()}:80"
    assert found.find_route(host, "/a/b/c") is near
    assert found.find_route(host, "/a/bc") is far
    assert found.find_route(host, "/b/") is None
    assert found.find_route("other", "/a/b/c") is None
    assert found.find_account(builders.KEY).name == builders.ACCOUNT
    assert found.find_account("wrong") is None


def test_documents_are_decoded_into_the_catalog():
    content = {
        "version": 3,
        "later": "ignored",
        "routes": [
            {
                "name": "r",
                "host": "h",
                "prefix": "/p/",
                "type": "stream",
                "resumable": True,
                "timeout_ms": 5000,
                "goal_ms": 600,
                "split": [{"service": "x", "weight": 90}, {"service": "y"}],
            }
        ],
        "tenants": [{"name": "t", "api_keys": ["k"], "rate_per_s": 5, "burst": 9}],
    }
    found = documents.decode_configuration(msgspec.json.encode(content))
    (route,) = found.routes
    assert route.repeat is declared.Repeat.RESUMABLE
    assert (route.timeout, route.goal) == (5.0, 0.6)
    assert [share.service for share in route.shares] == ["x", "y"]
    assert found.accounts[0].limit.rate == 5
    assert found.accounts[0].cost(1000) == 1


NO_ENTRY = st.binary().filter(lambda content: not content.startswith(b"{"))
NO_NUMBER = st.none() | st.text() | st.lists(st.none())
NO_TEXT = st.none() | st.integers() | st.lists(st.none())
# Invalid values of fields, among them text in fields of a few words or an address.
INVALID = {
    "slots": NO_NUMBER | st.integers(max_value=0),
    "cold_left_ms": NO_NUMBER,
    "seq": NO_NUMBER,
    "state": NO_TEXT | st.text(),
    "addr": NO_TEXT | st.text(),
}


@st.composite
def invalid_entries(draw: st.DrawFn) -> bytes:
    """Draw an entry with a field that is missing or invalid."""
    found = dict(platform_builders.WRITTEN)
    field = draw(st.sampled_from(sorted(found)))
    if draw(st.booleans()):
        del found[field]
    else:
        found[field] = draw(INVALID.get(field, NO_TEXT))
    return msgspec.json.encode(found)


@given(invalid_entries() | NO_ENTRY)
def test_an_invalid_entry_declares_no_server(content: bytes) -> None:
    """Requests are sent to an address without a server of the service.

    Symptom: connections that get no answer, or one of another service. Sequence: a row
    with a field missing, or of another type, is among those of the servers, maybe in
    place of one. Cause: missing fields get guessed values, or the last valid row stays
    in use.
    """
    held = servers()
    first = (feed.Entry("a", server("a"), 1), feed.Entry("b", server("b"), 2))
    held.apply(page(2, *first), instant(0))
    held.note_outage_ended(instant(0))
    strange = (feed.Entry("b", content, 3), feed.Entry("c", content, 4))
    held.apply(page(4, *strange), instant(0.1))
    assert set(held.known) == {"a"}
    # The same rows, read as a whole table.
    other = servers()
    other.replace(page(4, first[0], *strange), instant(0))
    assert set(other.known) == {"a"}
    # Its owner writes it again.
    held.apply(page(5, feed.Entry("b", server("b"), 5)), instant(0.2))
    assert set(held.known) == {"a", "b"}


def test_a_server_has_left_when_draining_or_dropped():
    held = servers()
    held.apply(page(1, feed.Entry("a", server("a"), 1)), instant(0))
    assert not held.has_left("a")
    held.apply(page(2, feed.Entry("a", server("a", "draining"), 2)), instant(1))
    assert held.has_left("a")
    held.apply(page(3, feed.Entry("a", None, 3)), instant(2))
    assert held.has_left("a")
    held.apply(page(4, feed.Entry("a", server("a"), 4)), instant(3))
    assert not held.has_left("a")
    assert not held.has_left("unheard-of")


def test_a_lapse_copied_from_peer_to_peer_lasts_no_longer():
    """A server that is gone stays known as peers copy it from each other."""
    first, *others = (servers() for _ in range(4))
    row = feed.Entry("a", server("a"), 1)
    first.apply(page(1, row), instant(0))
    for other in others:
        other.adopt(told_by(first), instant(0))
    first.note_outage_ended(instant(10))
    first.apply(page(2, feed.Entry("a", None, 2)), instant(10))
    teller = first
    for number, other in enumerate(others):
        at = 10 + 0.9 * serverlist.LAPSE_SECONDS * (1 - 0.5**number)
        other.adopt(told_by(teller, at), instant(at))
        assert "a" in other.known
        teller = other
    end = instant(10 + serverlist.LAPSE_SECONDS)
    for held in (first, *others):
        held.expire_lapses(end)
        assert "a" not in held.known


def test_a_server_whose_lapse_has_ended_is_not_restored_by_a_peer():
    held, other = servers(), servers()
    for one in (held, other):
        one.apply(page(1, feed.Entry("a", server("a"), 1)), instant(0))
    other.note_outage_ended(instant(10))
    other.apply(page(2, feed.Entry("a", None, 2)), instant(10))
    held.adopt(told_by(other, 10), instant(10))
    held.expire_lapses(instant(10 + serverlist.LAPSE_SECONDS))
    other.apply(page(3, feed.Entry("b", server("b"), 3)), instant(11))
    held.adopt(told_by(other, 11), instant(12.5))
    assert set(held.known) == {"b"}


def test_an_invalid_entry_is_logged_once():
    held = servers()
    with logbook.TestHandler() as handler:
        for version in range(1, 9):
            row = feed.Entry("a", b"{", version)
            held.apply(page(version, row), instant(version))
    assert len(handler.formatted_records) == 1


def test_a_peer_that_knows_the_new_start_passes_it_on():
    held, other = servers(), servers()
    held.apply(page(1, feed.Entry("a", server("a", born=1000), 1)), instant(0))
    other.adopt(told_by(held), instant(0))
    assert other.known["a"].server.start == 1000
    held.apply(page(2, feed.Entry("a", server("a", born=2000), 2)), instant(1))
    other.adopt(told_by(held), instant(1))
    assert other.known["a"].server.start == 2000


def told_by(held: serverlist.ServersCopy, seconds: float = 0.0) -> messages.Told:
    content = held.encode(instant(seconds))
    return messages.Told(topic=held.topic, revision=held.revision, content=content)


def test_all_changes_of_a_revision_are_one_line_of_the_log() -> None:
    held = servers()
    rows = [feed.Entry(f"s-{n}", server(f"s-{n}"), n + 1) for n in range(83)]
    with logbook.TestHandler() as written:
        held.replace(page(83, *rows), instant(0))
        held.apply(page(84, feed.Entry("s-7", None, 84)), instant(0))
        held.apply(page(84), instant(0))
    first, second = (record.message for record in written.records)
    assert first.endswith("; and 73 more changes; 83 known")
    assert second == "backend servers at revision 84: s-7 is gone; 82 known"
