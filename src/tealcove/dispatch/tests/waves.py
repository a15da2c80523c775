"""Two data centres whose demand rises and falls in turn, in virtual time."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterable

import msgspec

from tealcove import ids
from tealcove.dispatch import (
    backendview,
    budgets,
    crossing,
    exposure,
    goal,
    messages,
    placement,
    scheduler,
    waitingticket,
)
from tealcove.dispatch.tests import builders

CENTRES = (ids.DataCentreId("dc-1"), ids.DataCentreId("dc-2"))
# Of the servers of each data centre: how long work takes there.
FACTORS = (0.68, 0.68, 0.68, 3.0)
SLOTS = 4
FIRST_SECONDS, TOTAL_SECONDS = 0.1, 0.5
TOKENS = 100
BODY_BYTES = 4000
GOAL_SECONDS, DEADLINE_SECONDS = 0.63, 8.0
PERIOD_SECONDS, SWING = 15.0, 0.55
TICK_SECONDS = 0.05
# Requests a second that the servers of a data centre can serve.
CAPACITY = sum(SLOTS / (TOTAL_SECONDS * factor) for factor in FACTORS)


class OnlyLocal(crossing.Crossing):
    """Never uses a server of another data centre."""

    def begin(
        self,
        servers: Iterable[backendview.BackendView],
        free: Iterable[backendview.BackendView],
        now: ids.Instant,
    ) -> None:
        """See Crossing."""

    def choose(
        self,
        waiting: waitingticket.Waiting,
        free: Iterable[backendview.BackendView],
        exposed: exposure.Exposure,
        now: ids.Instant,
    ) -> backendview.BackendView | None:
        here = waiting.ticket.data_centre
        local = [server for server in free if server.spec.data_centre == here]
        return placement.choose(waiting, local, exposed, now)


class Result(msgspec.Struct):
    """What became of the requests of one run."""

    requests: int = 0
    in_time: int = 0
    crossed_bytes: float = 0.0


class Waves:
    """Plays requests of two data centres against a scheduler."""

    def __init__(
        self,
        policy: crossing.Crossing,
        seed: int,
        demand: float = 0.85,
        seconds: float = 60.0,
    ) -> None:
        self.random = random.Random(seed)
        self.demand = demand
        self.seconds = seconds
        self.result = Result()
        self.order = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.now = 0.0
        self.tickets: dict[ids.TicketId, tuple[messages.Ticket, float]] = {}
        self.specs = {}
        for centre, (number, factor) in itertools.product(CENTRES, enumerate(FACTORS)):
            name = f"{centre}-{number}"
            spec = builders.server(name, SLOTS, data_centre=centre)
            self.specs[name] = (spec, factor)
        self.scheduler = goal.GoalScheduler()
        self.scheduler.use_crossing(policy)
        servers = [spec for spec, _ in self.specs.values()]
        self.apply(self.scheduler.configure(builders.cell(*servers), self.instant()))

    def run(self) -> Result:
        """Play all requests to their ends."""
        self.plan()
        while self.events:
            self.step()
        return self.result

    def plan(self) -> None:
        """Plan all arrivals and ticks."""
        for phase, centre in enumerate(CENTRES):
            self.plan_arrivals(centre, phase * math.pi)
        ticks = round((self.seconds + DEADLINE_SECONDS) / TICK_SECONDS)
        for number in range(ticks):
            self.at(number * TICK_SECONDS, self.tick)

    def step(self) -> None:
        """Play the next event."""
        self.now, _, act = heapq.heappop(self.events)
        act()

    def plan_arrivals(self, centre: ids.DataCentreId, phase: float) -> None:
        """Plan Poisson arrivals at a rate that follows the data centre's wave."""
        at = 0.0
        most = self.demand * CAPACITY * (1.0 + SWING)
        while at < self.seconds:
            at += self.random.expovariate(most)
            wave = math.sin(2.0 * math.pi * at / PERIOD_SECONDS + phase)
            if self.random.random() * (1.0 + SWING) <= 1.0 + SWING * wave:
                self.at(at, lambda: self.arrive(centre))

    def at(self, at: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.events, (at, next(self.order), act))

    def instant(self) -> ids.Instant:
        return builders.instant(self.now)

    def tick(self) -> None:
        self.apply(self.scheduler.tick(self.instant()))
        for ticket, _ in list(self.tickets.values()):
            # Entries repeat their tickets; one that was granted isn't in the line.
            waiting = self.scheduler.line.get(ticket.ticket_id)
            if waiting is not None:
                waiting.refreshed_at = self.instant()
        for server in self.scheduler.views.servers.values():
            for run in server.runs.values():
                run.refreshed_at = self.instant()

    def arrive(self, centre: ids.DataCentreId) -> None:
        ticket = builders.ticket(
            data_centre=centre,
            prompt_tokens=TOKENS,
            output_tokens=TOKENS,
            body_bytes=BODY_BYTES,
            goal=GOAL_SECONDS,
            remaining=DEADLINE_SECONDS,
            urgency=0,
        )
        self.result.requests += 1
        self.tickets[ticket.ticket_id] = (ticket, self.now)
        self.apply(self.scheduler.enqueue(ticket, self.instant()))

    def apply(self, outgoing: list[scheduler.Outgoing]) -> None:
        for grant in builders.granted(outgoing):
            self.serve(grant)
        for refusal in builders.refused(outgoing):
            del self.tickets[refusal.ticket_id]

    def serve(self, grant: messages.Grant) -> None:
        ticket, arrived = self.tickets.pop(grant.ticket_id)
        spec, factor = self.specs[grant.server]
        factor *= self.random.uniform(0.9, 1.1)
        first, total = FIRST_SECONDS * factor, TOTAL_SECONDS * factor
        self.result.in_time += self.now + first - arrived <= GOAL_SECONDS
        if spec.data_centre != ticket.data_centre:
            self.result.crossed_bytes += budgets.size_of(ticket)
        progress = messages.Progress(
            ticket_id=grant.ticket_id, cell=builders.CELL, first_token_seconds=first
        )
        self.at(
            self.now + first,
            lambda: self.apply(self.scheduler.progress(progress, self.instant())),
        )
        ended = builders.done(
            grant,
            first_token_seconds=first,
            total_seconds=total,
            is_success=True,
        )
        self.at(
            self.now + total,
            lambda: self.apply(self.scheduler.done(ended, self.instant())),
        )
