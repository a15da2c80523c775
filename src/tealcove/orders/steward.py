"""Steward of one pool: the controller that brings engines to the declared state."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

import logbook

from tealcove import clock, errors, ids, tasks
from tealcove.backends import engine
from tealcove.membership import members, messages
from tealcove.orders import desired, drains, intents, lease, observing, plan, sender
from tealcove.resources import copy, kinds
from tealcove.storage import table, weights

log = logbook.Logger("orders")

# Seconds between two reconciliations, and between two repeats of the holds.
RECONCILE_INTERVAL = 0.5
# Seconds between two checks whether an engine has become empty.
DRAIN_INTERVAL = 0.1
# Lease durations between two checks of the lease by the second in rank.
STANDBY_DURATIONS = 2


class Steward:
    """One instance's side of the stewardship of a pool.

    Separate tasks keep the lease, repeat the holds, and plan; each engine's order runs
    in a task of its own. So the lease is renewed during a long order.
    """

    def __init__(
        self,
        pool: ids.PoolId,
        own: copy.ConfigurationCopy,
        known: members.Members,
        engines: engine.EngineClient,
        rows: table.TableService,
        store: weights.WeightStore,
        held: drains.Drains,
        lease_seconds: float,
        longest_order: float,
    ) -> None:
        self.pool = pool
        self.copy = own
        self.members = known
        self.engines = engines
        self.weights = store
        self.drains = held
        holder = lease.holder_name(known.own.instance, known.own.incarnation)
        self.lease = lease.Lease(rows, pool, holder, lease_seconds)
        self.intents = intents.Intents(rows, pool)
        self.order_sender = sender.OrderSender(
            engines, self.intents, self.lease, longest_order
        )
        self.longest_order = longest_order
        self.standby_at = ids.Instant(clock.now() + STANDBY_DURATIONS * lease_seconds)
        self.progress = observing.Progress(pool)
        self.observed = plan.ObservedState({})
        # Serialises the steps and the release of the lease.
        self.lease_lock = asyncio.Lock()
        self.changes: dict[ids.BackendServerId, asyncio.Task[None]] = {}
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the tasks; they act only while this instance is chosen."""
        self.tasks = [
            tasks.start_loop(self.keep_lease, f"lease of {self.pool}"),
            tasks.start_loop(self.keep_holds, f"holds of {self.pool}"),
            tasks.start_loop(self.run, f"orders to {self.pool}"),
        ]

    async def stop(self) -> None:
        """Stop all tasks; release the lease if no order is in flight."""
        was_idle = not self.changes
        await tasks.stop([*self.tasks, *self.changes.values()])
        self.drains.release_all(clock.now())
        if was_idle:
            await self.release()

    async def keep_lease(self) -> None:
        """Acquire and renew the lease periodically when `may_step` allows it."""
        while True:
            now = clock.now()
            if self.may_step(now):
                await self.step()
            await asyncio.sleep(self.lease.interval)

    async def step(self) -> None:
        """Run one step of the lease."""
        async with self.lease_lock:
            try:
                await self.lease.step(clock.now())
            except errors.PlatformError as error:
                log.error("lease of {}: {}", self.pool, error)

    async def release(self) -> None:
        """Release the lease if it's held here."""
        async with self.lease_lock:
            await self.lease.release(clock.now())

    async def keep_holds(self) -> None:
        """Repeat the holds periodically, however long a reconciliation takes."""
        while True:
            self.drains.send_all(clock.now())
            await asyncio.sleep(RECONCILE_INTERVAL)

    def may_step(self, now: ids.Instant) -> bool:
        """Tell whether to renew the lease or to check whether it's free.

        The first in rank checks at every interval, the second one seldom: it acquires
        an expired lease if the first one doesn't, which may be cut off from the
        platform. No other instance checks, so that reads don't grow with the number
        of instances.
        """
        if not self.is_active():
            return False
        ranked = self.members.rank(f"steward/{self.pool}", now)
        own = self.members.own.instance
        if self.lease.state is lease.LeaseState.HELD or ranked[0] == own:
            return True
        if own not in ranked[:2] or now < self.standby_at:
            return False
        period = STANDBY_DURATIONS * self.lease.duration
        self.standby_at = ids.Instant(now + period)
        return True

    def is_active(self) -> bool:
        """Tell whether the pool needs a steward and this instance is serving."""
        found = self.copy.current.get(kinds.Kind.ENGINE_POOL, self.pool)
        if found is None or not found.spec.models:
            return False
        return self.members.own.lifecycle is messages.Lifecycle.SERVING

    async def run(self) -> None:
        """Reconcile the pool periodically."""
        while True:
            try:
                await self.reconcile()
            except errors.TealcoveError as error:
                log.warning("pool {}: {}", self.pool, error)
            await asyncio.sleep(RECONCILE_INTERVAL)

    async def reconcile(self) -> None:
        """Observe the pool and start the changes that are needed."""
        now = clock.now()
        if not self.lease.held(now) or not self.is_active():
            await self.retire(now)
            return
        if self.intents.number != self.lease.number:
            await self.take_over(now)
        await self.intents.settle(clock.now())
        target = desired.of_pool(self.copy.current, self.pool)
        if target is None:
            return
        before = frozenset(self.changes)
        holdings = await observing.read(self.engines, target)
        self.plan_changes(target, holdings, before)

    async def take_over(self, now: ids.Instant) -> None:
        """Take over the pool's orders under the lease's number.

        Raises PlatformError; the next reconciliation retries.
        """
        number = self.lease.number
        self.drains.number = number
        await self.intents.take_over(number, now, self.longest_order)
        log.info("steward of {}, number {}", self.pool, number)
        for server in self.intents.unsettled:
            log.warning(
                "{}: an earlier steward's order may still be carried out", server
            )

    async def retire(self, now: ids.Instant) -> None:
        """Stop sending orders; an inactive holder releases the lease once it's idle."""
        self.progress.clear()
        self.drains.release_all(now)
        if not self.is_active() and not self.changes:
            await self.release()

    def plan_changes(
        self,
        target: desired.DesiredState,
        holdings: observing.Holdings,
        before: frozenset[ids.BackendServerId],
    ) -> None:
        """Start the next changes and release the engines that are done.

        `before` are the engines that were changing when the holdings were read.
        """
        self.observed = plan.ObservedState(
            holdings,
            before | self.changes.keys(),
            self.drains.held,
            frozenset(self.intents.unsettled),
        )
        if target.checks_fencing:
            self.raise_numbers(target)
        found = plan.make(target, self.observed)
        self.progress.update(target, holdings, found)
        self.apply_plan(target, found, clock.now())

    def apply_plan(
        self, target: desired.DesiredState, found: plan.Plan, now: ids.Instant
    ) -> None:
        """Release idle engines for work, and start the planned changes."""
        for server in found.idle | self.unreachable():
            self.drains.release(server, now)
        for task in found.tasks:
            one = target.servers[task.server]
            if task.drains:
                self.drains.begin(one, now)
            self.start_change(task.server, self.change(task, one))

    def unreachable(self) -> frozenset[ids.BackendServerId]:
        """Return held engines that are unreachable or no longer in the pool.

        If they stayed held, no other engine could be changed.
        """
        return self.drains.held - self.observed.holdings.keys() - self.observed.busy

    def raise_numbers(self, target: desired.DesiredState) -> None:
        """Settle a predecessor's open orders on engines that check fencing numbers."""
        for server in self.intents.inherited() & self.observed.holdings.keys():
            if server not in self.changes:
                address = target.servers[server].server
                holding = self.observed.holdings[server]
                self.start_change(
                    server, self.order_sender.raise_number(address, holding)
                )

    def start_change(
        self, server: ids.BackendServerId, work: Coroutine[object, object, None]
    ) -> None:
        """Start one change of an engine in the background."""
        change = tasks.start(self.run_change(server, work), f"change of {server}")
        self.changes[server] = change

    async def run_change(
        self, server: ids.BackendServerId, work: Coroutine[object, object, None]
    ) -> None:
        """Run a change; log its error, if any."""
        try:
            await work
        except errors.TealcoveError as error:
            log.warning("{}: {}", server, error)
        finally:
            self.changes.pop(server, None)

    async def change(self, task: plan.Task, one: desired.DesiredServer) -> None:
        """Drain an engine if needed, wait for the weight store, and send the order."""
        if task.drains and not await self.wait_until_empty(task):
            return
        if task.loads:
            target = desired.of_pool(self.copy.current, self.pool)
            size = 0 if target is None else target.sizes.get(task.order.name, 0)
            await asyncio.sleep(await self.weights.reserve(size))
        # Waiting may have taken long, and the plan may be out of date.
        if self.is_current(task, clock.now()):
            await self.order_sender.send(one.server, task.order)
            return
        description = sender.describe(task.order)
        log.info(
            "{}: {} will be planned again: the plan was out of date",
            task.server,
            description,
        )

    async def wait_until_empty(self, task: plan.Task) -> bool:
        """Wait until nothing runs on an engine; False if the task is out of date."""
        while self.is_current(task, clock.now(), is_empty=False):
            if self.drains.is_granted_nothing(task.server, clock.now()):
                found = self.drains.by_server[task.server].target.server
                load = await self.engines.load(found)
                if load.running + load.waiting == 0:
                    return True
            await asyncio.sleep(DRAIN_INTERVAL)
        return False

    def is_current(
        self, task: plan.Task, now: ids.Instant, is_empty: bool = True
    ) -> bool:
        """Tell whether a task may still be carried out as planned."""
        target = desired.of_pool(self.copy.current, self.pool)
        if target is None or not self.order_sender.may_send() or not self.is_active():
            return False
        one = target.servers.get(task.server)
        if one is None or not target.fulfils(task.order):
            return False
        is_role = task.order.order is engine.OrderKind.SET_ROLE
        if is_role and task.order.role != one.role:
            return False
        if not task.drains:
            return True
        if is_empty and not self.drains.is_granted_nothing(task.server, now):
            return False
        return plan.may_leave(task.server, target, self.observed)
