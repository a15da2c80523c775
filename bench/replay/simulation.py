"""Discrete-event simulation of callers, the real scheduler and engines."""

from __future__ import annotations

import enum
import heapq
import itertools
from collections.abc import Callable

import msgspec

from bench.replay import batches, mix
from tealcove import ids
from tealcove.dispatch import cells, goal, messages, scheduler
from tealcove.resources import kinds

CELL = ids.CellId("replay/0")
ENTRY = ids.InstanceId("entry")
# One-way delay between an entry and the dispatcher or an engine, and tick interval.
ONE_WAY_SECONDS = 0.003
TICK_SECONDS = 0.05
# Retries of a caller after a refusal or a crash.
RETRIES = 1
# Start of virtual time: schedulers read an instant of 0 as "never".
START = 1000.0
# Callers of streams leave after PATIENCE_GOALS times their goal without an event, but
# not before MIN_PATIENCE seconds.
PATIENCE_GOALS = 4.0
MIN_PATIENCE = 2.0
# Interval of the reports of running requests, and how long a new dispatcher gathers
# them before it grants.
REPORT_SECONDS = 1.0
GATHER_SECONDS = 0.25
# Callers honour the retry delay up to this part of the time to their deadline.
MAX_RETRY_WAIT_PART = 1 / 3


class End(enum.Enum):
    """How a request ended for its caller."""

    WITHIN_GOAL = "in aim"
    LATE = "late"
    REFUSED = "refused"
    LEFT = "left"
    # Its engine crashed, and it has no retry left.
    LOST = "lost"


class Caller(msgspec.Struct):
    """The state of one request, from its arrival to its end."""

    number: int
    request: mix.Request
    tries: int = 0
    # When the current try began, and whether it was refused and the next is pending.
    try_started_at: float = 0.0
    is_between_tries: bool = False
    server: str = ""
    granted_at: float = 0.0
    first_at: float | None = None
    end: End | None = None
    # Total seconds of its tries that ended without being served.
    wait_seconds: float = 0.0
    refusals: int = 0

    @property
    def ticket_id(self) -> ids.TicketId:
        """The ticket of the current try."""
        return ids.TicketId(f"{self.number}/{self.tries}")


class Outcome(msgspec.Struct, frozen=True):
    """The result of a run."""

    callers: tuple[Caller, ...]
    batches: tuple[batches.Batch, ...]
    seconds: float


class Simulation:
    """One simulated run; `policy` replaces the default scheduler."""

    def __init__(
        self,
        found: mix.Mix,
        requests: list[mix.Request],
        policy: scheduler.Scheduler | None = None,
    ) -> None:
        self.scheduler = policy or goal.GoalScheduler()
        self.mix = found
        self.now = START
        self.order = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.batches = {one.name: batches.Batch(one) for one in found.engines}
        self.callers = [Caller(n, request) for n, request in enumerate(requests)]
        self.open = len(self.callers)
        self.by_ticket: dict[ids.TicketId, Caller] = {}
        self.engines_down: set[str] = set()
        self.next_report_at = START
        self.configure()

    def run(self) -> Outcome:
        """Process events until every request has ended."""
        for caller in self.callers:
            self.schedule(START + caller.request.at, lambda c=caller: self.arrive(c))
        self.schedule(START, self.tick)
        for outage in self.mix.outages:
            self.schedule(START + outage.at, lambda o=outage: self.crash(o))
        for at in self.mix.takeovers:
            self.schedule(START + at, self.take_over)
        while self.open:
            self.now, _, act = heapq.heappop(self.events)
            act()
        found = tuple(self.batches.values())
        return Outcome(tuple(self.callers), found, self.now - START)

    def configure(self) -> None:
        """Give the scheduler the engines that are up."""
        there = tuple(s for s in servers(self.mix) if s.name not in self.engines_down)
        cell = cells.Cell(CELL, ids.PoolId("replay"), there)
        self.carry_out(self.scheduler.configure(cell, self.instant()))

    def crash(self, outage: mix.Outage) -> None:
        """Crash an engine: its requests are lost, and it is down for a time."""
        batch = self.batches[outage.engine]
        broken = [self.callers[number] for number in batch.running]
        batch.running.clear()
        for caller in broken:
            self.report_end(caller, messages.Outcome.CRASHED)
            self.interrupt(caller)
        self.engines_down.add(outage.engine)
        self.configure()
        self.schedule_after(outage.seconds, lambda: self.recover(outage.engine))

    def recover(self, engine: str) -> None:
        """Bring a crashed engine up again."""
        self.engines_down.discard(engine)
        self.configure()

    def interrupt(self, caller: Caller) -> None:
        """End a try whose engine crashed; the caller retries at once."""
        caller.server = ""
        caller.first_at = None
        if caller.tries >= RETRIES:
            self.end(caller, End.LOST)
            return
        caller.tries += 1
        self.arrive(caller)

    def take_over(self) -> None:
        """Replace the scheduler by a new one that knows only what entries report."""
        self.scheduler = type(self.scheduler)()
        self.scheduler.gather(ids.Instant(self.now + GATHER_SECONDS))
        self.configure()
        for caller in list(self.by_ticket.values()):
            if caller.server:
                self.report_running(caller)
            else:
                self.enqueue(caller, caller.ticket_id)

    def schedule(self, when: float, act: Callable[[], None]) -> None:
        """Schedule a call at an instant."""
        heapq.heappush(self.events, (when, next(self.order), act))

    def schedule_after(self, seconds: float, act: Callable[[], None]) -> None:
        """Schedule a call after some seconds."""
        self.schedule(self.now + seconds, act)

    def tick(self) -> None:
        """Call the scheduler's periodic tick, and report running requests."""
        self.carry_out(self.scheduler.tick(self.instant()))
        self.schedule_after(TICK_SECONDS, self.tick)
        if self.now < self.next_report_at:
            return
        self.next_report_at = self.now + REPORT_SECONDS
        for caller in self.by_ticket.values():
            if caller.server and caller.end is None:
                self.report_running(caller)

    def report_running(self, caller: Caller) -> None:
        """Report a running request to the scheduler, as entries do."""
        ticket = msgspec.structs.replace(
            self.ticket(caller), running_on=ids.BackendServerId(caller.server)
        )
        self.scheduler.enqueue(ticket, self.instant())

    def instant(self) -> ids.Instant:
        """Return the current instant."""
        return ids.Instant(self.now)

    def arrive(self, caller: Caller) -> None:
        """Begin a try of a caller: the first or a retry."""
        self.by_ticket[caller.ticket_id] = caller
        caller.try_started_at = self.now
        caller.is_between_tries = False
        self.schedule_after(
            2 * ONE_WAY_SECONDS, lambda: self.enqueue(caller, caller.ticket_id)
        )
        if caller.tries == 0:
            deadline = caller.request.kind.deadline
            self.schedule_after(deadline, lambda: self.leave(caller))

    def enqueue(self, caller: Caller, ticket_id: ids.TicketId) -> None:
        """Deliver a ticket to the scheduler, unless its try has ended."""
        if caller.end is None and caller.ticket_id == ticket_id:
            ticket = self.ticket(caller)
            self.carry_out(self.scheduler.enqueue(ticket, self.instant()))

    def ticket(self, caller: Caller) -> messages.Ticket:
        """Return a caller's ticket as its entry would send it now."""
        request = caller.request
        kind = request.kind
        waited = self.now - START - request.at
        # An entry knows nothing of a caller's earlier tries.
        tried = self.now - caller.try_started_at
        return messages.Ticket(
            ticket_id=caller.ticket_id,
            request_id=ids.RequestId(str(caller.number)),
            cell=CELL,
            entry=ENTRY,
            tier_rank=kind.tier,
            urgency=kind.urgency,
            account=ids.AccountId("a"),
            idempotent=True,
            prompt_tokens=request.prompt,
            output_tokens=request.output,
            prefix=(),
            remaining=kind.deadline - waited,
            goal=max(1e-9, kind.goal_seconds - tried),
            patience=max(1e-9, patience(kind) - tried),
            expected_tokens=request.expected,
            digest=str(caller.number),
            caller_remaining=kind.deadline - waited,
        )

    def carry_out(self, outgoing: list[scheduler.Outgoing]) -> None:
        """Carry out what the scheduler decided."""
        for out in outgoing:
            sent = out.message
            caller = self.by_ticket.get(getattr(sent, "ticket_id", None))
            if caller is None or caller.end is not None:
                continue
            if isinstance(sent, messages.Grant) and not caller.server:
                caller.server = sent.server
                caller.granted_at = self.now
                self.schedule_after(
                    2 * ONE_WAY_SECONDS, lambda c=caller: self.submit(c)
                )
            elif isinstance(sent, messages.Refusal):
                self.refuse(caller, sent.retry_after)

    def end(self, caller: Caller, end: End) -> None:
        """Record how a request ended."""
        caller.end = end
        self.open -= 1
        if not caller.server and not caller.is_between_tries:
            caller.wait_seconds += self.now - caller.try_started_at

    def refuse(self, caller: Caller, after: float) -> None:
        """End a refused try; the caller retries after the delay, if it may."""
        del self.by_ticket[caller.ticket_id]
        caller.refusals += 1
        if caller.tries >= RETRIES:
            self.end(caller, End.REFUSED)
            return
        caller.wait_seconds += self.now - caller.try_started_at
        caller.is_between_tries = True
        caller.tries += 1
        left = START + caller.request.at + caller.request.kind.deadline - self.now
        self.schedule_after(
            min(after, MAX_RETRY_WAIT_PART * left), lambda: self.retry(caller)
        )

    def retry(self, caller: Caller) -> None:
        """Begin the next try, unless the request has ended."""
        if caller.end is None:
            self.arrive(caller)

    def submit(self, caller: Caller) -> None:
        """Deliver a granted request to its engine."""
        if caller.end is not None:
            return
        batch = self.batches[caller.server]
        batch.add(caller.number, caller.request, self.now)
        if not batch.is_stepping:
            self.step(batch)

    def step(self, batch: batches.Batch) -> None:
        """Start an engine's next step, if it has requests."""
        batch.is_stepping = bool(batch.running)
        if batch.is_stepping:
            found = batch.step(self.now)
            self.schedule(found.ends_at, lambda: self.finish(batch, found))

    def finish(self, batch: batches.Batch, found: batches.StepResult) -> None:
        """Report first events and completions of a step, and start the next one."""
        for work in found.first_events:
            caller = self.callers[work.number]
            if caller.end is None:
                caller.first_at = self.now + 2 * ONE_WAY_SECONDS
                progress = messages.Progress(
                    ticket_id=caller.ticket_id,
                    cell=CELL,
                    first_token_seconds=self.now - caller.granted_at,
                )
                self.carry_out(self.scheduler.progress(progress, self.instant()))
        for work in found.completed:
            caller = self.callers[work.number]
            if caller.end is None:
                self.complete(caller)
        self.step(batch)

    def complete(self, caller: Caller) -> None:
        """End a request whose answer is complete."""
        seconds = caller.first_at - START - caller.request.at
        within_goal = seconds <= caller.request.kind.goal_seconds
        self.end(caller, End.WITHIN_GOAL if within_goal else End.LATE)
        self.report_end(caller, messages.Outcome.COMPLETED)

    def leave(self, caller: Caller) -> None:
        """End a request whose caller has reached its deadline."""
        if caller.end is not None:
            return
        self.end(caller, End.LEFT)
        if caller.server:
            self.batches[caller.server].cancel(caller.number, caller.request)
            self.report_end(caller, messages.Outcome.CANCELLED)
        else:
            self.by_ticket.pop(caller.ticket_id, None)
            self.carry_out(self.scheduler.withdraw(caller.ticket_id, self.instant()))

    def report_end(self, caller: Caller, outcome: messages.Outcome) -> None:
        """Report to the scheduler how a dispatched request ended."""
        self.by_ticket.pop(caller.ticket_id, None)
        first = caller.first_at or self.now
        done = messages.Done(
            ticket_id=caller.ticket_id,
            cell=CELL,
            server=ids.BackendServerId(caller.server),
            outcome=outcome,
            prompt_tokens=caller.request.prompt,
            cached_tokens=0,
            output_tokens=caller.request.output,
            first_token_seconds=first - caller.granted_at,
            total_seconds=self.now - caller.granted_at,
        )
        self.carry_out(self.scheduler.done(done, self.instant()))


def patience(kind: mix.Kind) -> float:
    """Return how many seconds a caller waits for the first event."""
    return max(MIN_PATIENCE, PATIENCE_GOALS * kind.goal_seconds)


def servers(found: mix.Mix) -> tuple[kinds.BackendServerSpec, ...]:
    """Return the engines as the scheduler's server specifications."""
    return tuple(
        kinds.BackendServerSpec(
            name=one.name, host="127.0.0.1", port=1, data_centre="dc", slots=one.slots
        )
        for one in found.engines
    )
