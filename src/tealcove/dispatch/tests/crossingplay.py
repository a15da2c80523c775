"""Dispatchers that exchange the bytes between data centres, in virtual time."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from tealcove import ids
from tealcove.dispatch import budgets, crossing, crossingreports, crossinguse
from tealcove.dispatch.tests import builders, transport, waves
from tealcove.membership.tests import builders as membership
from tealcove.peers import message

PAIR = (ids.DataCentreId("dc-1"), ids.DataCentreId("dc-2"))
OTHER_PAIR = (ids.DataCentreId("dc-2"), ids.DataCentreId("dc-1"))
RATE = 100_000.0
SIZE = 1000.0
STEP = 0.01
NEVER_SUSPECTED = 1000.0
# Dispatcher, receiver and time of a message; whether it is lost.
Loss = Callable[[int, int, float], bool]


class HandlingMesh(transport.RecordingMesh):
    """Records handlers as well."""

    def __init__(self) -> None:
        super().__init__()
        self.handlers: dict[type[message.Message], Callable[..., None]] = {}

    def handle(
        self, message_type: type[message.Message], handler: Callable[..., None]
    ) -> None:
        """Record a handler."""
        self.handlers[message_type] = handler


class Play:
    """Dispatchers of as many cells that all want to cross between two data centres."""

    def __init__(self, count: int, is_lost: Loss = lambda *_: False) -> None:
        self.is_lost = is_lost
        self.at = 0.0
        self.meshes = [transport.RecordingMesh() for _ in range(count)]
        self.spent = [budgets.Budgets(RATE) for _ in range(count)]
        self.silent: set[int] = set()
        self.reports = [self.reports_of(number, count) for number in range(count)]

    def reports_of(self, number: int, count: int) -> crossingreports.SharedBudgets:
        known = membership.known(number)
        known.suspect_after = NEVER_SUSPECTED
        for other in range(count):
            if other != number:
                beat = membership.heartbeat(other)
                known.record_heartbeat(beat, builders.instant(0.0))
        # Enough cells for each instance to dispatch some of them.
        cells = [
            msgspec.structs.replace(
                builders.cell(builders.server("s", 1)), cell_id=ids.CellId(f"p/{n}")
            )
            for n in range(8 * count)
        ]
        return crossingreports.SharedBudgets(
            self.meshes[number], known, lambda: cells, self.spent[number]
        )

    def run(self, until: float, *demands: float) -> list[float]:
        """Return the bytes that each dispatcher lets cross; demands are bytes a second.

        They want nothing that is beyond the budget.
        """
        before = [one.bytes for one in self.spent]
        wanted = [0.0] * len(demands)
        while self.at < until:
            now = builders.instant(self.at)
            for number, demand in enumerate(demands):
                if number in self.silent:
                    continue
                wanted[number] += demand * STEP
                while wanted[number] >= SIZE:
                    wanted[number] -= SIZE
                    if self.spent[number].allows(PAIR, SIZE, now):
                        self.spent[number].spend(PAIR, SIZE, now)
                self.reports[number].advance(now)
            self.deliver(now)
            self.at += STEP
        return [one.bytes - b for one, b in zip(self.spent, before, strict=True)]

    def deliver(self, now: ids.Instant) -> None:
        for sender, mesh in enumerate(self.meshes):
            sent, mesh.sent = mesh.sent, []
            for one in sent:
                receiver = one.port - membership.heartbeat(0).peer_port
                if receiver in self.silent or self.is_lost(sender, receiver, self.at):
                    continue
                self.reports[receiver].record(name(sender), one.content, now)

    def share(self, number: int) -> float:
        return self.spent[number].share(PAIR)


def name(number: int) -> ids.InstanceId:
    return membership.heartbeat(number).instance


def use(size: float, pair: crossinguse.Pair = PAIR) -> crossingreports.CrossingUse:
    return crossingreports.CrossingUse(uses=(crossinguse.PairUse(*pair, size),))


def play_waves(seed: int, is_shared: bool) -> list[waves.Waves]:
    """Play opposite waves in two cells, whose dispatchers tell their use or don't."""
    play = Play(2)
    played = [
        waves.Waves(crossing.BudgetedCrossing(spent), seed + number, seconds=15.0)
        for number, spent in enumerate(play.spent)
    ]
    for one in play.spent:
        one.rate = RATE / 2
    for one in played:
        one.plan()
    while any(one.events for one in played):
        first = min((one for one in played if one.events), key=lambda o: o.events[0][0])
        first.step()
        if is_shared:
            now = first.instant()
            for reports in play.reports:
                reports.advance(now)
            play.deliver(now)
    return played
