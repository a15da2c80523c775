"""What a pool's engines hold, and how far the pool is from what is desired."""

from __future__ import annotations

import asyncio

import logbook
import msgspec

from tealcove import errors, ids
from tealcove.backends import engine
from tealcove.orders import desired, plan

log = logbook.Logger("orders")

SERVING = "serving"
# Engines that are read at the same time.
READS_AT_ONCE = 32

Holdings = dict[ids.BackendServerId, engine.Holding]


async def read(engines: engine.EngineClient, target: desired.DesiredState) -> Holdings:
    """Return what each engine holds that can be reached and doesn't leave."""
    limit = asyncio.Semaphore(READS_AT_ONCE)

    async def read_one(server: engine.Server) -> engine.Holding | None:
        async with limit:
            return await read_server(engines, server)

    servers = [one.server for one in target.servers.values()]
    found = await asyncio.gather(*(read_one(server) for server in servers))
    return {
        server.name: holding
        for server, holding in zip(servers, found, strict=True)
        if holding is not None
    }


async def read_server(
    engines: engine.EngineClient, server: engine.Server
) -> engine.Holding | None:
    """Return what one engine holds; None: it can't be reached, or it leaves."""
    try:
        if await engines.state(server) != SERVING:
            return None
        return await engines.holding(server)
    except errors.BackendError as error:
        log.debug("{}", error)
        return None


class Rollout(msgspec.Struct, frozen=True):
    """How many of a pool's engines have the declared version of something."""

    kind: str
    name: str
    version: str
    servers: int
    of: int


class Progress:
    """Tells operators how far a pool is; empty where another is its steward."""

    def __init__(self, pool: ids.PoolId) -> None:
        self.pool = pool
        self.rollouts: tuple[Rollout, ...] = ()
        self.blocked: tuple[plan.Task, ...] = ()

    def clear(self) -> None:
        """Know nothing any more."""
        self.rollouts = ()
        self.blocked = ()

    def update(
        self, target: desired.DesiredState, holdings: Holdings, found: plan.Plan
    ) -> None:
        """Log what has changed since the last look."""
        rollouts = tuple(rollouts_of(target, holdings))
        for rollout in rollouts:
            if rollout not in self.rollouts:
                log.info(
                    "pool {}: {} {} {} on {} of {} servers",
                    self.pool,
                    rollout.kind,
                    rollout.name,
                    rollout.version,
                    rollout.servers,
                    rollout.of,
                )
        for task in found.blocked:
            if task not in self.blocked:
                log.warning(
                    "pool {}: {} isn't given to {}, the last server of what it "
                    "serves. Add a server to the pool.",
                    self.pool,
                    task.order.order.value,
                    task.server,
                )
        self.rollouts = rollouts
        self.blocked = found.blocked


def rollouts_of(target: desired.DesiredState, holdings: Holdings) -> list[Rollout]:
    """Return the rollout of each model and adapter that is desired."""
    models = [holding.models for holding in holdings.values()]
    adapters = [holding.adapters for holding in holdings.values()]
    total = len(target.servers)
    found = []
    for kind, versions, held in (
        ("model", target.models, models),
        ("adapter", target.adapters, adapters),
    ):
        counts = plan.count(versions, held)
        found.extend(
            Rollout(kind, name, versions[name], count, total)
            for name, count in sorted(counts.items())
        )
    return found
