"""Holds: when an engine counts as empty, and when as taken back."""

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


def opened() -> tuple[drains.Drains, transport.NotingMesh]:
    """Return the holds of an instance with two peers, engine "a" held."""
    known = membership.known(0)
    for number in (1, 2):
        known.record_heartbeat(membership.heartbeat(number), NOW)
    mesh = transport.NotingMesh()
    found = drains.Drains(mesh, known)
    found.begin(test_plan.target(test_plan.A).servers[A], NOW)
    return found, mesh


def answer(found: drains.Drains, mesh: transport.NotingMesh, **changes: object) -> None:
    """Let both dispatchers answer the last hold, in their way."""
    hold = mesh.sent[-1].content
    report = holds.answer(hold, is_held=hold.seconds > 0)
    drain = found.found[A]
    for instance in found.told(drain, NOW):
        found.take(instance, msgspec.structs.replace(report, **changes), NOW)


def test_engine_is_empty_once_both_dispatchers_say_so():
    found, mesh = opened()
    assert len(mesh.sent) == drains.TOLD
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
    first = found.told(found.found[A], NOW)[0]
    busy = msgspec.structs.replace(found.found[A].answers[first].report, running=1)
    found.take(first, busy, NOW)
    assert not found.is_granted_nothing(A, NOW)


def test_answers_of_long_ago_and_to_earlier_holds_do_not_count():
    """A woken steward changes an engine that has had work again for long.

    Symptom: requests end as interrupted when a frozen instance wakes.
    Sequence: an engine is held and empty; the steward freezes, the hold ends.
    Cause: what a dispatcher has said is believed for ever.
    """
    found, mesh = opened()
    answer(found, mesh)
    later = ids.Instant(NOW + drains.HOLD_SECONDS + 1)
    for number in (1, 2):
        found.members.record_heartbeat(membership.heartbeat(number), later)
    assert found.told(found.found[A], later) == found.told(found.found[A], NOW)
    assert not found.is_granted_nothing(A, later)
    late = mesh.sent[-1].content
    found.release(A, NOW)
    found.begin(test_plan.target(test_plan.A).servers[A], NOW)
    for instance in found.told(found.found[A], NOW):
        found.take(instance, holds.answer(late, True), NOW)
    assert not found.is_granted_nothing(A, NOW)


def test_engine_is_taken_back_once_both_give_it_work_or_its_hold_has_ended():
    found, mesh = opened()
    found.release(A, NOW)
    answer(found, mesh, is_held=True)
    found.tell(NOW)
    assert found.held == {A}
    answer(found, mesh)
    found.tell(NOW)
    assert found.held == frozenset()
    found, _ = opened()
    found.release(A, NOW)
    found.tell(ids.Instant(NOW + drains.HOLD_SECONDS + 0.1))
    assert found.held == frozenset()
