"""Tests of holds on servers, and of engines that lack a model."""

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


def test_hold_expires_or_is_released():
    in_force = holds.Holds()
    in_force.apply(hold("a", 3.0), builders.instant(0))
    in_force.apply(hold("b", 3.0), builders.instant(0))
    assert in_force.is_held("a", 1, builders.instant(2.9))
    assert not in_force.is_held("a", 1, builders.instant(3.0))
    in_force.apply(hold("b", 0.0), builders.instant(1))
    assert not in_force.is_held("b", 1, builders.instant(1))
    cell = builders.cell(msgspec.structs.replace(builders.server("s"), host="a"))
    cell = msgspec.structs.replace(
        cell, servers=(msgspec.structs.replace(cell.servers[0], port=1),)
    )
    assert in_force.of_cell(cell, builders.instant(1)) == ["s"]


def test_release_by_a_replaced_steward_is_ignored():
    in_force = holds.Holds()
    in_force.apply(hold("a", 3.0, number=2), builders.instant(0))
    in_force.apply(hold("a", 0.0, number=1), builders.instant(1))
    assert in_force.is_held("a", 1, builders.instant(1))


def test_held_server_finishes_its_requests_and_gets_none():
    """A server's version changes during running requests, which fail or mix versions.

    This happens if a hold takes effect only with the next load report, or if its report
    doesn't count the running requests.
    """
    fair_scheduler = builders.opened(builders.server("a"), builders.server("b"))
    now = builders.instant(1)
    servers = {grant.server for grant in builders.fill(fair_scheduler, 8, now)}
    assert servers == {"a", "b"}
    fair_scheduler.hold_back("a", now)
    told = fair_scheduler.report_hold(report("a"))
    assert (told.is_held, told.running) == (True, 4)
    running = [t for t in fair_scheduler.state.fleet.servers["a"].running]
    for ticket_id in running:
        assert builders.granted(fair_scheduler.withdraw(ticket_id, now)) == []
    assert builders.fill(fair_scheduler, 1, now) == []
    assert fair_scheduler.report_hold(report("a")).running == 0
    fair_scheduler.report("a", builders.load(), now)
    assert not fair_scheduler.report_hold(report("a")).is_held
    fair_scheduler.gather(builders.instant(9))
    assert fair_scheduler.report_hold(report("a")).is_gathering


def test_ticket_avoids_engines_that_lack_its_model():
    """A request gets a 404 from an engine that is still loading its model.

    After a model or an engine is added to a pool, some engines have the model and
    others don't yet; the dispatcher mustn't treat them alike.
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
