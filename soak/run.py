"""A soak: callers with concurrent faults, then a recovery without faults."""

from __future__ import annotations

import asyncio
import pathlib

import msgspec

from soak import (
    callers,
    crashingparts,
    deployment,
    faults,
    leaving,
    limiting,
    pathcuts,
    pausing,
    resting,
    versions,
)
from tealcove import tasks

MEMBERS = 3
SERVERS = 3
# Seconds after the last fault within which requests must be served again, and the
# period after that in which they are counted.
RECOVERY_SECONDS = 5.0
WATCHED_SECONDS = 2.0
MIN_SERVED_SHARE = 0.9


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
    broken: tuple[str, ...]


async def soak(
    folder: pathlib.Path,
    seed: int,
    seconds: float,
    members: int = MEMBERS,
    servers: int = SERVERS,
    restores_store: bool = False,
    cuts_paths: bool = False,
    pauses_only: bool = False,
    mixes_versions: bool = False,
    crashes_parts: bool = False,
) -> Verdict:
    """Run one soak; its logs are kept in the folder.

    A store that is restored again and again is disturbed for most of the time, so that
    fewer requests show how instances act on what is written. With `cuts_paths`, most
    faults are lost paths, and the servers are brittle and state nothing else. With
    `pauses_only`, the only faults are short pauses of the instances' processes. With
    `mixes_versions`, the servers have several software versions, and streams break.
    With `crashes_parts`, they crash on one part of prompts, and for other reasons.
    """
    created = deployment.Deployment(folder, members, servers)
    if mixes_versions:
        versions.mix(created)
    if crashes_parts:
        crashingparts.make_crashing(created)
    async with created as running:
        injector = faults.FaultInjector(
            running,
            seed,
            restores_store,
            cuts_paths,
            pauses_only,
            mixes_versions,
            crashes_parts,
        )
        if cuts_paths:
            pathcuts.make_brittle(running)
        if pauses_only:
            await running.until_serving()
        paths = callers.STREAM_PATHS if mixes_versions else callers.PATHS
        calling = callers.Callers(running, injector.disturbances, seed, paths)
        if crashes_parts:
            calling = crashingparts.PartCallers(running, injector.disturbances, seed)
        task = asyncio.create_task(calling.run())
        replacing = asyncio.create_task(injector.crasher.run())
        await injector.run(seconds)
        for server in running.servers:
            server.faults.clear()
        await running.until_ready()
        await asyncio.sleep(RECOVERY_SECONDS)
        before = len(calling.results)
        await asyncio.sleep(WATCHED_SECONDS)
        after = calling.results[before:]
        calling.is_stopping = True
        await task
        await tasks.stop([replacing])
        parts, bad = crashingparts.Counts(), []
        if crashes_parts:
            parts = crashingparts.count(running, injector.disturbances, calling)
            bad = calling.bad.results
        broken = callers.find_violations(running, [*calling.results, *bad])
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
        if cuts_paths:
            cut_off, unserved = pathcuts.unserved(
                running, injector.disturbances, calling.results
            )
        broken.extend(unserved)
        broken.extend(versions.lost_streams(injector.disturbances, calling.results))
        if pauses_only:
            broken.extend(pausing.misjudgements(running))
            broken.extend(pausing.unserved(calling.results))
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
        broken=tuple(broken),
    )
