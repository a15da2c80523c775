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
LOOK_SECONDS = 0.25
# Seconds between two readings of the orders: with nothing under way, where each is paid
# for, and while a roll-out runs, which may be replaced or withdrawn.
CALM_SECONDS = 5.0
RUNNING_SECONDS = 1.0

# The servers of each service for which this instance decides.
Decided = Callable[[], Mapping[ids.PoolId, Iterable[backendview.BackendView]]]


class Kept(msgspec.Struct):
    """What is known of one service."""

    read_at: ids.Instant = ids.Instant(float("-inf"))
    versions: frozenset[str] = frozenset()
    reading: order.Reading | None = None
    rollout: progress.Rollout | None = None
    # What is known of the service's answers, also while no roll-out runs.
    evidence: evidence.Evidence = msgspec.field(default_factory=evidence.Evidence)
    # The state that the store has been told.
    told: order.State | None = None
    # When the store may be told again after it couldn't be.
    next_tell: ids.Instant = ids.Instant(float("-inf"))
    # The order that was refused, and said so.
    refused: ids.Revision | None = None


class Keeper(exposure.Exposures):
    """Reads orders, goes on with roll-outs, and tells what has come of them.

    What a roll-out has come to stands in the store before anybody acts on its end, and
    is written only over what was read. A dispatcher that takes over reads it first.
    """

    def __init__(self, orders: order.Orders, decided: Decided) -> None:
        self.orders = orders
        self.decided = decided
        self.kept: dict[ids.PoolId, Kept] = {}
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
        return Current(self, pool)

    async def run(self) -> None:
        """Look again and again, until cancelled."""
        while True:
            decided = self.decided()
            for service in set(self.kept) - set(decided):
                # Another dispatcher goes on with it.
                del self.kept[service]
            for service, views in decided.items():
                try:
                    await self.look(service, list(views))
                except errors.PlatformError as error:
                    log.debug("roll-outs of {} can't be read: {}", service, error)
            await asyncio.sleep(LOOK_SECONDS)

    async def look(
        self, service: ids.PoolId, views: list[backendview.BackendView]
    ) -> None:
        """Read a service's orders if it's time, and go on; raises PlatformError."""
        kept = self.kept.setdefault(service, Kept())
        versions = frozenset(view.spec.version for view in views)
        if self.is_due(kept, versions, clock.now()):
            # Before it's read: an order that can't be read is tried at the next time.
            kept.read_at = clock.now()
            kept.versions = versions
            self.take(kept, await self.orders.read(service), clock.now())
        if kept.rollout is None:
            return
        before = kept.rollout.state
        state = kept.rollout.review(views, clock.now())
        if kept.told is not state and (
            state is not before or clock.now() >= kept.next_tell
        ):
            kept.next_tell = ids.Instant(clock.now() + RUNNING_SECONDS)
            await self.tell(service, kept)

    def is_due(self, kept: Kept, versions: frozenset[str], now: ids.Instant) -> bool:
        """Tell whether the orders should be read: at once where a version is new."""
        is_running = kept.rollout is not None and kept.told is order.State.RUNNING
        pause = RUNNING_SECONDS if is_running else CALM_SECONDS
        return versions != kept.versions or now - kept.read_at >= pause

    def take(self, kept: Kept, reading: order.Reading, now: ids.Instant) -> None:
        """Begin, go on with or forget a roll-out, by what was read."""
        kept.reading = reading
        found = reading.order
        problem = None if found is None else found.problem()
        if problem is not None and kept.refused != found.revision:
            kept.refused = found.revision
            log.warning("the roll-out of {} isn't begun: {}", found.service, problem)
        if found is None or problem is not None:
            kept.rollout = kept.told = None
            return
        status = reading.status
        is_known = status is not None and status.revision == found.revision
        kept.told = status.state if is_known else None
        if kept.rollout is not None and kept.rollout.order == found:
            if is_known and status.state is not order.State.RUNNING:
                # Another dispatcher has ended it.
                kept.rollout.state = status.state
                kept.rollout.stage = progress.Stage.ENDED
            return
        began = status.began if is_known else reading.seconds
        state = status.state if is_known else order.State.RUNNING
        log.info(
            "{}: roll-out of version {} within {:g} s, {}",
            found.service,
            found.to,
            found.period,
            state.value,
        )
        started = ids.Instant(now - max(0.0, reading.seconds - began))
        kept.rollout = progress.Rollout(found, started, state, kept.evidence)

    async def tell(self, service: ids.PoolId, kept: Kept) -> None:
        """Write what a roll-out has come to; raises PlatformError.

        If somebody else has written meanwhile, their word holds and is read at once.
        """
        rollout, reading = kept.rollout, kept.reading
        known = reading.status
        is_known = known is not None and known.revision == rollout.order.revision
        status = order.Status(
            to=rollout.order.to,
            state=rollout.state,
            revision=rollout.order.revision,
            began=known.began if is_known else reading.seconds,
            reason=rollout.reason,
        )
        try:
            await self.orders.tell(service, status, reading)
            kept.told = rollout.state
        except table.ConditionFailedError:
            log.info("{}: somebody else has told of the roll-out", service)
        finally:
            # The stored status has another version now, or may have.
            self.take(kept, await self.orders.read(service), clock.now())


class Current(exposure.Exposure):
    """The limits of a service's present roll-out, if there is one."""

    def __init__(self, keeper: Keeper, service: ids.PoolId) -> None:
        self.keeper = keeper
        self.service = service

    def rollout(self) -> exposure.Exposure | None:
        """Return the present roll-out."""
        kept = self.keeper.kept.get(self.service)
        return None if kept is None else kept.rollout

    def may_receive(self, server: kinds.BackendServerSpec) -> bool:
        """See Exposure."""
        found = self.rollout()
        return found is None or found.may_receive(server)

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
        kept = self.keeper.kept.get(self.service)
        if kept is None:
            return
        if kept.rollout is not None:
            kept.rollout.record_end(server, route, done)
        elif done.outcome is not messages.Outcome.CANCELLED:
            has_failed = done.outcome is not messages.Outcome.COMPLETED
            kept.evidence.note_old(route, has_failed)
