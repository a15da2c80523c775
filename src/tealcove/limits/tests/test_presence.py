"""Tests of the number of instances that may be running."""

from __future__ import annotations

import pytest

from tealcove import ids
from tealcove.limits import presence
from tealcove.membership import members, messages
from tealcove.membership.tests import builders

INSTANCES = 8
# Seconds; longer than a silent peer is known.
CUT_SECONDS = 30.0


def instant(seconds: float) -> ids.Instant:
    return ids.Instant(seconds)


@pytest.fixture
def known() -> members.Members:
    """Return the members as an instance knows them before a partition."""
    found = builders.known()
    for number in range(1, INSTANCES):
        found.record_heartbeat(builders.heartbeat(number), instant(0.0))
    return found


def test_instances_beyond_a_partition_share_the_retry_slack(
    known: members.Members,
) -> None:
    """Each side of a partition took the slack of all instances for its own."""
    found = presence.Presence(known, instant(0.0))
    for tenths in range(int(CUT_SECONDS * 10)):
        now = instant(tenths / 10)
        known.sweep(now)
        assert found.count_possible(now) == INSTANCES
    assert len(known.serving(now)) == 1


def test_an_instance_that_leaves_counts_until_its_retries_are_over(
    known: members.Members,
) -> None:
    """Instances that shut down left their share to others while it was in use."""
    found = presence.Presence(known, instant(0.0))
    assert found.count_possible(instant(0.1)) == INSTANCES
    for lifecycle in (messages.Lifecycle.LEAVING, messages.Lifecycle.GONE):
        leaving = builders.heartbeat(1, lifecycle=lifecycle)
        known.record_heartbeat(leaving, instant(0.2))
        assert found.count_possible(instant(0.3)) == INSTANCES
    known.sweep(instant(0.3 + builders.FORGET_AFTER))
    for number in range(2, INSTANCES):
        known.record_heartbeat(builders.heartbeat(number), instant(10.4))
    assert found.count_possible(instant(10.5)) == INSTANCES - 1


def test_a_process_that_starts_beyond_a_partition_counts_the_listed() -> None:
    """It knew only itself and took the whole slack."""
    found = presence.Presence(builders.known(), instant(0.0), lambda: INSTANCES)
    assert found.count_possible(instant(CUT_SECONDS)) == INSTANCES
