"""Distribution of callers among instances."""

from __future__ import annotations

import collections

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from tealcove import clock, ids
from tealcove.front import addresses, sharednumbers
from tealcove.instances import capacity
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
