"""Servers in virtual time that state their load, and requests for them."""

from __future__ import annotations

import collections
import enum
import itertools
import random

import msgspec

from tealcove import ids
from tealcove.dispatch import batchtimes, goal, messages
from tealcove.dispatch.tests import builders

SLOTS = 5
# Seconds to a first event and from there to the end, on a server of speed 1.
FIRST_SECONDS = 0.1
STREAM_SECONDS = 0.4
TOKENS = 40
PROMPT = 1000
GOAL_SECONDS = 0.6
DEADLINE_SECONDS = 8.0
# A slow moment: its length in seconds and how much longer work takes.
SLOW_SECONDS = 0.6
SLOW_FACTOR = 2.5
SLOW_SHARE = 0.15
# Work is computed in steps of so many seconds.
STEP_SECONDS = 0.01
NORMAL_TIME = 100.0
# How late a late statement is, in seconds.
LATE_SECONDS = 1.0


class Stating(enum.Enum):
    """What servers state of the time that work takes."""

    NOTHING = "nothing"
    TRULY = "truly"
    INVERTED = "inverted"
    CONSTANT = "constant"
    LATE = "late"


class Work(msgspec.Struct):
    """A request that runs on a server."""

    grant: messages.Grant
    sent_at: float
    # Seconds of work left before the first event and the end, at speed 1.
    first_left: float
    end_left: float
    first_at: float | None = None
    # Longest pause in seconds between two tokens.
    worst_gap: float = 0.0


class Case(msgspec.Struct, frozen=True):
    """One run: the servers, the load on them, and what they state."""

    stating: Stating = Stating.TRULY
    seed: int = 1
    seconds: float = 8.0
    # Times as long as work takes on each server outside of slow moments.
    speeds: tuple[float, ...] = (1.0,) * 30
    # Requests a second, as a share of what the servers can do.
    share: float = 0.8
    goal: float = GOAL_SECONDS
    is_used: bool = True
    # Whether the scheduler learns the time per token by batch size.
    learns_batches: bool = True
    # Relative time per token by the share of the slots that are used; empty: 1.
    slowdown: tuple[float, ...] = ()
    gap: float = 0.0


class Result(msgspec.Struct):
    """How the requests of a run ended."""

    arrived: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    # Seconds to the first events.
    firsts: list[float] = []


class EqualTimes(batchtimes.BatchTimes):
    """Takes all batch sizes for equally fast."""

    def learn(self, batch: float, ratio: float) -> None:
        """See BatchTimes."""


class Simulation:
    """Plays one case against a goal scheduler."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.random = random.Random(case.seed)
        self.scheduler = goal.GoalScheduler()
        if case.is_used:
            self.scheduler.use_server_load()
            if not case.learns_batches:
                self.scheduler.views.loads.times[SLOTS] = EqualTimes(SLOTS)
        self.names = [f"s{number}" for number in range(len(case.speeds))]
        specs = [builders.server(name, SLOTS) for name in self.names]
        self.scheduler.configure(builders.cell(*specs), builders.instant(0.0))
        self.running: dict[str, list[Work]] = {name: [] for name in self.names}
        self.factors: dict[str, collections.deque[float]] = {
            name: collections.deque(maxlen=round(LATE_SECONDS / STEP_SECONDS) + 1)
            for name in self.names
        }
        self.slow_until = dict.fromkeys(self.names, 0.0)
        self.arrived: dict[ids.TicketId, float] = {}
        self.result = Result()

    def capacity(self) -> float:
        """Return the requests a second that the servers can do."""
        slowed = 1.0 - SLOW_SHARE + SLOW_SHARE / SLOW_FACTOR
        each = SLOTS / (FIRST_SECONDS + STREAM_SECONDS)
        return sum(each / speed for speed in self.case.speeds) * slowed

    def play(self) -> Result:
        """Play the case to its end."""
        rate = self.case.share * self.capacity()
        next_arrival = self.random.expovariate(rate)
        for step in itertools.count():
            at = step * STEP_SECONDS
            if at > self.case.seconds + DEADLINE_SECONDS:
                return self.result
            self.slow_down(at)
            for name, speed in zip(self.names, self.case.speeds, strict=True):
                self.advance(name, speed, at)
            while next_arrival <= at and next_arrival < self.case.seconds:
                self.arrive(at)
                next_arrival += self.random.expovariate(rate)
            if step % 5 == 0:
                self.apply(self.scheduler.tick(builders.instant(at)), at)
            if at > self.case.seconds and not self.arrived:
                return self.result

    def slow_down(self, at: float) -> None:
        """Begin the slow moments, so that SLOW_SHARE of the servers are slow."""
        slow = sum(until > at for until in self.slow_until.values())
        sound = [name for name in self.names if self.slow_until[name] <= at]
        wanted = round(SLOW_SHARE * len(self.names))
        for name in self.random.sample(sound, max(0, wanted - slow)):
            # The first ones end at different times.
            length = SLOW_SECONDS if at else self.random.uniform(0.0, SLOW_SECONDS)
            self.slow_until[name] = at + length
        for name, until in self.slow_until.items():
            self.factors[name].append(SLOW_FACTOR if until > at else 1.0)

    def stated(self, name: str) -> messages.StatedLoad | None:
        """Return what a server states now."""
        factors = self.factors[name]
        true = factors[-1]
        factor = {
            Stating.NOTHING: None,
            Stating.TRULY: true,
            Stating.INVERTED: SLOW_FACTOR if true == 1.0 else 1.0,
            Stating.CONSTANT: SLOW_FACTOR,
            Stating.LATE: factors[0],
        }[self.case.stating]
        if factor is None:
            return None
        return messages.StatedLoad(len(self.running[name]), 0, SLOTS, factor)

    def advance(self, name: str, speed: float, at: float) -> None:
        """Compute one step of a server's work."""
        running = self.running[name]
        if not running:
            return
        curve = self.case.slowdown
        batch = curve[len(running) - 1] if curve else 1.0
        done = STEP_SECONDS / (speed * self.factors[name][-1])
        for work in list(running):
            if work.first_at is None:
                work.first_left -= done
                if work.first_left <= 0.0:
                    work.first_at = at
                    self.report_first(name, work, at)
                continue
            work.end_left -= done / batch
            pause = STREAM_SECONDS / TOKENS * STEP_SECONDS / done * batch
            work.worst_gap = max(work.worst_gap, pause)
            if work.end_left <= 0.0:
                self.end(name, work, at)

    def report_first(self, name: str, work: Work, at: float) -> None:
        """Report a first event."""
        progress = messages.Progress(
            ticket_id=work.grant.ticket_id,
            cell=builders.CELL,
            first_token_seconds=at - work.sent_at,
            load=self.stated(name),
        )
        self.apply(self.scheduler.progress(progress, builders.instant(at)), at)

    def end(self, name: str, work: Work, at: float) -> None:
        """Report the end of a request."""
        self.running[name].remove(work)
        done = builders.done(
            work.grant,
            prompt_tokens=PROMPT,
            output_tokens=TOKENS,
            first_token_seconds=work.first_at - work.sent_at,
            total_seconds=at - work.sent_at,
            load=self.stated(name),
        )
        arrived = self.arrived.pop(work.grant.ticket_id)
        first = work.first_at - arrived
        self.result.firsts.append(first)
        is_in_time = first <= self.case.goal and at - arrived <= DEADLINE_SECONDS
        is_steady = not self.case.gap or work.worst_gap <= self.case.gap
        if is_in_time and is_steady:
            self.result.in_time += 1
        else:
            self.result.late += 1
        self.apply(self.scheduler.done(done, builders.instant(at)), at)

    def arrive(self, at: float, remaining: float = DEADLINE_SECONDS) -> None:
        """Send a new request to the scheduler."""
        ticket = builders.ticket(
            prompt_tokens=PROMPT,
            output_tokens=TOKENS,
            expected_tokens=TOKENS,
            remaining=remaining,
            goal=self.case.goal,
            gap=self.case.gap,
        )
        self.result.arrived += 1
        self.arrived[ticket.ticket_id] = at
        self.apply(self.scheduler.enqueue(ticket, builders.instant(at)), at)

    def apply(self, outgoing: list, at: float) -> None:
        """Start granted requests, and count refusals."""
        for grant in builders.granted(outgoing):
            work = Work(grant, at, FIRST_SECONDS, STREAM_SECONDS)
            self.running[grant.server].append(work)
        for refusal in builders.refused(outgoing):
            del self.arrived[refusal.ticket_id]
            self.result.refused += 1
