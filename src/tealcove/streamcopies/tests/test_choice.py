"""Tests of the choice of the server that keeps a copy."""

from __future__ import annotations

import msgspec
import pytest

from tealcove import ids
from tealcove.dispatch import backendview, goal, messages
from tealcove.dispatch.tests import builders
from tealcove.peers import message
from tealcove.resources import kinds
from tealcove.streamcopies import choice, copying
from tealcove.streamcopies.tests import builders as copies

NOW = builders.instant(0.0)
FIRST = ids.BackendServerId("s0")


def opened(count: int = 3, **changes: object) -> goal.GoalScheduler:
    """Return a scheduler with servers s0, s1, ..., of which the last is changed."""
    servers = [builders.server(f"s{number}") for number in range(count - 1)]
    last = builders.server(f"s{count - 1}", **changes)
    return copies.scheduler(*servers, last)


def chosen(found: goal.GoalScheduler) -> str | None:
    """Return the server that keeps the copy of a run on s0."""
    servers = list(found.views.servers.values())
    server = choice.choose(copies.view(found, "s0"), servers, NOW)
    return None if server is None else server.name


def put_run(found: goal.GoalScheduler, server: str, copy_at: str | None) -> None:
    """Let a server run a stream, with or without a copy."""
    ticket = copies.stream()
    run = found.views.start(ticket, copies.view(found, server), NOW)
    run.copy_at = None if copy_at is None else ids.BackendServerId(copy_at)


def test_the_server_with_the_most_room_keeps_the_copy() -> None:
    """Guards against copies that all crowd the memory of one server."""
    found = opened()
    put_run(found, "s1", None)
    assert chosen(found) == "s2"
    put_run(found, "s0", "s2")
    put_run(found, "s0", "s2")
    assert chosen(found) == "s1"


def test_room_is_counted_in_relation_to_slots() -> None:
    found = opened(slots=16)
    put_run(found, "s1", None)
    for _ in range(3):
        put_run(found, "s2", None)
    assert chosen(found) == "s2"


def test_a_server_of_the_same_data_centre_comes_first() -> None:
    """Guards against copies that take twice as long, and expensive bytes."""
    found = opened(data_centre="dc-2")
    for _ in range(4):
        put_run(found, "s1", None)
    assert chosen(found) == "s1"
    copies.view(found, "s1").pause.begin(NOW)
    assert chosen(found) == "s2"


@pytest.mark.parametrize(
    "changes",
    [
        {"version": ids.SoftwareVersion("v2")},
        {"state": kinds.ServerState.LEAVING},
    ],
)
def test_no_other_version_and_no_leaving_server_keeps_a_copy(
    changes: dict[str, object],
) -> None:
    """Guards against copies that no run can go on from."""
    assert chosen(opened(2)) == "s1"
    assert chosen(opened(2, **changes)) is None


def test_no_paused_or_failing_server_keeps_a_copy() -> None:
    """Guards against copies on servers that have crashed themselves."""
    paused, failing, probed = opened(2), opened(2), opened(2)
    copies.view(paused, "s1").pause.begin(NOW)
    copies.view(failing, "s1").failures = 2 * backendview.MAX_FAILURES
    copies.view(probed, "s1").failed_in_row = backendview.FAILURES_TO_PROBE
    assert [chosen(one) for one in (paused, failing, probed)] == [None] * 3


def test_the_only_server_gets_no_copy_of_its_own_runs() -> None:
    assert chosen(opened(1)) is None


def test_the_grant_names_the_server_with_the_copy() -> None:
    found = opened(2)
    ticket = copies.stream()
    grant = copies.granted(found, ticket)
    other = {"s0": "s1", "s1": "s0"}[grant.server]
    assert (grant.copy_server, grant.copy_host) == (other, "127.0.0.1")
    assert grant.copy_port == copies.view(found, other).spec.port
    # A repeated ticket, since the grant was lost, gets the same.
    assert copies.granted(found, ticket) == grant


def test_the_log_line_of_a_grant_tells_where_the_copy_is() -> None:
    """Guards against lost streams whose copy can't be followed in the logs."""
    found = opened(2)
    ticket, other = copies.stream(), builders.ticket()
    grant = copies.granted(found, ticket)
    run = copies.view(found, grant.server).runs[ticket.ticket_id]
    assert copying.describe(ticket, run) == f", copied to {grant.copy_server}"
    run.copy_at = None
    assert copying.describe(ticket, run) == ", no copy"
    assert copying.describe(other, run) == ""
    goes_on = msgspec.structs.replace(ticket, copy_at=FIRST)
    assert copying.describe(goes_on, run) == ", goes on from its copy there"


def test_nothing_is_copied_without_the_setting_or_the_request() -> None:
    """Guards against changes for instances that don't enable copies."""
    assert copies.granted(opened(2), builders.ticket()).copy_server is None
    plain = builders.goal_scheduler(4, 4)
    assert copies.granted(plain, copies.stream()).copy_server is None


def test_beyond_the_budget_streams_start_without_a_copy() -> None:
    """Guards against links and memory that are filled with copies."""
    tokens = 200
    rate = 2.5 * 18_432 * tokens
    servers = [builders.server(f"s{number}", 16) for number in range(2)]
    found = copies.scheduler(*servers, rate=rate)

    def copied(at: float) -> list[bool]:
        grants = [copies.granted(found, copies.stream(), at) for _ in range(4)]
        for grant in grants:
            found.done(builders.done(grant), builders.instant(at))
        return [grant.copy_server is not None for grant in grants]

    assert copied(0.0) == [True, True, False, False]
    # The bucket refills, up to one second of the rate.
    assert copied(0.8) == [True, True, False, False]
    assert copied(5.0) == [True, True, False, False]


def test_a_copy_larger_than_the_budget_of_a_second_needs_all_of_it() -> None:
    """Guards against long streams that are never copied."""
    found = copies.scheduler(*(builders.server(f"s{n}") for n in range(2)), rate=1.0)
    assert copies.granted(found, copies.stream()).copy_server is not None
    assert copies.granted(found, copies.stream(), 100.0).copy_server is None


def test_a_new_dispatcher_counts_the_copies_of_running_streams() -> None:
    """Guards against copies that all go to one server after a takeover."""
    found = opened()
    for _ in range(3):
        running = copies.stream(running_on=FIRST, copy_at=ids.BackendServerId("s1"))
        found.enqueue(running, NOW)
    assert chosen(found) == "s2"


def test_fields_of_the_release_before_are_understood() -> None:
    """Guards against requests that are lost while instances are updated."""
    codec = message.Codec()
    codec.register(messages.Grant)
    grant = copies.granted(opened(2), copies.stream())
    fields = msgspec.msgpack.decode(codec.encode(grant))
    assert grant.__struct_fields__[-3:] == ("copy_server", "copy_host", "copy_port")
    older = codec.decode(msgspec.msgpack.encode(fields[:-3]))
    assert (older.server, older.copy_server) == (grant.server, None)
