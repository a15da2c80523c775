"""The membership table, ranking and revision status."""

from __future__ import annotations

import math

import hypothesis
import msgspec
from hypothesis import stateful
from hypothesis import strategies as st

from tealcove import ids, stalls
from tealcove.membership import messages, ranking, revision_status
from tealcove.membership.tests import builders
from tealcove.peers import message

INSTANCES = 5


def test_only_keys_of_the_gone_instance_move() -> None:
    names = [ids.InstanceId(f"i-{number}") for number in range(8)]
    keys = [f"pool/{number}" for number in range(200)]
    before = {key: ranking.rank(key, names)[0] for key in keys}
    after = {key: ranking.rank(key, names[1:])[0] for key in keys}
    moved = {key for key in keys if before[key] != after[key]}
    assert moved == {key for key in keys if before[key] == "i-0"}


def test_a_pause_of_this_process_is_no_silence_of_its_peers() -> None:
    """An instance that had stood still took all others for lost, and decided alone."""
    own_stalls = stalls.Stalls()
    found = builders.known(own_stalls=own_stalls)
    found.record_heartbeat(builders.heartbeat(1), ids.Instant(0.0))
    # The tick that was due at .1 s is late.
    own_stalls.due = ids.Instant(0.1)
    resumed = ids.Instant(60.0)
    assert len(found.rank("pool/0", resumed)) == 2
    assert found.sweep(resumed) == []
    # The peer is silent while this process runs.
    own_stalls.total = own_stalls.stalled_seconds(resumed)
    own_stalls.due = ids.Instant(math.inf)
    silent = ids.Instant(resumed + builders.SUSPECT_AFTER)
    assert len(found.rank("pool/0", silent)) == 1


def test_the_near_data_centre_ranks_first() -> None:
    found = builders.known()
    now = ids.Instant(0.0)
    for number in range(1, 6):
        centre = "dc-2" if number < 3 else "dc-1"
        found.record_heartbeat(builders.heartbeat(number, data_centre=centre), now)
    ranked = found.rank("pool/0", now, ids.DataCentreId("dc-2"))
    assert set(ranked[:2]) == {"i-1", "i-2"}
    assert len(ranked) == 6


def test_strong_instances_rank_before_weak_ones() -> None:
    """A dispatcher is overloaded while stronger instances are idle.

    Symptom: under twice the usual load grants are late, and slots are idle between two
    requests. Sequence: an instance with half a core ranks first as the dispatcher of
    thirty servers. Cause: the ranking ignored the instances' capacity.
    """
    found = builders.known()
    now = ids.Instant(0.0)
    for number in range(1, 9):
        found.record_heartbeat(builders.heartbeat(number, strength=number // 6), now)
    for key in range(20):
        ranked = found.rank(f"pool/{key}", now)
        assert set(ranked[:3]) == {"i-6", "i-7", "i-8"}
        assert len(ranked) == 9


def test_the_order_follows_a_strength_that_changes() -> None:
    found = builders.known()
    now = ids.Instant(0.0)
    found.record_heartbeat(builders.heartbeat(1), now)
    found.rank("pool/0", now)
    found.record_heartbeat(builders.heartbeat(1, strength=1), now)
    assert found.rank("pool/0", now)[0] == "i-1"
    found.update_own(strength=2)
    assert found.rank("pool/0", now)[0] == "i-0"


def test_a_late_heartbeat_of_a_replaced_incarnation_is_dropped() -> None:
    """A member alternates between the old and the new process of one name.

    Symptom: tickets go to the address of a stopped process.
    Sequence: instance 1 is replaced; the old one's last heartbeat arrives late.
    Cause: the heartbeat that arrives last is not the newest.
    """
    found = builders.known()
    found.record_heartbeat(builders.heartbeat(1, "first"), ids.Instant(0.0))
    gone = builders.heartbeat(1, "first", messages.Lifecycle.GONE)
    found.record_heartbeat(gone, ids.Instant(0.1))
    found.record_heartbeat(builders.heartbeat(1, "second"), ids.Instant(0.2))
    found.record_heartbeat(builders.heartbeat(1, "first"), ids.Instant(0.3))
    assert found.find(ids.InstanceId("i-1")).incarnation == "second"


def test_peers_are_reached_at_their_own_address() -> None:
    """Messages for peers go to the address for callers.

    Symptom: instances with two networks never receive each other's heartbeats.
    Sequence: an instance listens for callers and for peers on different hosts.
    Cause: the heartbeat had one host for both.
    """
    found = builders.known()
    found.record_heartbeat(builders.heartbeat(1), ids.Instant(0.0))
    assert str(found.endpoint_of(ids.InstanceId("i-1"))) == "127.0.0.2:8001"


def test_status_counts_serving_instances_and_knows_since_when() -> None:
    found = builders.known()
    found.update_own(revision=ids.Revision(7))
    status = revision_status.HeartbeatStatus(found)
    found.record_heartbeat(builders.heartbeat(1, revision=6), ids.Instant(0.0))
    at_seven = status.in_force(ids.Revision(7), ids.Instant(0.0))
    assert (at_seven.instances, at_seven.of, at_seven.since) == (1, 2, None)
    found.record_heartbeat(builders.heartbeat(1, revision=7), ids.Instant(0.5))
    status.note(ids.Instant(0.5))
    at_seven = status.in_force(ids.Revision(7), ids.Instant(0.9))
    assert (at_seven.instances, at_seven.of) == (2, 2)
    assert round(at_seven.since, 3) == 0.4


def test_a_changed_headroom_neither_ranks_nor_notifies() -> None:
    """Guards against dispatchers that change, or hash anew, whenever a load changes.

    The headroom of an instance changes every few seconds under load. Each change of
    the set of serving instances makes entries send their tickets again.
    """
    found = builders.known()
    now = ids.Instant(0.0)
    found.record_heartbeat(builders.heartbeat(1), now)
    found.notify_if_changed(now)
    notified = []
    found.listen(lambda: notified.append(True))
    found.rank("pool/0", now)
    cached = dict(found.rankings)
    changed = msgspec.structs.replace(builders.heartbeat(1), headroom=40, change=1)
    found.record_heartbeat(changed, now)
    found.update_own(headroom=70)
    found.notify_if_changed(now)
    assert found.find(ids.InstanceId("i-1")).headroom == 40
    assert found.own.headroom == 70
    assert found.rankings == cached
    assert not notified


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Heartbeats, silence and replacements in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.members = builders.known()
        self.now = ids.Instant(0.0)
        self.heard: dict[str, float] = {}
        self.lifecycles: dict[str, messages.Lifecycle] = {}
        self.changes = 0
        self.members.listen(self.count)

    def count(self) -> None:
        """Count a notification."""
        self.changes += 1

    @stateful.rule(
        number=st.integers(1, INSTANCES), lifecycle=st.sampled_from(messages.Lifecycle)
    )
    def hear(self, number: int, lifecycle: messages.Lifecycle) -> None:
        """Record a heartbeat."""
        beat = builders.heartbeat(number, lifecycle=lifecycle)
        self.members.record_heartbeat(beat, self.now)
        self.heard[beat.instance] = self.now
        self.lifecycles[beat.instance] = lifecycle

    @stateful.rule(seconds=st.floats(0.0, 12.0))
    def pass_time(self, seconds: float) -> None:
        """Advance the time without heartbeats, then sweep."""
        self.now = ids.Instant(self.now + seconds)
        self.members.sweep(self.now)

    @stateful.invariant()
    def serving_are_those_heard_lately(self) -> None:
        """Only this instance and those with a recent heartbeat accept new work."""
        wanted = {"i-0"}
        for name, instant in self.heard.items():
            fresh = self.now - instant <= builders.SUSPECT_AFTER
            if fresh and self.lifecycles[name] is messages.Lifecycle.SERVING:
                wanted.add(name)
        assert builders.names(self.members.serving(self.now)) == wanted
        assert set(self.members.rank("pool/0", self.now)) == wanted

    @stateful.invariant()
    def long_silent_peers_are_forgotten(self) -> None:
        """Silent peers are removed after FORGET_AFTER."""
        for name in self.members.peers:
            assert self.now - self.heard[name] <= builders.FORGET_AFTER


MembershipMachine.TestCase.settings = hypothesis.settings(
    max_examples=50, deadline=None, derandomize=True
)
TestMembership = MembershipMachine.TestCase


def test_a_heartbeat_of_the_version_before_is_understood():
    """Guards against instances that don't know each other during an upgrade."""
    codec = message.Codec()
    codec.register(messages.Heartbeat)
    encoded = codec.encode(builders.heartbeat(1, revision=48))
    fields = msgspec.msgpack.decode(encoded)
    new_fields = (
        "configuration_version",
        "withholds_servers",
        "relay_port",
        "reaches_servers",
        "parts",
        "capacity",
        "headroom",
        "weights",
    )
    assert messages.Heartbeat.__struct_fields__[-len(new_fields) :] == new_fields
    for missing in (1, 2, 3, 5, 7):
        found = codec.decode(msgspec.msgpack.encode(fields[:-missing]))
        assert found == builders.heartbeat(1, revision=48)
