"""Observed state of a pool's engines, and progress towards the desired state."""

from __future__ import annotations

import asyncio

import logbook
import msgspec

from tealcove import errors, ids
from tealcove.backends import engine
from tealcove.orders import desired, plan

log = logbook.Logger("orders")

SERVING = "serving"
# Maximum number of concurrent reads of engines.
READS_AT_ONCE = 32

Holdings = dict[ids.BackendServerId, engine.Holding]


async def read(engines: engine.EngineClient, target: desired.DesiredState) -> Holdings:
    """Return the holdings of all engines that are reachable and serving."""
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
    """Return an engine's holdings, or None if it's unreachable or not serving."""
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
    """Progress of a pool for operators; empty unless this instance is its steward."""

    def __init__(self, pool: ids.PoolId) -> None:
        self.pool = pool
        self.rollouts: tuple[Rollout, ...] = ()
        self.blocked: tuple[plan.Task, ...] = ()

    def clear(self) -> None:
        """Discard the progress."""
        self.rollouts = ()
        self.blocked = ()

    def update(
        self, target: desired.DesiredState, holdings: Holdings, found: plan.Plan
    ) -> None:
        """Log and store what has changed since the last update."""
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
                    "pool {}: {} not sent to {}, the last server of what it "
                    "serves; add a server to the pool",
                    self.pool,
                    task.order.order.value,
                    task.server,
                )
        self.rollouts = rollouts
        self.blocked = found.blocked


def rollouts_of(target: desired.DesiredState, holdings: Holdings) -> list[Rollout]:
    """Return the rollout of each desired model and adapter."""
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
