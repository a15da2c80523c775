"""A soak: callers with concurrent faults, then a recovery without faults."""

from __future__ import annotations

import asyncio
import pathlib

import msgspec

from soak import (
    callers,
    crashingparts,
    deployment,
    directed,
    disturbances,
    falseloads,
    faults,
    flooding,
    kinds,
    leaving,
    limiting,
    overloading,
    pathcuts,
    pausing,
    resting,
    stopping,
    versions,
)
from tealcove import clock, tasks

MEMBERS = 3
SERVERS = 3
# Seconds after the last fault within which requests must be served again, and the
# period after that in which they are counted.
RECOVERY_SECONDS = 5.0
WATCHED_SECONDS = 2.0
MIN_SERVED_SHARE = 0.9

# What a deployment needs, before it is started, for a kind of soak.
PREPARATIONS = {
    kinds.Kind.VERSIONS: versions.mix,
    kinds.Kind.PARTS: crashingparts.make_crashing,
    kinds.Kind.FLOODS: flooding.make_competing,
    kinds.Kind.FALSE_LOADS: falseloads.make_slow,
    kinds.Kind.OVERLOADED: overloading.make_unequal,
    kinds.Kind.STOPS: stopping.make_slow,
}


class Verdict(msgspec.Struct, frozen=True):
    """The result of a soak."""

    seed: int
    faults: tuple[str, ...]
    requests: int
    served: int
    # Requests after the recovery: the served ones, and all.
    served_after: int
    sent_after: int
    # Requests of undisturbed instances that were checked for leaving servers.
    watched: int
    # Requests of undisturbed instances at servers that had named a limit.
    limited: int
    # Requests to instances that a server had told that it leaves.
    told: int
    # Rests that were checked.
    rests: int
    # Returns of the store from a copy, and requests that were checked for servers that
    # left before one.
    returns: int
    spanned: int
    # Requests of instances without a path to some servers that others reached.
    cut_off: int
    # Pauses of instances, in a soak of nothing else.
    pauses: int
    # Streams that callers took up.
    taken_up: versions.TakenUp
    # Requests with a part that crashes servers, and sound ones beside them.
    parts: crashingparts.Counts
    # Requests of a small account that were checked beside one that floods.
    competing: int
    # What callers and servers saw of servers that state their load falsely.
    false_loads: falseloads.Counts
    # What callers saw of overloaded instances.
    overloaded: directed.Counts
    broken: tuple[str, ...]


async def soak(
    folder: pathlib.Path,
    seed: int,
    seconds: float,
    members: int = MEMBERS,
    servers: int = SERVERS,
    kind: kinds.Kind = kinds.Kind.PLAIN,
) -> Verdict:
    """Run one soak; its logs are kept in the folder."""
    created = deployment.Deployment(folder, members, servers)
    if kind in PREPARATIONS:
        PREPARATIONS[kind](created)
    async with created as running:
        injector = faults.FaultInjector(running, seed, kind)
        if kind is kinds.Kind.PATHS:
            pathcuts.make_brittle(running)
        if kind in (kinds.Kind.PAUSES, kinds.Kind.FALSE_LOADS, kinds.Kind.OVERLOADED):
            await running.until_serving()
        calling = new_callers(running, injector.disturbances, seed, kind)
        task = asyncio.create_task(calling.run())
        replacing = asyncio.create_task(injector.crasher.run())
        await injector.run(seconds)
        without_faults_at = clock.now()
        for server in running.servers:
            server.faults.clear()
        if kind is kinds.Kind.STOPS:
            stopping.make_fast(running)
        await running.until_ready()
        await asyncio.sleep(RECOVERY_SECONDS)
        before = len(calling.results)
        await asyncio.sleep(WATCHED_SECONDS)
        after = calling.results[before:]
        calling.is_stopping = True
        await task
        await tasks.stop([replacing])
        parts = crashingparts.Counts()
        if kind is kinds.Kind.PARTS:
            parts = crashingparts.count(running, injector.disturbances, calling)
        broken = callers.find_violations(running, calling.all_results)
        broken.extend(crashingparts.violations(parts))
        watched, late = leaving.late_arrivals(running, injector, calling.results)
        broken.extend(late)
        limited, excessive = limiting.excessive_windows(
            running, injector, calling.results
        )
        broken.extend(excessive)
        told, late = leaving.late_after_told(running, injector, calling.results)
        broken.extend(late)
        spanned, late = leaving.used_after_leaving(running, injector, calling.results)
        broken.extend(late)
        rests, excessive = resting.excessive_rests(running, injector, calling.results)
        broken.extend(excessive)
        cut_off, unserved = 0, []
        if kind is kinds.Kind.PATHS:
            cut_off, unserved = pathcuts.unserved(
                running, injector.disturbances, calling.results
            )
        broken.extend(unserved)
        broken.extend(versions.lost_streams(injector.disturbances, calling.results))
        if kind is kinds.Kind.PAUSES:
            broken.extend(pausing.misjudgements(running))
            broken.extend(pausing.unserved(calling.results))
        competing, unserved = 0, []
        if kind is kinds.Kind.FLOODS:
            competing, unserved = flooding.unserved(running, injector, calling)
        broken.extend(unserved)
        false_loads = falseloads.Counts()
        if kind is kinds.Kind.FALSE_LOADS:
            false_loads = falseloads.count(
                running, injector.false_loads, calling.results
            )
            broken.extend(falseloads.violations(false_loads))
        overloaded = directed.Counts()
        if kind is kinds.Kind.OVERLOADED:
            overloaded = directed.count(
                injector.overloading, calling, without_faults_at
            )
            broken.extend(directed.violations(running, overloaded, calling.all_results))
        if kind is kinds.Kind.STOPS:
            broken.extend(stopping.lost(running, calling))
    served_after = sum(one.answer.status == 200 for one in after)
    if served_after < MIN_SERVED_SHARE * len(after) or not after:
        broken.append(f"{served_after} of {len(after)} served after the recovery")
    return Verdict(
        seed=seed,
        faults=tuple(injector.done),
        requests=len(calling.results),
        served=sum(one.answer.status == 200 for one in calling.results),
        served_after=served_after,
        sent_after=len(after),
        watched=watched,
        limited=limited,
        told=told,
        rests=rests,
        returns=len(injector.restoring.returns),
        spanned=spanned,
        cut_off=cut_off,
        pauses=injector.pausing.count,
        taken_up=versions.taken_up(injector.disturbances, calling.results),
        parts=parts,
        competing=competing,
        false_loads=false_loads,
        overloaded=overloaded,
        broken=tuple(broken),
    )


def new_callers(
    running: deployment.Deployment,
    log: disturbances.DisturbanceLog,
    seed: int,
    kind: kinds.Kind,
) -> callers.Callers:
    """Return the callers of a kind of soak."""
    found = {
        kinds.Kind.PARTS: crashingparts.PartCallers,
        kinds.Kind.FLOODS: flooding.FloodCallers,
        kinds.Kind.FALSE_LOADS: falseloads.LoadCallers,
        kinds.Kind.OVERLOADED: directed.DirectedCallers,
        kinds.Kind.STOPS: stopping.KeptCallers,
    }
    if kind in found:
        return found[kind](running, log, seed)
    if kind is kinds.Kind.VERSIONS:
        return callers.Callers(running, log, seed, callers.STREAM_PATHS)
    return callers.Callers(running, log, seed)
