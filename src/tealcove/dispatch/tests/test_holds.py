"""Servers that a steward keeps from new work, and engines that lack a model."""

from __future__ import annotations

import msgspec

from tealcove.backends import engine
from tealcove.dispatch import holds, reading
from tealcove.dispatch.tests import builders


def hold(name: str, seconds: float, number: int = 1) -> holds.Hold:
    return holds.Hold(
        number=number,
        cell=builders.CELL,
        server=name,
        host=name,
        port=1,
        sequence=1,
        seconds=seconds,
    )


def report(name: str) -> holds.HoldReport:
    return holds.HoldReport(
        cell=builders.CELL, server=name, sequence=1, is_held=False, running=0
    )


def test_hold_ends_by_itself_or_when_told():
    found = holds.Holds()
    found.take(hold("a", 3.0), builders.instant(0))
    found.take(hold("b", 3.0), builders.instant(0))
    assert found.is_held("a", 1, builders.instant(2.9))
    assert not found.is_held("a", 1, builders.instant(3.0))
    found.take(hold("b", 0.0), builders.instant(1))
    assert not found.is_held("b", 1, builders.instant(1))
    cell = builders.cell(msgspec.structs.replace(builders.server("s"), host="a"))
    cell = msgspec.structs.replace(
        cell, servers=(msgspec.structs.replace(cell.servers[0], port=1),)
    )
    assert found.of_cell(cell, builders.instant(1)) == ["s"]


def test_release_of_replaced_steward_is_ignored():
    found = holds.Holds()
    found.take(hold("a", 3.0, number=2), builders.instant(0))
    found.take(hold("a", 0.0, number=1), builders.instant(1))
    assert found.is_held("a", 1, builders.instant(1))


def test_held_server_finishes_its_work_and_gets_none():
    """A server's version is changed under running requests.

    Symptom: requests fail, or are answered by two versions, at each update.
    Sequence: a hold comes while requests run on the server and others arrive.
    Cause: the hold waits for the next load report, or doesn't tell what runs.
    """
    found = builders.opened(builders.server("a"), builders.server("b"))
    now = builders.instant(1)
    servers = {grant.server for grant in builders.fill(found, 8, now)}
    assert servers == {"a", "b"}
    found.hold_back("a", now)
    told = found.report_hold(report("a"))
    assert (told.is_held, told.running) == (True, 4)
    running = [t for t in found.state.fleet.servers["a"].running]
    for ticket_id in running:
        assert builders.granted(found.withdraw(ticket_id, now)) == []
    assert builders.fill(found, 1, now) == []
    assert found.report_hold(report("a")).running == 0
    found.report("a", builders.load(), now)
    assert not found.report_hold(report("a")).is_held
    found.gather(builders.instant(9))
    assert found.report_hold(report("a")).is_gathering


def test_ticket_avoids_engines_that_lack_its_model():
    """A request is answered by 404 from an engine that is still loading.

    Symptom: requests fail after a model or an engine is added to a pool.
    Sequence: the pool names the model; one engine has it, another doesn't yet.
    Cause: the dispatcher takes all engines of a pool for alike.
    """
    holdings = {
        "a": engine.Holding({"m": "1"}, {"x": "1"}, "both"),
        "b": engine.Holding({"m": "2"}, {}, "both"),
        "c": engine.Holding({}, {}, "both"),
    }
    plain = builders.ticket(model="m", excluded=("d",))
    assert reading.exclude_unequipped(plain, holdings).excluded == ("d", "c")
    adapted = builders.ticket(model="m", adapter="x")
    assert reading.exclude_unequipped(adapted, holdings).excluded == ("b", "c")
    call = builders.ticket()
    assert reading.exclude_unequipped(call, holdings) is call
