"""Holds: when an engine counts as empty, and when as released."""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.dispatch import holds
from tealcove.dispatch.tests import transport
from tealcove.membership.tests import builders as membership
from tealcove.orders import drains
from tealcove.orders.tests import test_plan

A = ids.BackendServerId("a")
NOW = ids.Instant(100.0)


def opened() -> tuple[drains.Drains, transport.RecordingMesh]:
    """Return the drains of an instance with two peers, and its mesh; "a" is held."""
    known = membership.known(0)
    for number in (1, 2):
        known.record_heartbeat(membership.heartbeat(number), NOW)
    mesh = transport.RecordingMesh()
    found = drains.Drains(mesh, known)
    found.begin(test_plan.target(test_plan.A).servers[A], NOW)
    return found, mesh


def answer(
    found: drains.Drains, mesh: transport.RecordingMesh, **changes: object
) -> None:
    """Record both dispatchers' reports on the last hold, with changed fields."""
    hold = mesh.sent[-1].content
    report = holds.new_report(hold, is_held=hold.seconds > 0)
    drain = found.by_server[A]
    for instance in found.dispatchers(drain, NOW):
        found.record_report(instance, msgspec.structs.replace(report, **changes), NOW)


def test_engine_is_empty_once_both_dispatchers_report_it():
    found, mesh = opened()
    assert len(mesh.sent) == drains.DISPATCHERS
    assert not found.is_granted_nothing(A, NOW)
    for changes in (
        {"running": 1},
        {"is_gathering": True},
        {"is_held": False},
    ):
        answer(found, mesh, **changes)
        assert not found.is_granted_nothing(A, NOW)
    answer(found, mesh)
    assert found.is_granted_nothing(A, NOW)
    first = found.dispatchers(found.by_server[A], NOW)[0]
    busy = msgspec.structs.replace(found.by_server[A].received[first].report, running=1)
    found.record_report(first, busy, NOW)
    assert not found.is_granted_nothing(A, NOW)


def test_expired_reports_and_reports_on_earlier_holds_do_not_count():
    """Reports don't count after HOLD_SECONDS or for an earlier hold.

    Guards against reports that never expire: a steward that freezes while an engine
    is held and empty would, on resuming, change it although the hold has expired and
    the engine has work again, which interrupts requests.
    """
    found, mesh = opened()
    answer(found, mesh)
    later = ids.Instant(NOW + drains.HOLD_SECONDS + 1)
    for number in (1, 2):
        found.members.record_heartbeat(membership.heartbeat(number), later)
    assert found.dispatchers(found.by_server[A], later) == found.dispatchers(
        found.by_server[A], NOW
    )
    assert not found.is_granted_nothing(A, later)
    late = mesh.sent[-1].content
    found.release(A, NOW)
    found.begin(test_plan.target(test_plan.A).servers[A], NOW)
    for instance in found.dispatchers(found.by_server[A], NOW):
        found.record_report(instance, holds.new_report(late, True), NOW)
    assert not found.is_granted_nothing(A, NOW)


def test_engine_is_released_once_both_confirm_or_its_hold_has_expired():
    found, mesh = opened()
    found.release(A, NOW)
    answer(found, mesh, is_held=True)
    found.send_all(NOW)
    assert found.held == {A}
    answer(found, mesh)
    found.send_all(NOW)
    assert found.held == frozenset()
    found, _ = opened()
    found.release(A, NOW)
    found.send_all(ids.Instant(NOW + drains.HOLD_SECONDS + 0.1))
    assert found.held == frozenset()
