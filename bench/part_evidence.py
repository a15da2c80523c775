"""Compares ways to find a part that crashes servers, in virtual time."""

from __future__ import annotations

import argparse
import contextlib
import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterator

import msgspec

from tealcove import ids
from tealcove.dispatch import suspicion
from tealcove.quarantine import answers, partledger, parts

SERVERS, SLOTS = 8, 5
SECONDS = 30.0
SOUND_RATE = 25.0
SOUND_SECONDS = 1.0
# Seconds from a bad request to the crash, from that to the accusations, and until a
# new incarnation serves.
CRASH_SECONDS = 0.04
NOTICE_SECONDS = 0.01
AWAY_SECONDS = 1.5
# Seconds between two looks at the requests that wait.
WAIT_SECONDS = 0.02
PATIENCE_SECONDS = 2.0
CONTACT_SECONDS = 3.0
LIMITING_CRASH = 5
COMMON, BAD = ids.PartId("common"), ids.PartId("bad")
RARE_PARTS = 200
DIGEST_BITS = 32


class Case(msgspec.Struct, frozen=True):
    """What happens on a site."""

    name: str
    # Seconds between two bad requests, and the start of the first; 0: there are none.
    bad_interval: float = 0.0
    bad_from: float = 5.0
    # Seconds between two crashes of other causes, and how many servers are lost.
    other_interval: float = 0.0
    other_count: int = 1
    # Whether sound requests had the part before.
    was_sound: bool = False


CASES = (
    Case("bad each .03 s", 0.03),
    Case("bad each .1 s", 0.1),
    Case("bad each 1 s", 1.0),
    Case("bad each 4 s", 4.0),
    Case("bad each .1 s, just started", 0.1, bad_from=0.0),
    Case("part turns bad, each .1 s", 0.1, was_sound=True),
    Case("bad each .3 s, others lost each 1 s", 0.3, other_interval=1.0),
    Case("one lost each .3 s", other_interval=0.3),
    Case("half lost each 2 s", other_interval=2.0, other_count=SERVERS // 2),
    Case("all lost each 4 s", other_interval=4.0, other_count=SERVERS),
)


class Way(msgspec.Struct, frozen=True):
    """A way to find the part."""

    name: str
    convicts: bool = True
    acquits: bool = True
    # Whether an answer acquits before its end, once it has been written for a while.
    acquits_early: bool = True
    # Whether requests with a suspected part run one after the other.
    runs_in_turn: bool = True
    # Whether servers that are lost at once count as one event.
    joins_losses: bool = True
    events_to_convict: int = partledger.EVENTS_TO_CONVICT
    hold_seconds: float = answers.ACQUITTAL_SECONDS


WAYS = (
    Way("whole requests only", convicts=False, runs_in_turn=False),
    Way("crashes counted", acquits=False, runs_in_turn=False, joins_losses=False),
    Way("with acquittals", runs_in_turn=False, joins_losses=False),
    Way("with events", runs_in_turn=False),
    Way("one by one, two events", events_to_convict=2),
    Way("one by one, three events"),
    Way("the same, answers hold 0 s", hold_seconds=0.0),
    Way("the same, answers hold 10 s", hold_seconds=10.0),
)


class Request(msgspec.Struct, eq=False):
    """A request and when it came."""

    parts: tuple[ids.PartId, ...]
    arrived: float
    digest: str


class Server(msgspec.Struct, eq=False):
    """A server, its incarnation, and its runs with their starts."""

    number: int
    incarnation: int = 0
    up_at: float = 0.0
    runs: dict[int, tuple[Request, float]] = {}

    @property
    def name(self) -> ids.BackendServerId:
        """The id of its incarnation."""
        return ids.BackendServerId(f"{self.number}/{self.incarnation}")


class Outcome(msgspec.Struct):
    """What was counted in one run."""

    bad_crashes: int = 0
    late: int = 0
    innocents: int = 0
    sound: int = 0
    served: int = 0


class Simulation:
    """One site in virtual time."""

    def __init__(self, case: Case, way: Way, seed: int) -> None:
        self.case, self.way = case, way
        self.random = random.Random(f"{case.name}/{seed}")
        self.ledger = partledger.PartLedger(600.0)
        self.servers = [Server(number) for number in range(SERVERS)]
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.waiting: list[Request] = []
        self.crash_times: list[float] = []
        self.outcome = Outcome()

    def at(self, time: float, act: Callable[[float], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self.events, (time, next(self.numbers), act))

    def run(self) -> Outcome:
        """Run to the end."""
        self.at(0.0, self.sound_arrives)
        self.at(0.0, self.look)
        if self.case.bad_interval:
            self.at(self.case.bad_from, self.bad_arrives)
        if self.case.other_interval:
            self.at(self.case.other_interval, self.lose)
        while self.events and self.events[0][0] < SECONDS:
            time, _, act = heapq.heappop(self.events)
            act(time)
        records = self.ledger.records.items()
        self.outcome.innocents = sum(
            record.ruling.is_convicted for part, record in records if part != BAD
        )
        return self.outcome

    def new_request(self, time: float, *own: ids.PartId) -> Request:
        """Return a request with the common part, and a rare one."""
        rare = ids.PartId(f"rare{int(self.random.paretovariate(1.0)) % RARE_PARTS}")
        digest = f"{self.random.getrandbits(DIGEST_BITS)}"
        return Request((COMMON, *own, rare), time, digest)

    def sound_arrives(self, time: float) -> None:
        """Queue a sound request."""
        has_part = self.case.was_sound and time < self.case.bad_from
        self.waiting.append(self.new_request(time, *((BAD,) if has_part else ())))
        self.outcome.sound += 1
        self.look(time, is_periodic=False)
        self.at(time + self.random.expovariate(SOUND_RATE), self.sound_arrives)

    def bad_arrives(self, time: float) -> None:
        """Queue a bad request."""
        self.waiting.append(self.new_request(time, BAD))
        self.look(time, is_periodic=False)
        self.at(time + self.case.bad_interval, self.bad_arrives)

    def look(self, time: float, is_periodic: bool = True) -> None:
        """Start the waiting requests that may run."""
        for request in list(self.waiting):
            is_over = time - request.arrived > PATIENCE_SECONDS
            is_over = is_over or self.refuses(request, time)
            if is_over or (self.may_start(request, time) and self.start(request, time)):
                self.waiting.remove(request)
        if is_periodic:
            self.at(time + WAIT_SECONDS, self.look)

    def refuses(self, request: Request, time: float) -> bool:
        """Tell whether a request has a convicted part."""
        now = ids.Instant(time)
        if self.way.convicts:
            self.ledger.judge(request.parts, now)
        return any(self.ledger.is_convicted(part, now) for part in request.parts)

    def may_start(self, request: Request, time: float) -> bool:
        """Tell whether a request needn't wait for others with a suspected part."""
        if not self.way.runs_in_turn:
            return True
        now = ids.Instant(time)
        present = request.parts
        if any(self.ledger.is_undecided(part, present, now) for part in present):
            return False
        keys = {part for part in request.parts if self.ledger.events(part, now)}
        return not any(
            not keys.isdisjoint(running.parts)
            for server in self.servers
            for running, _ in server.runs.values()
        )

    def start(self, request: Request, time: float) -> bool:
        """Start a request at the least busy server; return False if none is free."""
        free = [s for s in self.servers if s.up_at <= time and len(s.runs) < SLOTS]
        if not free:
            return False
        server = min(free, key=lambda one: len(one.runs))
        number = next(self.numbers)
        server.runs[number] = (request, time)
        name = server.name
        if BAD in request.parts and time >= self.case.bad_from:
            if len(self.crash_times) >= LIMITING_CRASH:
                since = self.crash_times[LIMITING_CRASH - 1] + CONTACT_SECONDS
                self.outcome.late += time > since
            self.at(time + CRASH_SECONDS, lambda t: self.crash(server, name, t, True))
        else:
            seconds = self.random.expovariate(1.0 / SOUND_SECONDS) + CRASH_SECONDS
            self.at(time + seconds, lambda t: self.end(server, number, t))
            writing = time + CRASH_SECONDS + suspicion.WRITING_SECONDS
            self.at(writing, lambda t: self.note_writing(server, number, t))
        return True

    def end(self, server: Server, number: int, time: float) -> None:
        """End a run whose server has lived on."""
        found = server.runs.pop(number, None)
        if found is None:
            return
        self.outcome.served += 1
        self.acquit(*found, time)

    def note_writing(self, server: Server, number: int, time: float) -> None:
        """Note that a server has been writing an answer for a while."""
        if self.way.acquits_early and number in server.runs:
            self.acquit(*server.runs[number], time)

    def acquit(self, request: Request, started: float, time: float) -> None:
        """Acquit the parts of an answer."""
        if self.way.acquits:
            began = ids.Instant(started + CRASH_SECONDS)
            self.ledger.answer(request.parts, began, ids.Instant(time))

    def lose(self, time: float) -> None:
        """Lose some servers for another reason."""
        alive = [server for server in self.servers if server.up_at <= time]
        for server in self.random.sample(alive, min(len(alive), self.case.other_count)):
            self.crash(server, server.name, time, is_bad=False)
        self.at(time + self.case.other_interval, self.lose)

    def crash(
        self, server: Server, name: ids.BackendServerId, time: float, is_bad: bool
    ) -> None:
        """Crash an incarnation of a server, unless it is gone already."""
        if server.name != name:
            return
        if is_bad:
            self.outcome.bad_crashes += 1
            self.crash_times.append(time)
        lost = list(server.runs.values())
        server.runs = {}
        server.incarnation += 1
        server.up_at = time + AWAY_SECONDS
        self.at(time + NOTICE_SECONDS, lambda t: self.accuse(name, lost, t))

    def accuse(
        self, name: ids.BackendServerId, lost: list[tuple[Request, float]], time: float
    ) -> None:
        """Accuse the parts of what a server ran, except long answers."""
        for request, started in lost:
            sent = started if self.way.joins_losses else math.inf
            crash = parts.Crash(
                name, request.digest, ids.Instant(sent), ids.Instant(time)
            )
            if time - started <= CRASH_SECONDS + suspicion.WRITING_SECONDS:
                self.ledger.accuse(request.parts, crash, ids.Instant(time))


@contextlib.contextmanager
def applied(way: Way) -> Iterator[None]:
    """Set the constants of a way while the context is active."""
    before = partledger.EVENTS_TO_CONVICT, answers.ACQUITTAL_SECONDS
    partledger.EVENTS_TO_CONVICT = way.events_to_convict
    answers.ACQUITTAL_SECONDS = way.hold_seconds
    try:
        yield
    finally:
        partledger.EVENTS_TO_CONVICT, answers.ACQUITTAL_SECONDS = before


def main() -> None:
    """Print a table of all cases and ways."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    seeds = parser.parse_args().seeds
    print("| case | way | crashes: mean, most | late, most | innocents | served |")
    print("| --- | --- | --- | --- | --- | --- |")
    for case in CASES:
        for way in WAYS:
            with applied(way):
                found = [Simulation(case, way, seed).run() for seed in range(seeds)]
            crashes = [one.bad_crashes for one in found]
            served = sum(one.served for one in found) / sum(o.sound for o in found)
            print(
                f"| {case.name} | {way.name} | {sum(crashes) / seeds:.1f}, "
                f"{max(crashes)} | {max(one.late for one in found)} | "
                f"{sum(one.innocents for one in found)} | {served:.2f} |"
            )


if __name__ == "__main__":
    main()
