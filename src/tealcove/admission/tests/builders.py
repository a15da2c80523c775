"""Arrivals at a goal scheduler in virtual time, and what became of them."""

from __future__ import annotations

import collections
import heapq
import itertools
import random
import statistics
from collections.abc import Callable, Iterable

import msgspec

from tealcove import ids
from tealcove.admission import (
    counts,
    entrypromises,
    keptreturns,
    localrefusals,
    refusedflows,
)
from tealcove.dispatch import goal, messages, notices, scheduler
from tealcove.dispatch.tests import builders
from tealcove.membership.tests import builders as membership_builders
from tealcove.peers import endpoint, message

SERVERS = (5, 5, 5, 5, 5, 5)
SLOTS = sum(SERVERS)
FIRST_SECONDS = 0.1
TOTAL_SECONDS = 0.5
# Requests a second that the servers complete.
CAPACITY = SLOTS / TOTAL_SECONDS
GOAL_SECONDS = 0.6
REMAINING_SECONDS = 8.0
RUN_SECONDS = 20.0
TICK_SECONDS = 0.05
# Part of its remaining time that a caller waits as told.
RETURN_SHARE = 1 / 3
# Seconds for which a new dispatcher gathers tickets.
GATHER_SECONDS = 0.25
STANDBY = ids.InstanceId("i-1")
SEEDS = (1, 2, 3)


class Request(msgspec.Struct):
    """A caller's request, with all its attempts."""

    number: int
    arrived: float
    tier: int = 0
    account: str = "account-0"
    tickets: list[messages.Ticket] = []
    first_event_at: float | None = None
    granted_at: float | None = None
    # For each refusal: when, the seconds since the attempt, and the time to return.
    refusals: list[tuple[float, float, float]] = []
    # The time that its first refusal promised.
    promised_at: float | None = None
    # When entries refused it by themselves.
    local: list[float] = []
    # Whether a refusal came while a slot was free.
    had_free_slot: bool = False

    @property
    def is_in_time(self) -> bool:
        """Whether the first event came within the goal of the first attempt."""
        at = self.first_event_at
        return at is not None and at <= self.arrived + GOAL_SECONDS + 1e-9


class Entry:
    """An entry that refuses by notices; it stands for its mesh and members as well."""

    def __init__(self, play: Play, name: ids.InstanceId) -> None:
        self.play = play
        self.name = name
        # An instance of its own, which is neither the dispatcher nor its successor.
        self.own = membership_builders.heartbeat(9)
        self.local = localrefusals.LocalRefusals(
            self,
            self,
            entrypromises.EntryPromises(self, self),
            RETURN_SHARE,
            counts.Counts(),
            self.report_later,
        )

    def find(self, instance: ids.InstanceId) -> None:
        """Return the heartbeat of an instance, which nobody needs here."""

    def rank(self, cell: ids.CellId, now: ids.Instant) -> list[ids.InstanceId]:
        """Return the dispatcher and its successor."""
        return [self.play.dispatcher[0], STANDBY]

    def endpoint_of(self, instance: ids.InstanceId) -> endpoint.Endpoint:
        """Return where an instance listens."""
        return endpoint.Endpoint("127.0.0.1", 1)

    def report_later(self, cell: ids.CellId) -> None:
        """Schedule a report of the local refusals."""
        self.play.at(
            self.play.now + refusedflows.REPORT_SECONDS,
            lambda now: self.local.report(cell, builders.instant(now)),
        )

    def send(self, peer: endpoint.Endpoint, sent: message.Message) -> None:
        """Deliver a report to the dispatcher; what its successor gets is counted."""
        self.play.count_message(sent)
        if isinstance(sent, messages.PromisedReturns):
            return
        now = builders.instant(self.play.now)
        self.play.scheduler.record_local_refusals(self.name, sent, now)


class Play:
    """Plays requests against a scheduler; callers return `returns` times as told."""

    def __init__(
        self,
        found: goal.GoalScheduler,
        returns: int = 0,
        keeps: Callable[[Request, float], float] = lambda request, wait: wait,
        entries: int = 0,
    ) -> None:
        self.now = 0.0
        names = [ids.InstanceId(f"entry-{number}") for number in range(entries)]
        self.entries = {name: Entry(self, name) for name in names}
        self.codec = message.Codec()
        # Counts and bytes of the messages of admission, by type.
        self.messages: collections.Counter[str] = collections.Counter()
        self.bytes: collections.Counter[str] = collections.Counter()
        self.bytes_by_second: collections.Counter[int] = collections.Counter()
        self.scheduler = found
        self.returns = returns
        # Returns the seconds after which a caller that was told some really returns.
        self.keeps = keeps
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.requests: list[Request] = []
        self.by_ticket: dict[ids.TicketId, Request] = {}
        self.sent_at: dict[ids.TicketId, float] = {}
        self.running: dict[ids.TicketId, messages.Grant] = {}
        self.dispatcher: keptreturns.Holder = (ids.InstanceId("i-0"), None)
        self.kept = keptreturns.KeptReturns()

    def at(self, when: float, action: Callable[[float], None]) -> None:
        """Schedule an action, called with its time."""
        heapq.heappush(self.events, (when, next(self.numbers), action))

    def add(self, arrived: float, tier: int = 0, account: str = "account-0") -> Request:
        """Add a request's first attempt."""
        request = Request(len(self.requests), arrived, tier, account)
        self.requests.append(request)
        self.at(arrived, lambda now: self.send(request, now))
        return request

    def add_poisson(
        self, rate: float, begin: float, end: float, seed: int, **changes: object
    ) -> None:
        """Add Poisson arrivals at so many requests a second."""
        chance = random.Random(seed)
        when = begin + chance.expovariate(rate)
        while when < end:
            self.add(when, **changes)
            when += chance.expovariate(rate)

    def run(self, until: float) -> None:
        """Play all events up to a time, with a tick every TICK_SECONDS."""
        self.at(0.0, self.tick)
        while self.events and self.events[0][0] <= until:
            when, _, action = heapq.heappop(self.events)
            self.now = when
            action(when)

    def tick(self, now: float) -> None:
        """Advance the scheduler."""
        instant = builders.instant(now)
        self.apply(self.scheduler.tick(instant), now)
        self.apply(self.scheduler.notices(instant), now)
        self.at(now + TICK_SECONDS, self.tick)

    def send(self, request: Request, now: float) -> None:
        """Send a request's next attempt."""
        left = request.arrived + REMAINING_SECONDS - now
        ticket = builders.ticket(
            tier_rank=request.tier,
            account=ids.AccountId(request.account),
            remaining=left,
            caller_remaining=left,
            goal=GOAL_SECONDS,
            digest=f"{request.number:032x}",
        )
        if self.entries:
            entry = self.choose_entry(request)
            ticket = msgspec.structs.replace(
                ticket, entry=entry.name, takes_notices=True
            )
            if self.refuse_locally(entry, request, ticket, now):
                return
        request.tickets.append(ticket)
        self.by_ticket[ticket.ticket_id] = request
        self.sent_at[ticket.ticket_id] = now
        self.apply(self.scheduler.enqueue(ticket, builders.instant(now)), now)

    def count_message(self, sent: message.Message) -> None:
        """Count a message between an entry and the dispatcher."""
        kind = type(sent).__name__
        self.messages[kind] += 1
        size = len(self.codec.encode(sent))
        self.bytes[kind] += size
        self.bytes_by_second[int(self.now)] += size

    def choose_entry(self, request: Request) -> Entry:
        """Return the entry of a request's next attempt; it differs for each."""
        attempts = len(request.tickets) + len(request.local)
        number = (request.number * 5 + attempts * 11) % len(self.entries)
        return self.entries[ids.InstanceId(f"entry-{number}")]

    def refuse_locally(
        self, entry: Entry, request: Request, ticket: messages.Ticket, now: float
    ) -> bool:
        """Let an entry refuse a request by itself, if it may."""
        arrival = localrefusals.Arrival(
            request_id=ticket.request_id,
            cell=builders.CELL,
            tier_rank=ticket.tier_rank,
            urgency=ticket.urgency,
            account=ticket.account,
            digest=ticket.digest,
            prompt_tokens=ticket.prompt_tokens,
            output_tokens=ticket.output_tokens,
            goal=ticket.goal,
            caller_remaining=ticket.caller_remaining,
        )
        wait = entry.local.refuse(arrival, builders.instant(now))
        if wait is None:
            return False
        request.local.append(now)
        self.note_refusal(request, 0.0, wait, now)
        return True

    def apply(self, outgoing: Iterable[scheduler.Outgoing], now: float) -> None:
        """Let grants run, and callers of refused requests return."""
        outgoing = list(outgoing)
        for grant in builders.granted(outgoing):
            self.start(grant, now)
        for refusal in builders.refused(outgoing):
            self.refuse(refusal, now)
        for sent in outgoing:
            if isinstance(sent.message, notices.AdmissionNotice):
                self.count_message(sent.message)
                local = self.entries[sent.entry].local
                instant = builders.instant(now)
                local.handle_notice(self.dispatcher[0], sent.message, instant)

    def start(self, grant: messages.Grant, now: float) -> None:
        """Run a granted request."""
        request = self.by_ticket[grant.ticket_id]
        request.granted_at = now
        self.running[grant.ticket_id] = grant
        self.at(now + FIRST_SECONDS, lambda at: self.progress(request, grant, at))
        self.at(now + TOTAL_SECONDS, lambda at: self.done(grant, at))

    def progress(self, request: Request, grant: messages.Grant, now: float) -> None:
        """Report the first event of a request."""
        request.first_event_at = now
        message = messages.Progress(
            ticket_id=grant.ticket_id,
            cell=builders.CELL,
            first_token_seconds=FIRST_SECONDS,
        )
        self.apply(self.scheduler.progress(message, builders.instant(now)), now)

    def done(self, grant: messages.Grant, now: float) -> None:
        """Report the end of a request."""
        del self.running[grant.ticket_id]
        message = builders.done(
            grant, first_token_seconds=FIRST_SECONDS, total_seconds=TOTAL_SECONDS
        )
        self.apply(self.scheduler.done(message, builders.instant(now)), now)

    def refuse(self, refusal: messages.Refusal, now: float) -> None:
        """Apply a refusal by the dispatcher."""
        request = self.by_ticket[refusal.ticket_id]
        waited = now - self.sent_at[refusal.ticket_id]
        self.note_refusal(request, waited, refusal.retry_after, now)
        promised = keptreturns.promised_return(request.tickets[-1], refusal, waited)
        if promised is not None:
            if len(request.refusals) == 1:
                request.promised_at = now + refusal.retry_after
            instant = builders.instant(now)
            self.kept.add(builders.CELL, promised, self.dispatcher, instant)
            if self.entries:
                promises = self.entries[request.tickets[-1].entry].local.promises
                promises.keep(builders.CELL, promised, self.dispatcher[0], instant)

    def note_refusal(
        self, request: Request, waited: float, told: float, now: float
    ) -> None:
        """Record a refusal, and let the caller return if it may."""
        request.refusals.append((now, waited, told))
        used = len(self.scheduler.views.server_by_ticket)
        request.had_free_slot |= used < SLOTS
        if len(request.refusals) <= self.returns:
            most = (request.arrived + REMAINING_SECONDS - now) * RETURN_SHARE
            wait = self.keeps(request, min(most, told))
            self.at(now + wait, lambda at: self.send(request, at))

    def replace(
        self, found: goal.GoalScheduler, now: float, is_informed: bool = True
    ) -> None:
        """Let another dispatcher take over, which begins by gathering tickets.

        `is_informed`: the entry sends it the promised returns.
        """
        instant = builders.instant(now)
        line = list(self.scheduler.line.values())
        self.scheduler = found
        self.dispatcher = (ids.InstanceId("i-1"), None)
        found.gather(ids.Instant(instant + GATHER_SECONDS))
        returns = self.kept.hand_over(builders.CELL, self.dispatcher, instant)
        found.restore_returns(returns if is_informed else (), instant)
        for ticket_id, grant in self.running.items():
            ticket = self.by_ticket[ticket_id].tickets[-1]
            running = msgspec.structs.replace(ticket, running_on=grant.server)
            self.apply(found.enqueue(running, instant), now)
        for waiting in line:
            ticket = waiting.ticket
            waited = now - self.sent_at[ticket.ticket_id]
            moved = msgspec.structs.replace(
                ticket, waited=waited, remaining=ticket.remaining - waited
            )
            self.apply(found.enqueue(moved, instant), now)

    def in_time(self) -> int:
        """Return the number of requests whose first event met the goal."""
        return sum(request.is_in_time for request in self.requests)

    def served(self) -> int:
        """Return the number of requests that were granted a slot."""
        return sum(request.granted_at is not None for request in self.requests)

    def refused_twice(self) -> int:
        """Return the number of requests that were refused twice."""
        return sum(len(request.refusals) > 1 for request in self.requests)

    def refusal_waits(self) -> list[float]:
        """Return the seconds for which refused attempts waited."""
        return [waited for one in self.requests for _, waited, _ in one.refusals]

    def median_refusal_wait(self) -> float:
        """Return the median of the waits for a refusal; 0 if there were none."""
        return statistics.median(self.refusal_waits() or [0.0])


def overload(
    found: goal.GoalScheduler,
    load: float,
    seed: int,
    returns: int = 0,
    seconds: float = RUN_SECONDS,
) -> Play:
    """Play Poisson arrivals at a multiple of the capacity."""
    play = Play(found, returns)
    play.add_poisson(load * CAPACITY, 0.0, seconds, seed)
    play.run(seconds + REMAINING_SECONDS)
    return play
