"""Wraps the measured scheduler to log its decisions, their times and its cost."""

from __future__ import annotations

import time

import logbook
import msgspec

from tealcove import ids
from tealcove.backends import engine
from tealcove.dispatch import cells, fair, messages, scheduler

# The log channel of the records, which `bench.fleet` reads.
CHANNEL = "tap"
COST_INTERVAL = 1.0

log = logbook.Logger(CHANNEL)


class Decision(msgspec.Struct, frozen=True, tag=True):
    """A refusal or preemption of a request; `at` is the machine's monotonic clock."""

    request: str
    kind: str
    at: float


class Cost(msgspec.Struct, frozen=True, tag=True):
    """The number of scheduler calls since the start and their total seconds."""

    calls: int
    seconds: float


Record = Decision | Cost


class TappedFairScheduler(fair.FairScheduler):
    """Decides like its base class; all processes of a run share its clock."""

    def __init__(self) -> None:
        super().__init__()
        self.request_ids: dict[ids.TicketId, ids.RequestId] = {}
        self.calls = 0
        self.seconds = 0.0
        self.call_depth = 0
        self.call_start = 0.0
        self.next_cost_record = 0.0

    def begin_call(self) -> None:
        """Start timing a call, unless it is nested in another one."""
        self.call_depth += 1
        if self.call_depth == 1:
            self.call_start = time.monotonic()

    def end_call(self, decided: list[scheduler.Outgoing]) -> list[scheduler.Outgoing]:
        """Count a call and log the requests that it refused or preempted."""
        self.call_depth -= 1
        if self.call_depth:
            return decided
        now = time.monotonic()
        self.calls += 1
        self.seconds += now - self.call_start
        for out in decided:
            if isinstance(out.message, messages.Refusal | messages.Preempt):
                request = self.request_ids.get(out.message.ticket_id, "")
                log_record(Decision(request, type(out.message).__name__, now))
        if now >= self.next_cost_record:
            self.next_cost_record = now + COST_INTERVAL
            log_record(Cost(self.calls, self.seconds))
        return decided

    def configure(self, cell: cells.Cell, now: ids.Instant) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        self.begin_call()
        return self.end_call(super().configure(cell, now))

    def enqueue(
        self, ticket: messages.Ticket, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        self.request_ids[ticket.ticket_id] = ticket.request_id
        self.begin_call()
        return self.end_call(super().enqueue(ticket, now))

    def withdraw(
        self, ticket_id: ids.TicketId, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        self.begin_call()
        return self.end_call(super().withdraw(ticket_id, now))

    def progress(
        self, progress: messages.Progress, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        self.begin_call()
        return self.end_call(super().progress(progress, now))

    def done(self, done: messages.Done, now: ids.Instant) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        self.begin_call()
        return self.end_call(super().done(done, now))

    def report(
        self,
        server: ids.BackendServerId,
        load: engine.LoadReport | None,
        now: ids.Instant,
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        self.begin_call()
        return self.end_call(super().report(server, load, now))

    def lose_entry(
        self, entry: ids.InstanceId, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        self.begin_call()
        return self.end_call(super().lose_entry(entry, now))

    def tick(self, now: ids.Instant) -> list[scheduler.Outgoing]:
        """See Scheduler."""
        self.begin_call()
        return self.end_call(super().tick(now))


def log_record(record: Record) -> None:
    """Write a record to the instance's log."""
    log.info("{}", msgspec.json.encode(record).decode())
