"""Distribution of callers among instances."""

from __future__ import annotations

import collections

import hypothesis
import logbook
import msgspec
import pytest
from hypothesis import strategies as st

from tealcove import clock, ids
from tealcove.front import addresses, sharednumbers
from tealcove.instances import capacity, headroom
from tealcove.instances.tests import builders
from tealcove.membership import members, messages
from tealcove.membership.tests import builders as membership

CALLERS = [f"10.{n % 7}.{n // 250}.{n % 250}" for n in range(500)]
STRONG, WEAK = 430, 103


def instances(strong: int, weak: int) -> list[messages.Heartbeat]:
    return [
        builders.heartbeat(number, STRONG if number < strong else WEAK)
        for number in range(strong + weak)
    ]


def count_strong(serving: list[messages.Heartbeat], is_first: bool) -> float:
    """Return the share of callers at strong instances.

    Callers use the first address, or one of theirs at random.
    """
    counts: collections.Counter[int] = collections.Counter()
    for caller in CALLERS:
        found = addresses.subset(caller, serving)
        for heartbeat in found[:1] if is_first else found:
            counts[heartbeat.capacity] += 1
    return counts[STRONG] / counts.total()


@pytest.mark.parametrize("is_first", [True, False])
def test_small_instances_beside_large_ones_get_callers_by_capacity(
    is_first: bool,
) -> None:
    """Guards against half a core that gets as many callers as two cores."""
    serving = instances(6, 57)
    weights = sum(capacity.weight(heartbeat) for heartbeat in serving)
    wanted = 6 * STRONG * 100 / weights
    found = count_strong(serving, is_first)
    assert found == pytest.approx(wanted, rel=0.15)
    assert 1.0 - found == pytest.approx(1.0 - wanted, rel=0.15)


def test_callers_keep_their_subset_when_a_headroom_changes_by_a_step() -> None:
    """Guards against new connections of all callers with each heartbeat."""
    serving = instances(6, 57)
    before = [addresses.subset(caller, serving) for caller in CALLERS]
    changed = msgspec.structs.replace(serving[0], headroom=90)
    after = [addresses.subset(caller, [changed, *serving[1:]]) for caller in CALLERS]
    moved = sum(
        [one.instance for one in a] != [one.instance for one in b]
        for a, b in zip(before, after, strict=True)
    )
    assert moved <= 0.04 * len(CALLERS)


def test_an_instance_without_headroom_gets_hardly_any_callers() -> None:
    serving = instances(6, 57)
    serving[0] = msgspec.structs.replace(serving[0], headroom=0)
    firsts = [addresses.subset(caller, serving)[0].instance for caller in CALLERS]
    assert firsts.count(serving[0].instance) <= 2


def test_all_instances_without_headroom_share_callers_by_capacity() -> None:
    """Guards against answers without addresses when all are overloaded."""
    serving = instances(2, 2)
    full = [msgspec.structs.replace(one, headroom=0) for one in serving]
    names = [[h.instance for h in addresses.subset(c, serving)] for c in CALLERS]
    assert names == [[h.instance for h in addresses.subset(c, full)] for c in CALLERS]


def test_instances_of_an_older_release_have_the_capacity_of_their_classes() -> None:
    """Guards against strong instances that get few callers during an upgrade."""
    older = membership.heartbeat(1, strength=2)
    older = msgspec.structs.replace(older, link_class=3)
    assert capacity.weight(older) == 400 * 100


def address_of(one: messages.Heartbeat) -> str:
    return f"{one.host}:{one.http_port}"


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
        builders.heartbeat(number, WEAK, data_centre=ids.DataCentreId(centre))
        for number, centre in enumerate(centres)
    ]


def test_an_instance_that_refuses_is_left_out() -> None:
    """Guards against callers that are refused while others have room."""
    serving = instances(0, 24)
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
    refusing = builders.heartbeat(0, WEAK, headroom=capacity.REFUSING)
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


@st.composite
def groups(draw: st.DrawFn) -> members.Members:
    """Return instances of any state, two data centres and any headroom."""
    found = membership.known()
    lifecycles = st.sampled_from(messages.Lifecycle)
    centres = st.sampled_from(["dc-1", "dc-2"])
    found.update_own(lifecycle=draw(lifecycles), headroom=draw(st.integers(0, 100)))
    for number in range(1, draw(st.integers(0, 16)) + 1):
        heartbeat = builders.heartbeat(
            number,
            capacity=draw(st.integers(0, 10_000)),
            headroom=draw(st.integers(0, 100)),
            lifecycle=draw(lifecycles),
            data_centre=ids.DataCentreId(draw(centres)),
        )
        found.record_heartbeat(heartbeat, clock.now())
    return found


@hypothesis.given(
    known=groups(),
    caller=st.text(max_size=15),
    centre=st.sampled_from(["dc-1", "dc-2", ""]),
)
@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
def test_addresses_are_serving_and_never_missing(
    known: members.Members, caller: str, centre: str
) -> None:
    """Guards against callers that are told to go nowhere, or to a stopped instance."""
    source = addresses.MemberAddresses(known, uses_weights=True)
    centre = ids.DataCentreId(centre)
    found = source.addresses(centre, caller)
    serving = known.serving(clock.now())
    names = {address_of(h) for h in serving}
    assert set(found) <= names
    assert len(found) >= min(len(names), addresses.ENOUGH_LOCAL)
    assert found == source.addresses(centre, caller)
    local = [h for h in serving if h.data_centre == centre]
    has_room = {address_of(h) for h in local if h.headroom > 0}
    if len(has_room) >= addresses.ENOUGH_LOCAL:
        assert set(found) <= has_room
    elif len(local) >= addresses.ENOUGH_LOCAL:
        assert has_room <= set(found)
    elsewhere = [h for h in serving if h not in local and h.headroom > 0]
    if len(local) >= addresses.ENOUGH_LOCAL and not elsewhere:
        assert set(found) <= {address_of(h) for h in local}
    if any(h.headroom > 0 for h in serving):
        assert any(h.headroom > 0 for h in serving if address_of(h) in found)


def test_without_weights_all_instances_of_the_data_centre_are_given() -> None:
    found = membership.known()
    for number in range(1, 6):
        found.record_heartbeat(builders.heartbeat(number), clock.now())
    source = addresses.MemberAddresses(found)
    assert len(source.addresses(ids.DataCentreId("dc-1"), "10.0.0.1")) == 6


def test_callers_behind_one_number_are_spread_by_weights() -> None:
    """Guards against two instances that get all callers of a data centre.

    Callers behind one address translation have one IP number, and one subset.
    """
    serving = {heartbeat.instance: heartbeat for heartbeat in instances(2, 19)}
    shared = sharednumbers.SharedNumbers()
    counts: collections.Counter[int] = collections.Counter()
    for number in range(2000):
        # 500 callers that ask each second.
        key = shared.key("10.0.0.1", builders.instant(number / 500))
        first = addresses.subset(key, list(serving.values()))[0]
        counts[first.capacity] += number >= 500
    weights = 2 * STRONG / (2 * STRONG + 19 * WEAK)
    assert counts[STRONG] / counts.total() == pytest.approx(weights, rel=0.15)


def test_a_caller_that_asks_each_second_keeps_its_key() -> None:
    """Guards against new connections of callers that ask again after a failure."""
    shared = sharednumbers.SharedNumbers()
    asked_at = [0.0, 0.1, 0.2, 1.0, 2.0, 2.1, 2.2, 2.3, 3.0, 60.0]
    keys = {shared.key("10.0.0.1", builders.instant(at)) for at in asked_at}
    assert keys == {"10.0.0.1"}


def test_numbers_that_no_longer_ask_are_forgotten() -> None:
    """Guards against memory that grows with every caller there ever was."""
    shared = sharednumbers.SharedNumbers()
    for number in range(100):
        shared.key(f"10.0.0.{number}", builders.instant(0.0))
    shared.key("10.0.0.1", builders.instant(60.0))
    assert len(shared.counts) + len(shared.before) == 1
