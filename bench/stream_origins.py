"""`python -m bench.stream_origins`: compares ways of knowing where streams began.

Callers send streams to instances beside servers of two software versions. Some streams
break, instances end, and callers take their streams up at any instance and check them
over all tries. A second table tells how many streams would leave a version that is
computed from their ids, since none of its slots is free.
"""

from __future__ import annotations

import argparse
import asyncio
import enum
import heapq
import random
import sys
import time

import msgspec
from tests import platform_site, streams

from tealcove import ids
from tealcove.origins import keeping, messages
from tealcove.standins import poolserver

INSTANCES = 4
SERVERS = {"v1": 3, "v2": 3}
# Streams a second, the seconds for which they begin, and the share of those that are
# cut at a server; a stream takes as long as its events.
RATE = 40.0
SECONDS = 6.0
CUT_SHARE = 0.3
EVENT_SECONDS = 0.05
# Tries of a caller, and the pause before each further one in seconds.
TRIES = 4
PAUSE_SECONDS = 0.1
# When instances end, in seconds.
END_AT = 3.0
# For the computed version: slots of the versions, loads, and streams simulated.
SLOTS = ((10, 10), (10, 30), (5, 25))
LOADS = (0.5, 0.7, 0.85, 0.95)
SIMULATED = 100_000


class Way(enum.Enum):
    """How instances know at which version a stream began."""

    MEMORY = "memory of the instance where it began"
    HOMES = "memory, and two homes"
    STORE = "memory, and the store"
    ALL = "memory, two homes and the store"


class Ending(enum.Enum):
    """Which instances end midway."""

    NONE = "none"
    ONE = "one"
    ALL = "all"


class Result(msgspec.Struct):
    """Counts of streams, messages between instances and calls to the store."""

    begun: int = 0
    taken_up: int = 0
    went_on: int = 0
    refused: int = 0
    mixed: int = 0
    sent: int = 0
    calls: int = 0


class UnusedKeeper(keeping.Keeper):
    """Keeps nothing in the store."""

    def add(self, service: object, origins: object, now: object) -> None:
        """Keep nothing."""

    def note_versions(self, service: object, versions: object) -> None:
        """Keep nothing."""

    async def read(self, service: ids.PoolId) -> keeping.Kept:
        """Return nothing; the versions that serve are in the list."""
        return keeping.Kept((), {})


class Load:
    """One run: callers, broken streams and instances that end."""

    def __init__(
        self, running: platform_site.Site, way: Way, ending: Ending, seed: int
    ) -> None:
        self.running = running
        self.way = way
        self.ending = ending
        self.random = random.Random(seed)
        self.result = Result()

    async def run(self) -> Result:
        """Run the load to its end."""
        for version, count in SERVERS.items():
            for number in range(count):
                server = await self.running.add_server(f"{version}-{number}", version)
                server.event_interval = EVENT_SECONDS
        await self.add_instances()
        ending = asyncio.create_task(self.end_instances())
        callers = []
        for number in range(int(RATE * SECONDS)):
            callers.append(asyncio.create_task(self.call(number)))
            await asyncio.sleep(1.0 / RATE)
        await asyncio.gather(ending, *callers)
        return self.result

    async def add_instances(self) -> None:
        """Start instances that know in the given way, and wait for the servers."""
        for _ in range(INSTANCES):
            self.limit(await self.running.add_instance())
        listed = len(self.running.servers)
        await platform_site.until(
            lambda: all(len(one.servers.known) == listed for one in self.instances)
        )

    @property
    def instances(self) -> list:
        """The instances that run."""
        return self.running.instances

    def limit(self, one: object) -> None:
        """Let an instance know in the given way only, and count what that costs."""
        origins = one.origins
        if self.way in (Way.MEMORY, Way.HOMES):
            origins.keeper.__class__ = UnusedKeeper
        if self.way is Way.MEMORY:
            origins.homes = lambda service, now: []
        if self.way is Way.STORE:
            # Each instance keeps its own.
            name = one.members.own.instance
            origins.homes = lambda service, now: [name]
        send = one.mesh.send
        kinds = (messages.OriginReport, messages.OriginQuestion, messages.OriginAnswer)

        def counted(peer: object, sent: object) -> bool:
            self.result.sent += isinstance(sent, kinds)
            return send(peer, sent)

        one.mesh.send = counted

    async def end_instances(self) -> None:
        """End one instance or all of them, and start as many."""
        await asyncio.sleep(END_AT)
        if self.ending is Ending.NONE:
            return
        count = 1 if self.ending is Ending.ONE else INSTANCES
        for one in list(self.instances)[:count]:
            await self.running.end(one)
        if self.ending is Ending.ALL:
            await self.add_instances()

    async def call(self, number: int) -> None:
        """Send a stream, and take it up while it breaks."""
        stream = streams.Stream(self.running, number)
        if self.random.random() < CUT_SHARE:
            for server in self.running.servers:
                if not server.faults:
                    server.faults.append(poolserver.Fault.CUT)
        for _ in range(TRIES):
            if not self.instances:
                await asyncio.sleep(PAUSE_SECONDS)
                continue
            has_begun = bool(stream.last_event)
            await stream.send(self.random.choice(self.instances))
            self.result.taken_up += has_begun
            if has_begun and stream.was_refused:
                self.result.refused += 1
            elif has_begun and stream.answers[-1].status == streams.SUCCESS:
                self.result.went_on += 1
            if stream.is_whole:
                break
            await asyncio.sleep(PAUSE_SECONDS)
        self.result.begun += bool(stream.last_event)
        self.result.mixed += len(stream.versions) > 1


async def play(way: Way, ending: Ending, seed: int) -> Result:
    """Run one load on a deployment of its own."""
    async with platform_site.site(0, 0) as running:
        load = Load(running, way, ending, seed)
        result = await load.run()
        arrived = running.store.memory.table.arrived
        result.calls = arrived[keeping.TABLE]
        return result


def deviating(slots: tuple[int, ...], load: float, seed: int) -> float:
    """Return the share of streams whose computed version has no free slot.

    Streams arrive at random and draw a version by its slots; they last exponentially
    long. One that finds its version full takes a slot of another one.
    """
    source = random.Random(seed)
    busy = [0] * len(slots)
    ends: list[tuple[float, int]] = []
    now, left = 0.0, 0
    for _ in range(SIMULATED):
        now += source.expovariate(load * sum(slots))
        while ends and ends[0][0] <= now:
            busy[heapq.heappop(ends)[1]] -= 1
        drawn = source.choices(range(len(slots)), slots)[0]
        free = [one for one in range(len(slots)) if busy[one] < slots[one]]
        if drawn not in free:
            left += 1
            if not free:
                continue
            drawn = free[0]
        busy[drawn] += 1
        heapq.heappush(ends, (now + source.expovariate(1.0), drawn))
    return left / SIMULATED


def main() -> int:
    """Print both tables; return 1 if a stream had events of two versions."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    mixed = 0
    for ending in Ending:
        for way in Way:
            began = time.process_time()
            found = asyncio.run(play(way, ending, seed))
            mixed += found.mixed
            seconds = time.process_time() - began
            print(
                f"{ending.value} | {way.value} | {found} | {seconds:.1f} s", flush=True
            )
    for slots in SLOTS:
        shares = [f"{load}: {deviating(slots, load, seed):.3f}" for load in LOADS]
        print(f"slots {slots}, streams that deviate by load: {', '.join(shares)}")
    return 1 if mixed else 0


if __name__ == "__main__":
    sys.exit(main())
