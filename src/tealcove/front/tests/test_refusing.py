"""Addresses for callers while instances refuse requests."""

from __future__ import annotations

import logbook
import msgspec

from tealcove import clock, ids
from tealcove.front import addresses
from tealcove.instances import capacity, headroom
from tealcove.instances.tests import builders
from tealcove.membership import members, messages
from tealcove.membership.tests import builders as membership

CALLERS = [f"10.{n % 7}.{n // 250}.{n % 250}" for n in range(500)]
CAPACITY = 103


def given(
    serving: list[messages.Heartbeat], centre: str = "dc-1"
) -> list[list[ids.InstanceId]]:
    """Return what each caller in a data centre is given."""
    group = addresses.near(serving, ids.DataCentreId(centre))
    return [
        [one.instance for one in addresses.with_room(caller, group, serving)]
        for caller in CALLERS
    ]


def refuse(
    serving: list[messages.Heartbeat], *numbers: int
) -> list[messages.Heartbeat]:
    """Return the heartbeats after some instances have begun to refuse requests."""
    return [
        msgspec.structs.replace(one, headroom=capacity.REFUSING if n in numbers else 50)
        for n, one in enumerate(serving)
    ]


def in_centres(*counts: int) -> list[messages.Heartbeat]:
    """Return instances of several data centres."""
    centres = [f"dc-{n}" for n, count in enumerate(counts, 1) for _ in range(count)]
    return [
        builders.heartbeat(number, CAPACITY, data_centre=ids.DataCentreId(centre))
        for number, centre in enumerate(centres)
    ]


def test_an_instance_that_refuses_is_left_out() -> None:
    """Guards against callers that are refused while others have room."""
    serving = in_centres(24)
    before, after = given(refuse(serving)), given(refuse(serving, 0, 7))
    left_out = {serving[0].instance, serving[7].instance}
    assert not any(left_out & set(found) for found in after)
    # Only the callers of these two get other addresses.
    kept = [b == a for b, a in zip(before, after, strict=True) if not left_out & {*b}]
    assert all(kept)
    assert given(refuse(serving)) == before


def test_callers_get_the_only_instance_with_room_and_another_one() -> None:
    """Guards against answers with one address, and against two that refuse."""
    serving = in_centres(3)
    for found in given(refuse(serving, 0, 2)):
        assert found[0] == serving[1].instance
        assert len(found) == addresses.ENOUGH_LOCAL
    serving = in_centres(3, 2)
    names = {one.instance for one in serving[3:]}
    for found in given(refuse(serving, 0, 2)):
        assert found[0] == serving[1].instance
        assert found[1] in names


def test_if_all_instances_of_a_data_centre_refuse_others_are_given() -> None:
    """Guards against a data centre whose callers are all refused beside idle ones."""
    serving = in_centres(3, 3)
    refusing = {one.instance for one in serving[:3]}
    for found in given(refuse(serving, 0, 1, 2)):
        assert [name in refusing for name in found] == [False, False, True]
    assert all(refusing.isdisjoint(one) for one in given(serving, "dc-2"))


def test_if_all_instances_refuse_callers_stay_in_their_data_centre() -> None:
    """Guards against answers without addresses, and bytes that help nobody."""
    serving = in_centres(3, 3)
    local = {one.instance for one in serving[:3]}
    for found in given(refuse(serving, *range(6))):
        assert len(found) == addresses.ENOUGH_LOCAL
        assert set(found) <= local


def test_a_crash_during_refusals_keeps_an_instance_out_until_it_is_replaced() -> None:
    """Guards against callers that get a dead instance, or miss its successor."""
    known = membership.known()
    start = builders.instant(0.0)
    for number in (1, 2):
        known.record_heartbeat(builders.heartbeat(number), start)
    refusing = builders.heartbeat(3, headroom=capacity.REFUSING, change=1)
    known.record_heartbeat(refusing, start)
    assert refusing.instance not in all_given(known, 0.0)
    # It has crashed: its heartbeats end, while those of the others go on.
    for number in (1, 2):
        known.record_heartbeat(
            builders.heartbeat(number, change=1), builders.instant(0.9)
        )
    assert refusing.instance not in all_given(known, 0.9)
    assert refusing.instance not in all_given(known, 1.1)
    replaced = builders.heartbeat(3, incarnation=ids.Incarnation("second"))
    known.record_heartbeat(replaced, builders.instant(1.2))
    assert replaced.instance in all_given(known, 1.2)


def all_given(known: members.Members, at: float) -> set[ids.InstanceId]:
    return {
        name for found in given(known.serving(builders.instant(at))) for name in found
    }


def test_an_older_release_understands_an_instance_that_refuses() -> None:
    """Guards against weights of 0, with which an older directory would fail.

    It ranks by the weight alone, and never states less than its least headroom.
    """
    refusing = builders.heartbeat(0, CAPACITY, headroom=capacity.REFUSING)
    assert capacity.weight(refusing) > 0
    assert headroom.LEAST > capacity.REFUSING
    assert capacity.has_room(membership.heartbeat(1))


def test_answers_without_room_are_logged_seldom_and_counted() -> None:
    """Guards against overloads that no line tells, and one line for each caller."""
    known = membership.known()
    known.update_own(headroom=capacity.REFUSING)
    other = builders.heartbeat(1, headroom=capacity.REFUSING)
    known.record_heartbeat(other, clock.now())
    source = addresses.MemberAddresses(known, uses_weights=True)
    with logbook.TestHandler() as written:
        for caller in CALLERS[:20]:
            assert len(source.addresses(ids.DataCentreId("dc-1"), caller)) == 2
    (line,) = [record.message for record in written.records]
    assert "dc-1" in line
    assert "2 refuse" in line
    assert source.without_room == 20
