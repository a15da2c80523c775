"""Carries out the roll-outs of the services for which this instance decides."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping

import logbook
import msgspec

from tealcove import clock, errors, ids, tasks
from tealcove.dispatch import backendview, exposure, messages
from tealcove.resources import kinds
from tealcove.rollout import evidence, order, progress
from tealcove.storage import table

log = logbook.Logger("rollout")

# Seconds between two looks at what has come of a roll-out.
REVIEW_INTERVAL = 0.25
# Seconds between two readings of the orders: with nothing under way, where each is paid
# for, and while a roll-out runs, which may be replaced or withdrawn.
IDLE_READ_INTERVAL = 5.0
ACTIVE_READ_INTERVAL = 1.0

# The servers of each service for which this instance decides.
DispatchedServers = Callable[[], Mapping[ids.PoolId, Iterable[backendview.BackendView]]]


class ServiceState(msgspec.Struct):
    """What is known of one service."""

    read_at: ids.Instant = ids.Instant(float("-inf"))
    versions: frozenset[str] = frozenset()
    snapshot: order.Snapshot | None = None
    rollout: progress.Rollout | None = None
    # What is known of the service's answers, also while no roll-out runs.
    evidence: evidence.Evidence = msgspec.field(default_factory=evidence.Evidence)
    # The state that the store has been told.
    stored_state: order.State | None = None
    # When the store may be told again after it couldn't be.
    next_write: ids.Instant = ids.Instant(float("-inf"))
    # The order that was refused, and said so.
    rejected_revision: ids.Revision | None = None


class Controller(exposure.Exposures):
    """Reads orders, goes on with roll-outs, and tells what has come of them.

    What a roll-out has come to stands in the store before anybody acts on its end, and
    is written only over what was read. A dispatcher that takes over reads it first.
    """

    def __init__(self, orders: order.OrderStore, dispatched: DispatchedServers) -> None:
        self.orders = orders
        self.dispatched = dispatched
        self.by_service: dict[ids.PoolId, ServiceState] = {}
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to look."""
        self.task = tasks.start(self.run(), "roll-outs")

    async def stop(self) -> None:
        """End the task."""
        if self.task is not None:
            await tasks.stop([self.task])

    def of_pool(self, pool: ids.PoolId) -> exposure.Exposure:
        """See Exposures."""
        return CurrentExposure(self, pool)

    async def run(self) -> None:
        """Look again and again, until cancelled."""
        while True:
            dispatched = self.dispatched()
            for service in set(self.by_service) - set(dispatched):
                # Another dispatcher goes on with it.
                del self.by_service[service]
            for service, views in dispatched.items():
                try:
                    await self.review(service, list(views))
                except errors.PlatformError as error:
                    log.debug("roll-outs of {} can't be read: {}", service, error)
            await asyncio.sleep(REVIEW_INTERVAL)

    async def review(
        self, service: ids.PoolId, views: list[backendview.BackendView]
    ) -> None:
        """Read a service's orders if it's time, and go on; raises PlatformError."""
        service_state = self.by_service.setdefault(service, ServiceState())
        versions = frozenset(view.spec.version for view in views)
        if self.should_read(service_state, versions, clock.now()):
            # Before it's read: an order that can't be read is tried at the next time.
            service_state.read_at = clock.now()
            service_state.versions = versions
            self.apply(service_state, await self.orders.read(service), clock.now())
        if service_state.rollout is None:
            return
        before = service_state.rollout.state
        state = service_state.rollout.review(views, clock.now())
        if service_state.stored_state is not state and (
            state is not before or clock.now() >= service_state.next_write
        ):
            service_state.next_write = ids.Instant(clock.now() + ACTIVE_READ_INTERVAL)
            await self.write_status(service, service_state)

    def should_read(
        self, service_state: ServiceState, versions: frozenset[str], now: ids.Instant
    ) -> bool:
        """Tell whether the orders should be read: at once where a version is new."""
        is_running = (
            service_state.rollout is not None
            and service_state.stored_state is order.State.RUNNING
        )
        pause = ACTIVE_READ_INTERVAL if is_running else IDLE_READ_INTERVAL
        return (
            versions != service_state.versions or now - service_state.read_at >= pause
        )

    def apply(
        self, service_state: ServiceState, snapshot: order.Snapshot, now: ids.Instant
    ) -> None:
        """Begin, go on with or forget a roll-out, by what was read."""
        service_state.snapshot = snapshot
        found = snapshot.order
        problem = None if found is None else found.problem()
        if problem is not None and service_state.rejected_revision != found.revision:
            service_state.rejected_revision = found.revision
            log.warning("the roll-out of {} isn't begun: {}", found.service, problem)
        if found is None or problem is not None:
            service_state.rollout = service_state.stored_state = None
            return
        status = snapshot.status
        is_known = status is not None and status.revision == found.revision
        service_state.stored_state = status.state if is_known else None
        if service_state.rollout is not None and service_state.rollout.order == found:
            if is_known and status.state is not order.State.RUNNING:
                # Another dispatcher has ended it.
                service_state.rollout.state = status.state
                service_state.rollout.stage = progress.Stage.ENDED
            return
        began = status.began if is_known else snapshot.store_seconds
        state = status.state if is_known else order.State.RUNNING
        log.info(
            "{}: roll-out of version {} within {:g} s, {}",
            found.service,
            found.to,
            found.period,
            state.value,
        )
        started = ids.Instant(now - max(0.0, snapshot.store_seconds - began))
        service_state.rollout = progress.Rollout(
            found, started, state, service_state.evidence
        )

    async def write_status(
        self, service: ids.PoolId, service_state: ServiceState
    ) -> None:
        """Write what a roll-out has come to; raises PlatformError.

        If somebody else has written meanwhile, their word holds and is read at once.
        """
        rollout, snapshot = service_state.rollout, service_state.snapshot
        known = snapshot.status
        is_known = known is not None and known.revision == rollout.order.revision
        status = order.Status(
            to=rollout.order.to,
            state=rollout.state,
            revision=rollout.order.revision,
            began=known.began if is_known else snapshot.store_seconds,
            reason=rollout.reason,
        )
        try:
            await self.orders.write_status(service, status, snapshot)
            service_state.stored_state = rollout.state
        except table.ConditionFailedError:
            log.info("{}: somebody else has told of the roll-out", service)
        finally:
            # The stored status has another version now, or may have.
            self.apply(service_state, await self.orders.read(service), clock.now())


class CurrentExposure(exposure.Exposure):
    """The limits of a service's present roll-out, if there is one."""

    def __init__(self, controller: Controller, service: ids.PoolId) -> None:
        self.controller = controller
        self.service = service

    def rollout(self) -> exposure.Exposure | None:
        """Return the present roll-out."""
        service_state = self.controller.by_service.get(self.service)
        return None if service_state is None else service_state.rollout

    def may_take(self, server: kinds.BackendServerSpec) -> bool:
        """See Exposure."""
        found = self.rollout()
        return found is None or found.may_take(server)

    def is_wanted(self, server: kinds.BackendServerSpec) -> bool:
        """See Exposure."""
        found = self.rollout()
        return found is not None and found.is_wanted(server)

    def note_grant(self, server: kinds.BackendServerSpec) -> None:
        """See Exposure."""
        found = self.rollout()
        if found is not None:
            found.note_grant(server)

    def note_end(
        self, server: kinds.BackendServerSpec, route: str, done: messages.Done
    ) -> None:
        """See Exposure."""
        service_state = self.controller.by_service.get(self.service)
        if service_state is None:
            return
        if service_state.rollout is not None:
            service_state.rollout.note_end(server, route, done)
        elif done.outcome is not messages.Outcome.CANCELLED:
            has_failed = done.outcome is not messages.Outcome.COMPLETED
            service_state.evidence.record_old(route, has_failed)
