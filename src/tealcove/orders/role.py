"""The stewards of an instance, one controller for each engine pool."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from opentelemetry import metrics

from tealcove import clock, ids
from tealcove.dispatch import holds
from tealcove.membership import members
from tealcove.orders import drains, steward
from tealcove.peers import mesh
from tealcove.resources import copy, kinds

NewSteward = Callable[[ids.PoolId, drains.Drains], steward.Steward]


class Stewards:
    """Run a steward for each engine pool of the configuration in force."""

    def __init__(
        self,
        transport: mesh.Mesh,
        known: members.Members,
        own: copy.ConfigurationCopy,
        new_steward: NewSteward,
        meter: metrics.Meter,
    ) -> None:
        self.transport = transport
        self.members = known
        self.copy = own
        self.new_steward = new_steward
        self.by_pool: dict[ids.PoolId, steward.Steward] = {}
        meter.create_observable_gauge(
            "tealcove.orders.servers",
            [self.observe],
            description="Engines that have the declared version, at the steward",
        )
        meter.create_observable_gauge(
            "tealcove.orders.blocked",
            [self.observe_blocked],
            description="Orders that would take the last server of a model away",
        )

    def start(self) -> None:
        """Subscribe to reports and configurations, and start the stewards."""
        self.transport.handle(holds.HoldReport, self.handle_report)
        self.copy.subscribe(self.handle_configuration)
        self.handle_configuration(self.copy.current, self.copy.current)

    async def stop(self) -> None:
        """End all tasks."""
        for one in self.by_pool.values():
            await one.stop()

    def handle_configuration(
        self, previous: copy.Configuration, current: copy.Configuration
    ) -> None:
        """Start stewards for new pools; that of a deleted pool does nothing."""
        pools = {ids.PoolId(name) for name in current.names(kinds.Kind.ENGINE_POOL)}
        for pool in pools - self.by_pool.keys():
            held = drains.Drains(self.transport, self.members)
            self.by_pool[pool] = self.new_steward(pool, held)
            self.by_pool[pool].start()

    def handle_report(self, sender: ids.InstanceId, report: holds.HoldReport) -> None:
        """Pass a dispatcher's report to the steward of the cell's pool."""
        pool = ids.PoolId(report.cell.rpartition("/")[0])
        steward_of_pool = self.by_pool.get(pool)
        if steward_of_pool is not None:
            steward_of_pool.drains.record_report(sender, report, clock.now())

    def observe(
        self, options: metrics.CallbackOptions
    ) -> Iterable[metrics.Observation]:
        """Yield the number of engines that have each declared version."""
        for pool, one in list(self.by_pool.items()):
            for rollout in one.progress.rollouts:
                labels = {
                    "pool": pool,
                    "kind": rollout.kind,
                    "name": rollout.name,
                    "version": rollout.version,
                }
                yield metrics.Observation(rollout.servers, labels)

    def observe_blocked(
        self, options: metrics.CallbackOptions
    ) -> Iterable[metrics.Observation]:
        """Yield the number of blocked orders of each pool."""
        for pool, one in list(self.by_pool.items()):
            yield metrics.Observation(len(one.progress.blocked), {"pool": pool})
