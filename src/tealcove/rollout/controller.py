"""Controller of the rollouts of the services that this instance dispatches."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping

import logbook
import msgspec

from tealcove import clock, errors, ids, tasks
from tealcove.dispatch import backendview, exposure, messages
from tealcove.resources import kinds
from tealcove.rollout import evidence, order, progress
from tealcove.storage import revisions, table

log = logbook.Logger("rollout")

# Seconds between two reviews of a rollout's progress.
REVIEW_INTERVAL = 0.25
# Seconds between two reads of the orders: without a rollout, where each read has a
# cost, and during a rollout, whose order may be replaced or withdrawn.
IDLE_READ_INTERVAL = 5.0
ACTIVE_READ_INTERVAL = 1.0

# Seconds after the store was restored for which an order that it lacks goes on:
# operators write again what was lost.
RESTORED_SECONDS = 10.0

# Returns the servers of each service that this instance dispatches.
DispatchedServers = Callable[[], Mapping[ids.PoolId, Iterable[backendview.BackendView]]]


class ServiceState(msgspec.Struct):
    """Rollout state of one service."""

    read_at: ids.Instant = ids.Instant(float("-inf"))
    versions: frozenset[str] = frozenset()
    snapshot: order.Snapshot | None = None
    # When the snapshot was applied.
    applied_at: ids.Instant = ids.Instant(float("-inf"))
    rollout: progress.Rollout | None = None
    # Statistics of the service's answers, also recorded while no rollout runs.
    evidence: evidence.Evidence = msgspec.field(default_factory=evidence.Evidence)
    # The state that was last written to the store or read from it.
    stored_state: order.State | None = None
    # Earliest time of the next attempt after a failed write.
    next_write: ids.Instant = ids.Instant(float("-inf"))
    # Revision of the invalid order that was last logged.
    rejected_revision: ids.Revision | None = None
    # Until when the current order goes on although the restored store lacks it, and the
    # era for which that was decided.
    kept_until: ids.Instant = ids.Instant(float("-inf"))
    kept_era: ids.Era = ids.NO_ERA


class Controller(exposure.Exposures):
    """Read orders, advance rollouts and write their status.

    The end of a rollout is written to the store before anybody acts on it, and only on
    condition that the status is the one read. A dispatcher that takes over reads it
    first.
    """

    def __init__(self, orders: order.OrderStore, dispatched: DispatchedServers) -> None:
        self.orders = orders
        self.dispatched = dispatched
        self.by_service: dict[ids.PoolId, ServiceState] = {}
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the review task."""
        self.task = tasks.start_loop(self.run, "roll-outs")

    async def stop(self) -> None:
        """Stop the review task."""
        if self.task is not None:
            await tasks.stop([self.task])

    def of_pool(self, pool: ids.PoolId) -> exposure.Exposure:
        """See Exposures."""
        return CurrentExposure(self, pool)

    async def run(self) -> None:
        """Review all dispatched services periodically, until cancelled."""
        while True:
            dispatched = self.dispatched()
            for service in set(self.by_service) - set(dispatched):
                # Another dispatcher continues its rollout.
                del self.by_service[service]
            for service, views in dispatched.items():
                try:
                    await self.review(service, list(views))
                except errors.PlatformError as error:
                    log.debug(
                        "failed to read or write the rollout of {}: {}", service, error
                    )
                except Exception:
                    # A fault in one service's rollout mustn't hold up the others'.
                    log.exception("the rollout of {} can't be reviewed", service)
            await asyncio.sleep(REVIEW_INTERVAL)

    async def review(
        self, service: ids.PoolId, views: list[backendview.BackendView]
    ) -> None:
        """Read a service's order if needed and advance its rollout.

        Raises PlatformError.
        """
        service_state = self.by_service.setdefault(service, ServiceState())
        versions = frozenset(view.spec.version for view in views)
        if self.should_read(service_state, versions, clock.now()):
            # Set before the read: a failed read is retried after the same pause.
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
        """Tell whether to read the order; at once if the set of versions changed."""
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
        """Start, continue or drop a rollout according to the snapshot."""
        service_state.snapshot = snapshot
        service_state.applied_at = now
        found = snapshot.order
        if self.keeps_order(service_state, snapshot, now):
            return
        problem = None if found is None else found.problem()
        if problem is not None and service_state.rejected_revision != found.revision:
            service_state.rejected_revision = found.revision
            log.warning(
                "rollout of {} not started, invalid order: {}", found.service, problem
            )
        if found is None or problem is not None:
            service_state.rollout = service_state.stored_state = None
            return
        status = snapshot.status
        is_known = status is not None and status.belongs_to(found)
        # A status of an earlier era is written again, under the order's new revision.
        is_stored = is_known and status.revision == found.revision
        service_state.stored_state = status.state if is_stored else None
        current = service_state.rollout
        if current is not None and found.continues(current.order):
            current.order = found
            if is_known and status.state is not order.State.RUNNING:
                # Another dispatcher has ended the rollout.
                service_state.rollout.state = status.state
                service_state.rollout.stage = progress.Stage.ENDED
            return
        began = status.began if is_known else snapshot.store_seconds
        state = status.state if is_known else order.State.RUNNING
        log.info(
            "{}: rollout of version {} within {:g} s, {}",
            found.service,
            found.to,
            found.period,
            state.value,
        )
        started = ids.Instant(now - max(0.0, snapshot.store_seconds - began))
        service_state.rollout = progress.Rollout(
            found, started, state, service_state.evidence
        )

    def keeps_order(
        self, service_state: ServiceState, snapshot: order.Snapshot, now: ids.Instant
    ) -> bool:
        """Return whether the current order goes on although the store has another.

        A restored store may lack the newest order, or hold the one before.
        """
        current = service_state.rollout
        if current is None:
            return False
        found, known = snapshot.order, current.order.revision
        if found is not None and (
            found.continues(current.order)
            or not revisions.may_be_outdated(found.revision, known)
        ):
            return False
        era = revisions.era_of(snapshot.revision)
        if era > max(revisions.era_of(known), service_state.kept_era):
            service_state.kept_era = era
            service_state.kept_until = ids.Instant(now + RESTORED_SECONDS)
        return now < service_state.kept_until

    async def write_status(
        self, service: ids.PoolId, service_state: ServiceState
    ) -> None:
        """Write a rollout's status; raises PlatformError.

        If another dispatcher has written a status meanwhile, that one applies and is
        read at once.
        """
        rollout, snapshot = service_state.rollout, service_state.snapshot
        known = snapshot.status
        is_known = known is not None and known.belongs_to(rollout.order)
        running = max(0.0, service_state.applied_at - rollout.began)
        status = order.Status(
            to=rollout.order.to,
            state=rollout.state,
            revision=rollout.order.revision,
            began=known.began if is_known else snapshot.store_seconds - running,
            reason=rollout.reason,
        )
        try:
            await self.orders.write_status(service, status, snapshot)
            service_state.stored_state = rollout.state
        except table.ConditionFailedError:
            log.info("{}: another dispatcher has updated the rollout status", service)
        finally:
            # The stored row has a new version now, or may have.
            self.apply(service_state, await self.orders.read(service), clock.now())


class CurrentExposure(exposure.Exposure):
    """Exposure limits of a service's current rollout, if there is one."""

    def __init__(self, controller: Controller, service: ids.PoolId) -> None:
        self.controller = controller
        self.service = service

    def rollout(self) -> exposure.Exposure | None:
        """Return the current rollout, or None."""
        service_state = self.controller.by_service.get(self.service)
        return None if service_state is None else service_state.rollout

    def may_receive(self, server: kinds.BackendServerSpec) -> bool:
        """See Exposure."""
        found = self.rollout()
        return found is None or found.may_receive(server)

    def may_resume(self, server: kinds.BackendServerSpec) -> bool:
        """See Exposure."""
        found = self.rollout()
        return found is None or found.may_resume(server)

    def is_preferred(self, server: kinds.BackendServerSpec) -> bool:
        """See Exposure."""
        found = self.rollout()
        return found is not None and found.is_preferred(server)

    def record_grant(self, server: kinds.BackendServerSpec) -> None:
        """See Exposure."""
        found = self.rollout()
        if found is not None:
            found.record_grant(server)

    def record_end(
        self, server: kinds.BackendServerSpec, route: str, done: messages.Done
    ) -> None:
        """See Exposure."""
        service_state = self.controller.by_service.get(self.service)
        if service_state is None:
            return
        if service_state.rollout is not None:
            service_state.rollout.record_end(server, route, done)
        elif done.outcome is not messages.Outcome.CANCELLED:
            has_failed = done.outcome is not messages.Outcome.COMPLETED
            service_state.evidence.record_old(route, has_failed)
