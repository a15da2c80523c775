"""Exchange of the bytes between data centres among all dispatchers of a deployment."""

from __future__ import annotations

import abc
from collections.abc import Callable, Iterable

import logbook

from tealcove import clock, ids
from tealcove.dispatch import accountreports, budgets, cells, crossinguse
from tealcove.membership import members
from tealcove.peers import mesh, message

log = logbook.Logger("dispatch")

# Seconds between two messages.
REPORT_INTERVAL = 0.5
# Seconds after which a message no longer counts. Four are missing by then, so that its
# sender is dead, cut off, or lets nothing cross.
MAX_AGE = 2.0
# Seconds between two log lines on messages that can't be read.
LOG_INTERVAL = 10.0

ListCells = Callable[[], Iterable[cells.Cell]]


class CrossingUse(message.Message):
    """The bytes that a dispatcher let cross lately, by pair of data centres."""

    uses: tuple[crossinguse.PairUse, ...]


class CrossingReports(abc.ABC):
    """Divides the budgets between data centres among dispatchers."""

    @abc.abstractmethod
    def start(self) -> None:
        """Register the message handler."""

    @abc.abstractmethod
    def advance(self, now: ids.Instant) -> None:
        """Send what is due and drop what is too old; called periodically."""


class NoReports(CrossingReports):
    """Ignores what others tell."""

    def __init__(self, transport: mesh.Mesh) -> None:
        self.transport = transport

    def start(self) -> None:
        """See CrossingReports.

        Without a handler, each message of an instance that has the group enabled would
        be logged as one that can't be decoded.
        """
        self.transport.handle(CrossingUse, lambda sender, told: None)

    def advance(self, now: ids.Instant) -> None:
        """See CrossingReports."""


class SharedBudgets(CrossingReports):
    """Takes the part of each budget that this dispatcher's use has of all use."""

    def __init__(
        self,
        transport: mesh.Mesh,
        known: members.Members,
        list_cells: ListCells,
        own: budgets.Budgets,
    ) -> None:
        self.transport = transport
        self.members = known
        # Returns the cells of all services.
        self.list_cells = list_cells
        self.budgets = own
        # The last message of each other dispatcher, and when it was received.
        self.heard: dict[ids.InstanceId, tuple[CrossingUse, ids.Instant]] = {}
        # Whether the last message told of crossings; one without any follows.
        self.has_told = False
        self.next_report = ids.Instant(0.0)
        self.next_log = ids.Instant(0.0)

    def start(self) -> None:
        """See CrossingReports."""
        self.transport.handle(CrossingUse, self.handle_use)

    def handle_use(self, sender: ids.InstanceId, told: CrossingUse) -> None:
        """Record what another dispatcher lets cross."""
        self.record(sender, told, clock.now())

    def record(
        self, sender: ids.InstanceId, told: CrossingUse, now: ids.Instant
    ) -> None:
        """Record a message; one with invalid figures is ignored.

        The last valid one counts until it is too old.
        """
        problem = find_problem(told)
        if problem is not None:
            self.log_problem(sender, problem, now)
            return
        if not told.uses:
            self.heard.pop(sender, None)
        else:
            if sender not in self.heard:
                log.info("shares the budgets between data centres with {}", sender)
            self.heard[sender] = (told, now)
        self.divide(now)

    def log_problem(
        self, sender: ids.InstanceId, problem: str, now: ids.Instant
    ) -> None:
        """Log why a message is ignored, at most once in an interval."""
        if now < self.next_log:
            return
        self.next_log = ids.Instant(now + LOG_INTERVAL)
        log.warning(
            "ignored the bytes between data centres of {}: {}; run the same version "
            "on all instances",
            sender,
            problem,
        )

    def advance(self, now: ids.Instant) -> None:
        """See CrossingReports."""
        if now < self.next_report:
            return
        self.next_report = ids.Instant(now + REPORT_INTERVAL)
        self.drop_silent(now)
        self.divide(now)
        uses = tuple(
            crossinguse.PairUse(*pair, size)
            for pair, size in self.budgets.recent.totals(now).items()
        )
        if uses or self.has_told:
            self.report(CrossingUse(uses=uses), now)
        self.has_told = bool(uses)

    def drop_silent(self, now: ids.Instant) -> None:
        """Drop the figures of dispatchers that have been silent for too long."""
        for sender, (_, at) in list(self.heard.items()):
            if now - at > MAX_AGE:
                del self.heard[sender]
                log.info(
                    "{} has told no bytes between data centres for {:.1f} s: its part "
                    "of the budgets is free",
                    sender,
                    now - at,
                )

    def divide(self, now: ids.Instant) -> None:
        """Apply the parts of the budgets that follow from all use."""
        own = self.budgets.recent.totals(now)
        told = [use.uses for use, at in self.heard.values() if now - at <= MAX_AGE]
        self.budgets.divide(crossinguse.shares(own, told), now)

    def report(self, told: CrossingUse, now: ids.Instant) -> None:
        """Tell all other dispatchers."""
        for instance in self.recipients(now):
            peer = self.members.endpoint_of(instance)
            if peer is not None:
                self.transport.send(peer, told)

    def recipients(self, now: ids.Instant) -> set[ids.InstanceId]:
        """Return the dispatchers of all cells, and all that have told their use.

        The latter may serve a cell for another reason, such as a rank that differs.
        """
        found = set(self.heard)
        for cell in self.list_cells():
            found.update(self.members.rank(cell.cell_id, now, cell.data_centre)[:1])
        return found - {self.members.own.instance}


def find_problem(told: CrossingUse) -> str | None:
    """Return what is wrong with a message's figures; None if nothing is."""
    for one in told.uses:
        if not accountreports.is_amount(one.bytes):
            return (
                f"bytes from {one.entry} to {one.server} is {one.bytes}, not a number "
                "from 0"
            )
    return None
