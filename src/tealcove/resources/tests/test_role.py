"""The configuration's side of a whole instance."""

from __future__ import annotations

from tealcove import clock, ids, settings
from tealcove.membership.tests import builders as membership_builders
from tealcove.peers import endpoint, mesh
from tealcove.platform import memory
from tealcove.resources import copy, role


def make_roles(count: int) -> list[role.ConfigurationRole]:
    """Return the roles of instances that have all heard each other."""
    platform = memory.MemoryPlatform()
    made = []
    for number in range(count):
        known = membership_builders.known(number)
        # However slow the machine is, nobody counts as silent.
        known.suspect_after = known.forget_after = 3600.0
        for peer in range(count):
            known.hear(membership_builders.heartbeat(peer), clock.now())
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
            each.compact_now_and_then(at(before), at(after))
        assert sum(each.compactor.due.is_set() for each in roles) == expected


def at(revision: int) -> copy.Configuration:
    """Return an empty configuration at a revision."""
    return copy.Configuration(ids.Revision(revision), copy.empty().resources)
