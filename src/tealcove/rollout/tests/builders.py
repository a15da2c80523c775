"""Test data for the rollout package."""

from __future__ import annotations

import random

from tealcove import errors, ids
from tealcove.dispatch import backendview, messages, prefill
from tealcove.dispatch.tests import builders as dispatching
from tealcove.rollout import order, progress
from tealcove.storage import table

SERVICE = ids.PoolId("pool")
OLD, NEW = "v1", "v2"
PERIOD = 12.0
ROUTES = ("a", "b", "c")
instant = dispatching.instant


def ordered(revision: int = 1, **changes: object) -> order.Order:
    found = {"to": NEW, "period": PERIOD, **changes}
    return order.Order(service=SERVICE, revision=ids.Revision(revision), **found)


def view(name: str, version: str) -> backendview.BackendView:
    spec = dispatching.server(name, version=version)
    return backendview.BackendView(spec, prefill.QuadraticCost())


def views(version: str, count: int = 12) -> list[backendview.BackendView]:
    return [view(f"{version}-{number}", version) for number in range(count)]


def done(server: str, has_failed: bool) -> messages.Done:
    failed, completed = messages.Outcome.FAILED, messages.Outcome.COMPLETED
    return messages.Done(
        ticket_id=ids.TicketId("t"),
        cell=dispatching.CELL,
        server=ids.BackendServerId(server),
        outcome=failed if has_failed else completed,
        prompt_tokens=0,
        cached_tokens=0,
        output_tokens=0,
        first_token_seconds=0.0,
        total_seconds=0.1,
    )


class Traffic:
    """Simulated requests of a service during a rollout."""

    def __init__(self, rollout: progress.Rollout, seed: int) -> None:
        self.rollout = rollout
        self.source = random.Random(seed)
        self.old, self.new = views(OLD), views(NEW)
        # Failure rate that the new version adds, by route, and that of all versions.
        self.added_failures: dict[str, float] = {}
        self.base_failures = 0.0
        self.arrived = self.exposed = 0
        # Factor by which the new servers are slower.
        self.slowdown = 1.0

    def serve_before(self, requests: int = 300) -> None:
        """Complete requests on the old servers before the rollout."""
        for _ in range(requests):
            route = self.source.choice(ROUTES)
            has_failed = self.source.random() < self.base_failures
            self.rollout.evidence.record_old(route, has_failed)
            self.observe(self.source.choice(self.old), is_new=False)

    def request(self) -> None:
        """Grant and complete one request."""
        self.arrived += 1
        servers = [
            one for one in (*self.old, *self.new) if self.rollout.may_receive(one.spec)
        ]
        wanted = [one for one in servers if self.rollout.is_preferred(one.spec)]
        server = self.source.choice(wanted or servers)
        self.rollout.record_grant(server.spec)
        is_new = server.spec.version == NEW
        self.exposed += is_new
        route = self.source.choice(ROUTES)
        part = self.base_failures
        if is_new:
            part = 1.0 - (1.0 - part) * (1.0 - self.added_failures.get(route, 0.0))
        has_failed = self.source.random() < part
        self.rollout.record_end(server.spec, route, done(server.name, has_failed))
        self.observe(server, is_new)

    def observe(self, server: backendview.BackendView, is_new: bool) -> None:
        """Add one observation of a server's latency."""
        server.observations += 1
        factor = self.slowdown if is_new else 1.0
        machine = 4.0 if server.name.endswith(("0", "1", "2")) else 1.0
        seen = 0.02 * factor * machine * self.source.lognormvariate(0.0, 0.3)
        weight = backendview.OBSERVATION_WEIGHT if server.observations > 1 else 1.0
        server.call_seconds += weight * (seen - server.call_seconds)

    def run(self, rate: float = 100.0, seconds: float = PERIOD) -> order.State:
        """Run requests at a rate for some seconds; return the rollout's state."""
        for number in range(int(rate * seconds)):
            self.request()
            now = instant(number / rate)
            if number % int(rate / 4) == 0:
                self.rollout.review([*self.old, *self.new], now)
        return self.rollout.state


class Rows(order.OrderStore):
    """Order store in memory, for one service."""

    def __init__(self) -> None:
        self.order: order.Order | None = None
        self.status: order.Status | None = None
        self.version = 0
        self.seconds = 500.0
        self.is_down = False
        self.reads = 0
        self.written: list[order.State] = []

    async def read(self, service: ids.PoolId) -> order.Snapshot:
        """See OrderStore."""
        self.check()
        self.reads += 1
        return order.Snapshot(self.order, self.status, self.version, self.seconds)

    async def write_status(
        self, service: ids.PoolId, status: order.Status, snapshot: order.Snapshot
    ) -> None:
        """See OrderStore."""
        self.check()
        if snapshot.stored != self.version:
            raise table.ConditionFailedError(())
        self.version += 1
        self.status = status
        self.written.append(status.state)

    def check(self) -> None:
        """Raise PlatformError while the store is down."""
        if self.is_down:
            raise errors.PlatformUnavailableError("down", "wait")
