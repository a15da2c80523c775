"""Instances of little capacity that are overloaded again and again."""

from __future__ import annotations

import asyncio
import contextlib
import enum
from collections.abc import AsyncIterator

import msgspec

from soak import burden, deployment, injector
from tealcove import clock, ids

# The first of the instances, as one part of so many, have little capacity.
WEAK_PART = 2
# Memory and descriptors of a weak machine: about twice what an instance uses that has
# little to do.
MEMORY_MB = 160.0
DESCRIPTORS = 150
STRONG = {"instance_load": {"enabled": True}}
WEAK = {
    **STRONG,
    "machine": {
        "cores": 0.5,
        "link_mbps": 50.0,
        "memory_mb": MEMORY_MB,
        "descriptors": DESCRIPTORS,
    },
}
# Part of the memory that an overloaded instance uses.
FULL_MEMORY = 1.05
# Duration of an overload beyond that of any fault, and mean seconds between the starts
# of two; they overlap.
MIN_SECONDS, MAX_SECONDS = 3.0, 5.0
MEAN_PAUSE_SECONDS = 1.5


class Resource(enum.Enum):
    """What an overloaded instance lacks."""

    LOOP = "event loop"
    MEMORY = "memory"
    DESCRIPTORS = "descriptors"


class Overload(msgspec.Struct, frozen=True):
    """The period in which an instance was overloaded."""

    member: str
    resource: Resource
    since: ids.Instant
    until: ids.Instant


def make_unequal(running: deployment.Deployment) -> None:
    """Declare machines of two kinds, in a deployment that isn't started."""
    for member in running.members:
        member.more_settings = STRONG
    for member in weak(running):
        member.more_settings = WEAK


def weak(running: deployment.Deployment) -> list[deployment.Member]:
    """Return the instances of little capacity."""
    # Not the first ones: the others know them as seeds.
    return running.members[-(len(running.members) // WEAK_PART) :]


class Overloader(injector.Injector):
    """Overloads one weak instance after the other; `periods` lists when."""

    def __init__(self, context: injector.Context) -> None:
        super().__init__(context)
        self.overloaded: set[str] = set()
        self.periods: list[Overload] = []

    @contextlib.asynccontextmanager
    async def overload(self) -> AsyncIterator[str]:
        """Overload a weak instance for some seconds."""
        resource = self.random.choice(list(Resource))
        seconds = self.random.uniform(MIN_SECONDS, MAX_SECONDS)
        free = [one for one in weak(self.running) if one.name not in self.overloaded]
        if not free:
            yield "nothing"
            return
        member = free[0]
        self.overloaded.add(member.name)
        since = clock.now()
        async with overloaded(member, resource):
            yield f"{member.name} without {resource.value}: {seconds:.1f} s more, after"
            await asyncio.sleep(seconds)
            until = clock.now()
        self.overloaded.discard(member.name)
        self.periods.append(Overload(member.name, resource, since, until))


@contextlib.asynccontextmanager
async def overloaded(
    member: deployment.Member, resource: Resource
) -> AsyncIterator[None]:
    """Let an instance lack something."""
    found = burden.Burden(
        blocks=resource is Resource.LOOP,
        memory=FULL_MEMORY if resource is Resource.MEMORY else 0.0,
        # Idle connections of callers would make room for others.
        files=DESCRIPTORS if resource is Resource.DESCRIPTORS else 0,
    )
    burden.write(member.path, found)
    try:
        yield
    finally:
        burden.write(member.path, burden.Burden())
