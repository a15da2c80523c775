"""Cuts single instances off from backend servers; their callers must be served."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Iterable, Sequence

import msgspec
from tests import cuts

from soak import callers, deployment, disturbances, injector, member
from tealcove import ids
from tealcove.standins import poolserver

# Seconds after a change of the paths, or of an instance, from which callers of all
# instances must be served.
SETTLE_SECONDS = 1.0
# Seconds by which a cut may be longer than other faults.
MAX_LONGER_SECONDS = 4.0
# Seconds after SETTLE_SECONDS for which the cut lasts that no other fault overlaps.
CALM_SECONDS = 1.5
SEED_BITS = 64
MIN_SERVED_SHARE = 0.95
ALLOWED_EXTRA = 3
# How many rejections in a second a server of this soak bears, and how often all servers
# together may fall over.
BRITTLE = 5
ALLOWED_FALLS = 2
PATHS = "paths"


class PathCutter(injector.Injector):
    """Cuts the ways of some instances, never of all."""

    def __init__(self, context: injector.Context) -> None:
        super().__init__(context)
        self.cut_off: set[str] = set()

    @contextlib.asynccontextmanager
    async def cut(self) -> AsyncIterator[str]:
        """Cut the ways of some instances to all servers, or to some."""
        # A source of its own: a cut that draws while others are under way would make
        # all later faults of the seed depend on timing.
        source = random.Random(self.random.getrandbits(SEED_BITS))
        longer = source.uniform(0.0, MAX_LONGER_SECONDS)
        free = [one for one in self.running.members if one.name not in self.cut_off]
        if len(free) < 2:
            yield "nothing"
            return
        chosen = source.sample(free, source.randrange(1, len(free)))
        addresses = list(self.running.addresses.values())
        if source.random() < 0.5:
            addresses = source.sample(
                addresses, source.randrange(1, len(addresses) + 1)
            )
        async with self.lost(chosen, new_cut(addresses, source)) as what:
            yield what
            await asyncio.sleep(longer)

    async def cut_calmly(self) -> str:
        """Cut some instances off from all servers, without another fault meanwhile."""
        source = random.Random(self.random.getrandbits(SEED_BITS))
        members = self.running.members
        chosen = source.sample(members, source.randrange(1, len(members)))
        found = new_cut(self.running.addresses.values(), source)
        async with self.lost(chosen, found) as what:
            await asyncio.sleep(SETTLE_SECONDS + CALM_SECONDS)
        return what

    @contextlib.asynccontextmanager
    async def lost(
        self, chosen: Sequence[deployment.Member], found: member.PathCut
    ) -> AsyncIterator[str]:
        """Keep a cut of some instances in force while the context is active."""
        names = {one.name for one in chosen}
        self.cut_off |= names
        with self.disturbances.disturbed(*map(path_of, names)):
            for one in chosen:
                member.write(one.path, found)
            named = ", ".join(sorted(names))
            servers = f"{len(found.ports)} servers"
            yield f"paths of {named} {found.how.value}, {found.open.value}, {servers}"
            for one in chosen:
                member.write(one.path, member.NO_CUT)
        self.cut_off -= names


def new_cut(addresses: Iterable[str], source: random.Random) -> member.PathCut:
    """Return a cut of the ways to some servers, of a kind that is drawn."""
    ports = tuple(int(address.rpartition(":")[2]) for address in addresses)
    how = source.choice(list(cuts.How))
    return member.PathCut(ports, how, source.choice(list(member.Open)))


def path_of(name: str) -> str:
    """Return the part that is disturbed when an instance's paths are cut."""
    return f"{PATHS} of {name}"


def make_brittle(running: deployment.Deployment) -> None:
    """Let all servers say that they are brittle, with room for their slots alone."""
    for server in running.servers:
        server.brittle = BRITTLE
        server.room = poolserver.SLOTS


class Served(msgspec.Struct):
    """Requests that had to be served, and how many of them were."""

    checked: int = 0
    served: int = 0


def unserved(
    running: deployment.Deployment,
    log: disturbances.DisturbanceLog,
    ended: list[callers.CallResult],
) -> tuple[int, list[str]]:
    """Return the number of checked requests, and the violations.

    Checked are requests at any instance, with a path or without one, while no path is
    being lost and no instance or its process is disturbed.
    """
    found = {True: Served(), False: Served()}
    for one in ended:
        if not is_calm(running, log, one):
            continue
        at = ids.Instant(one.sent_at)
        is_cut_off = not log.is_undisturbed_between(at, at, path_of(one.member))
        counts = found[is_cut_off]
        counts.checked += 1
        counts.served += one.answer.status == 200 and one.answer.is_complete
    broken = [
        f"{'cut-off' if is_cut_off else 'other'} instances served {counts.served} of "
        f"{counts.checked}"
        for is_cut_off, counts in found.items()
        if counts.served < MIN_SERVED_SHARE * counts.checked - ALLOWED_EXTRA
    ]
    falls = sum(server.falls for server in running.servers)
    if falls > ALLOWED_FALLS:
        broken.append(f"brittle servers fell over {falls} times")
    return found[True].checked, broken


def is_calm(
    running: deployment.Deployment,
    log: disturbances.DisturbanceLog,
    one: callers.CallResult,
) -> bool:
    """Tell whether nothing but paths that were lost before explains a failure."""
    since = ids.Instant(one.sent_at - SETTLE_SECONDS)
    names = [member.name for member in running.members]
    processes = [disturbances.process_of(name) for name in names]
    # A process has to import its modules before it can help, or be helped.
    started = ids.Instant(one.sent_at - disturbances.SETTLE_SECONDS)
    if not log.is_undisturbed_between(started, one.ended_at, *names, *processes):
        return False
    paths = [path_of(name) for name in names]
    return not log.changes_between(since, one.ended_at, *paths)
