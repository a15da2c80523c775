"""Tests of the configuration role of an instance."""

from __future__ import annotations

from tealcove import clock, ids, settings
from tealcove.membership.tests import builders as membership_builders
from tealcove.peers import endpoint, mesh
from tealcove.resources import copy, role
from tealcove.storage import memory


def make_roles(count: int) -> list[role.ConfigurationRole]:
    """Return the roles of instances with heartbeats from one another."""
    platform = memory.MemoryPlatform()
    made = []
    for number in range(count):
        known = membership_builders.known(number)
        # Keeps members from being suspected on a slow machine.
        known.suspect_after = known.forget_after = 3600.0
        for peer in range(count):
            known.record_heartbeat(membership_builders.heartbeat(peer), clock.now())
        transport = mesh.Mesh(
            known.own.instance,
            known.own.incarnation,
            endpoint.Endpoint("127.0.0.1", 0),
        )
        found = settings.Settings(instance=known.own.instance, data_centre="dc-1")
        made.append(
            role.ConfigurationRole(
                found, platform.table, platform.objects, transport, known
            )
        )
    return made


async def test_one_instance_compacts_when_it_is_due():
    roles = make_roles(3)
    every = roles[0].compactor.settings.every
    for before, after, expected in ((0, every - 1, 0), (every - 1, every, 1)):
        for each in roles:
            each.schedule_compaction(at(before), at(after))
        assert sum(each.compactor.requested.is_set() for each in roles) == expected


async def test_two_instances_of_a_data_centre_read_the_head_often():
    """Guards against reads of the head by every instance.

    Reads would grow with the number of instances, beyond the platform's rate at 580.
    Of five instances of one data centre, only two may read often, and if one of the
    two stops, another must take its place.
    """
    roles = make_roles(5)
    for each in roles:
        each.handle_membership_change()
    readers = [each for each in roles if each.reader.designated]
    assert len(readers) == role.READERS_PER_DATA_CENTRE
    gone = readers[0].members.own.instance
    left = [each for each in roles if each is not readers[0]]
    for each in left:
        del each.members.peers[gone]
        each.members.rankings.clear()
        each.handle_membership_change()
    assert sum(each.reader.designated for each in left) == role.READERS_PER_DATA_CENTRE
    new = [r for r in left if r.reader.designated and r not in readers]
    assert all(each.reader.poll_requested.is_set() for each in new)


def at(revision: int) -> copy.Configuration:
    """Return an empty configuration at a revision."""
    return copy.Configuration(ids.Revision(revision), copy.empty().resources)
