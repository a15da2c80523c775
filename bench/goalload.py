"""A goal scheduler at a multiple of its capacity, in virtual time."""

from __future__ import annotations

import enum
import heapq
import itertools
import random
import time
from collections.abc import Callable

from tealcove import ids
from tealcove.dispatch import (
    accountshares,
    accountuse,
    batchtimes,
    cells,
    goal,
    messages,
    scheduler,
)
from tealcove.resources import kinds
from tealcove.streamcopies import copying

CELL = ids.CellId("engines/0")
SERVERS = 30
SLOTS = 5
ACCOUNTS = 16
URGENCIES = 3
FIRST_SECONDS = 0.1
TOTAL_SECONDS = 0.5
GOAL_SECONDS = 0.6
REMAINING_SECONDS = 8.0
TICK_SECONDS = 0.05
# Bytes a second of copies, more than there ever are.
AMPLE = 1e12
# Relative time per token with one to five requests.
BATCH_CURVE = (1.0, 1.0, 1.0, 1.3, 2.0)
NORMAL_TIME = 100.0
# Requests per second that the servers can serve.
CAPACITY = SERVERS * SLOTS / TOTAL_SECONDS


class Part(enum.Enum):
    """What of the scheduler is enabled."""

    NONE = "none"
    SHARING = "sharing"
    SERVER_LOAD = "server load"
    COPIES = "copies"


class KnownTimes(batchtimes.BatchTimes):
    """Tells batch sizes apart from the beginning, whatever is measured."""

    def __init__(self) -> None:
        super().__init__(SLOTS)
        self.table = [1.0, *BATCH_CURVE]
        self.differ = True

    def learn(self, batch: float, ratio: float) -> None:
        """See BatchTimes."""


def create_scheduler(part: Part) -> goal.GoalScheduler:
    """Return the scheduler of a cell with one part enabled."""
    servers = tuple(
        kinds.BackendServerSpec(
            name=f"s{n}", host="127.0.0.1", port=9000, data_centre="dc", slots=SLOTS
        )
        for n in range(SERVERS)
    )
    found = goal.GoalScheduler()
    if part is Part.SERVER_LOAD:
        found.use_server_load()
        found.views.loads.times[SLOTS] = KnownTimes()
    if part is Part.COPIES:
        found.use_copies(copying.BudgetedCopies(AMPLE))
    if part is Part.SHARING:
        weights = accountshares.ConfiguredWeights(lambda account: None)
        found.use_accounts(accountuse.MeasuredShares(CELL, weights))
    found.configure(cells.Cell(CELL, ids.PoolId("engines"), servers), ids.Instant(0.0))
    return found


class Overload:
    """Poisson arrivals of ACCOUNTS accounts, the first of them with half of all."""

    def __init__(self, times: float, part: Part, seed: int) -> None:
        self.scheduler = create_scheduler(part)
        self.is_copied = part is Part.COPIES
        self.rate = times * CAPACITY
        self.chance = random.Random(seed)
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        # Requests that arrived, and the processor time of all decisions.
        self.arrived = 0
        self.seconds = 0.0
        self.add(0.0, self.arrive)
        self.add(TICK_SECONDS, self.tick)

    def add(self, at: float, call: Callable[[float], None]) -> None:
        """Plan an event."""
        heapq.heappush(self.events, (at, next(self.numbers), call))

    def run(self, until: float) -> None:
        """Play the events until an instant."""
        while self.events[0][0] <= until:
            at, _, call = heapq.heappop(self.events)
            call(at)

    def decide(
        self, method: Callable[..., list[scheduler.Outgoing]], at: float, *event: object
    ) -> None:
        """Measure a call of the scheduler, and plan what follows from its grants."""
        began = time.process_time()
        outgoing = method(*event, ids.Instant(at))
        self.seconds += time.process_time() - began
        for out in outgoing:
            if isinstance(out.message, messages.Grant):
                self.plan(out.message, at)

    def plan(self, grant: messages.Grant, at: float) -> None:
        """Plan the first event and the end of a granted request."""
        self.add(at + FIRST_SECONDS, lambda at: self.begin(grant, at))
        self.add(at + TOTAL_SECONDS, lambda at: self.end(grant, at))

    def arrive(self, at: float) -> None:
        """Send a ticket."""
        self.arrived += 1
        self.add(at + self.chance.expovariate(self.rate), self.arrive)
        number = next(self.numbers)
        account = self.chance.randrange(ACCOUNTS) * self.chance.randrange(2)
        ticket = messages.Ticket(
            ticket_id=ids.TicketId(f"tkt-{number}"),
            request_id=ids.RequestId(f"req-{number}"),
            cell=CELL,
            entry=ids.InstanceId("entry"),
            tier_rank=1,
            account=ids.AccountId(f"account-{account}"),
            idempotent=True,
            prompt_tokens=100,
            output_tokens=100,
            prefix=(),
            remaining=REMAINING_SECONDS,
            goal=GOAL_SECONDS,
            urgency=number % URGENCIES,
            wants_copy=self.is_copied,
        )
        self.decide(self.scheduler.enqueue, at, ticket)

    def begin(self, grant: messages.Grant, at: float) -> None:
        """Report the first event of a request."""
        progress = messages.Progress(
            ticket_id=grant.ticket_id,
            cell=CELL,
            first_token_seconds=FIRST_SECONDS,
            load=self.stated(grant),
        )
        self.decide(self.scheduler.progress, at, progress)

    def end(self, grant: messages.Grant, at: float) -> None:
        """Report the end of a request."""
        done = messages.Done(
            ticket_id=grant.ticket_id,
            cell=CELL,
            server=grant.server,
            outcome=messages.Outcome.COMPLETED,
            prompt_tokens=100,
            cached_tokens=0,
            output_tokens=100,
            first_token_seconds=FIRST_SECONDS,
            total_seconds=TOTAL_SECONDS,
            load=self.stated(grant),
        )
        self.decide(self.scheduler.done, at, done)

    def stated(self, grant: messages.Grant) -> messages.StatedLoad:
        """Return what a server states, whose work takes its usual time."""
        running = len(self.scheduler.views.servers[grant.server].runs)
        return messages.StatedLoad(running, 0, SLOTS, NORMAL_TIME)

    def tick(self, at: float) -> None:
        """Advance the scheduler."""
        self.add(at + TICK_SECONDS, self.tick)
        self.decide(self.scheduler.tick, at)


def measure(times: float, part: Part, seconds: float, seed: int) -> float:
    """Return the processor time of all decisions for a request, in microseconds.

    The first part of the play, in which the line grows, isn't measured.
    """
    played = Overload(times, part, seed)
    played.run(seconds)
    played.arrived, played.seconds = 0, 0.0
    played.run(2.0 * seconds)
    return played.seconds / played.arrived * 1e6
