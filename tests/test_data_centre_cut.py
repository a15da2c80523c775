"""A data centre that is partitioned from the network and rejoins."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Iterator

import aiohttp
import syrupy

from tealcove import daemon, settings
from tealcove.resources import copy, decision, edits, kinds
from tests import callers, deployment, embedded, partitions

LENGTH = 4
# Nothing listens on this address.
UNREACHABLE_URL = "http://127.0.0.1:1"
# A short `forget_after`, since the test waits until peers are forgotten.
HEARTBEAT = settings.Heartbeat(interval=0.1, suspect_after=1.0, forget_after=2.0)


class Cut:
    """A partition of two groups that also cuts one of them off the platform."""

    def __init__(self, near: list[daemon.Instance], far: list[daemon.Instance]) -> None:
        self.partition = partitions.Partition(
            (one.mesh for one in near), (one.mesh for one in far)
        )
        self.far = far
        self.platform_url = far[0].platform.url

    @contextlib.contextmanager
    def active(self) -> Iterator[None]:
        """Partition the groups while the context is active."""
        self.set_cut(True, UNREACHABLE_URL)
        try:
            yield
        finally:
            self.set_cut(False, self.platform_url)

    def set_cut(self, is_cut: bool, url: str) -> None:
        """Start or end the cut."""
        self.partition.is_active = is_cut
        for instance in self.far:
            instance.platform.url = url


class Revisions:
    """Records every revision that comes into force on an instance."""

    def __init__(self, instances: list[daemon.Instance]) -> None:
        self.found: dict[str, list[int]] = {}
        for instance in instances:
            seen = self.found.setdefault(instance.settings.instance, [])
            instance.configuration.copy.subscribe(recorder(seen))

    def are_increasing(self) -> bool:
        """Tell whether no instance ever went back to an older revision."""
        return all(sorted(set(seen)) == seen for seen in self.found.values())


def recorder(seen: list[int]) -> object:
    """Return a subscriber that records revisions."""

    def record(previous: copy.Configuration, current: copy.Configuration) -> None:
        seen.append(current.revision)

    return record


async def until_members(instances: list[daemon.Instance], count: int) -> None:
    """Wait until each instance knows `count` instances, itself included."""

    async def all_know() -> bool:
        return all(len(i.members.peers) + 1 == count for i in instances)

    await deployment.until(all_know)


async def until_same_revision(instances: list[daemon.Instance]) -> None:
    """Wait until all instances have the same revision."""

    async def is_same() -> bool:
        return len({i.configuration.copy.revision for i in instances}) == 1

    await deployment.until(is_same)


async def until_deadline(instances: list[daemon.Instance], deadline: float) -> None:
    """Wait until a tier's default deadline is in force on all `instances`."""

    async def is_in_force() -> bool:
        found = [deadline_at(instance) for instance in instances]
        return set(found) == {deadline}

    await deployment.until(is_in_force)


def deadline_at(instance: daemon.Instance) -> float:
    """Return the tier's default deadline in force on an instance."""
    return instance.configuration.copy.current.tiers["high"].spec.default_deadline


async def test_a_data_centre_is_cut_off_and_joins_again(
    snapshot: syrupy.SnapshotAssertion,
) -> None:
    """Guards against a lasting partition, and a return to an older configuration.

    Two instances of a data centre lose the platform and the two instances of the
    other one for longer than peers are remembered; a change is made; the cut ends.
    Afterwards some instances could use an older configuration if a copy went back,
    or not know the other data centre if nobody contacted forgotten peers again.
    """
    session = []
    async with embedded.pair(heartbeat=HEARTBEAT) as pair, started_far(pair) as far:
        near = [i for i in pair.instances.values() if i not in far]
        everyone = near + far
        await until_members(everyone, 4)
        await until_same_revision(everyone)
        revisions = Revisions(everyone)
        cut = Cut(near, far)
        with cut.active():
            await until_members(everyone, 2)
            session.append("cut: each side knows two instances")
            await change_tier(near[0], 33.0)
            await until_deadline(near, 33.0)
            session.append("cut: the change is in force on the platform's side")
            session.append(f"cut: the far side has {deadline_at(far[0])}")
            for instance in (near[0], far[0]):
                session.append(f"cut: {await ask(pair, instance)}")
        await until_members(everyone, 4)
        await until_deadline(everyone, 33.0)
        session.append("joined: four instances, the change in force on all")
        session.append(f"revisions only rise: {revisions.are_increasing()}")
        session.append(f"joined: {await ask(pair, far[0])}")
    assert session == snapshot


@contextlib.asynccontextmanager
async def started_far(pair: embedded.Pair) -> AsyncIterator[list[daemon.Instance]]:
    """Run two instances of another data centre."""
    found = []
    try:
        for name in ("far-1", "far-2"):
            far = await pair.add_instance(name, data_centre="far", heartbeat=HEARTBEAT)
            found.append(far)
        yield found
    finally:
        for instance in found:
            await instance.stop()


async def change_tier(instance: daemon.Instance, deadline: float) -> None:
    """Change a tier's default deadline through an instance."""
    current = instance.configuration.copy.current.tiers["high"]
    change = decision.ChangeRequest(
        operator="ops",
        kind=kinds.Kind.SERVICE_TIER,
        name="high",
        edit=edits.Put(kinds.ServiceTierSpec(rank=0, default_deadline=deadline)),
        if_match=current.metadata.revision,
    )
    await instance.configuration.api.store.change(change)


async def ask(pair: embedded.Pair, instance: daemon.Instance) -> str:
    """Send a request through an instance and describe the reply."""
    prompt = f"through {instance.settings.data_centre}"
    async with aiohttp.ClientSession() as session:
        reply = await callers.complete(session, pair.url(instance), prompt, LENGTH)
    return callers.describe(reply, prompt, LENGTH)
