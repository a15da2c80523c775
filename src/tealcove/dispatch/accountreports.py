"""Exchange of the accounts' demand and use between the dispatchers of a service.

An instance that takes a cell over goes on from what it was last told, and the
dispatchers of a service's cells share the sum of their slots.
"""

from __future__ import annotations

import abc
import itertools
import math
from collections.abc import Callable, Iterator

import logbook
import msgspec

from tealcove import clock, ids
from tealcove.dispatch import accountshares, accountuse, cells
from tealcove.membership import members
from tealcove.peers import mesh, message

log = logbook.Logger("dispatch")

# Seconds between two messages on a cell.
REPORT_INTERVAL = 0.5
# Seconds after which a message no longer counts. Four are missing by then, so that its
# sender is dead or cut off.
MAX_AGE = 2.0
# Instances next in rank that are told: one, and one more in case that it dies as well.
SUCCESSORS = 2
# Accounts in a message, which bounds it to 3 KB; the others are summed up.
MAX_ACCOUNTS = 64
# Seconds between two log lines on messages that can't be read.
LOG_INTERVAL = 10.0

FindCell = Callable[[ids.CellId], cells.Cell | None]


class AccountUse(message.Message):
    """What the accounts of a cell demand and use at its dispatcher, in slots."""

    service: ids.PoolId
    cell: ids.CellId
    # Slots of the cell's servers.
    slots: float
    figures: tuple[accountuse.Figures, ...]


class Heard(msgspec.Struct, frozen=True):
    """A message and when it was received."""

    told: AccountUse
    at: ids.Instant

    def is_fresh(self, now: ids.Instant) -> bool:
        """Tell whether it still counts."""
        return now - self.at <= MAX_AGE


class AccountSharing(abc.ABC):
    """Provides the shares of each cell that a dispatcher serves."""

    @abc.abstractmethod
    def start(self) -> None:
        """Register the message handlers."""

    @abc.abstractmethod
    def of_cell(
        self, cell: cells.Cell, now: ids.Instant
    ) -> accountshares.AccountShares:
        """Return new shares for a cell that is served from now on."""

    @abc.abstractmethod
    def advance(self, now: ids.Instant) -> None:
        """Send what is due; called periodically."""

    @abc.abstractmethod
    def forget(self, cell: ids.CellId) -> None:
        """Drop the shares of a cell that is no longer served."""


class NoSharing(AccountSharing):
    """Treats all accounts alike, and ignores what others tell."""

    def __init__(self, transport: mesh.Mesh) -> None:
        self.transport = transport

    def start(self) -> None:
        """See AccountSharing.

        Without a handler, each message of an instance that has the group enabled would
        be logged as one that can't be decoded.
        """
        self.transport.handle(AccountUse, lambda sender, told: None)

    def of_cell(
        self, cell: cells.Cell, now: ids.Instant
    ) -> accountshares.AccountShares:
        """See AccountSharing."""
        return accountshares.NoAccountShares()

    def advance(self, now: ids.Instant) -> None:
        """See AccountSharing."""

    def forget(self, cell: ids.CellId) -> None:
        """See AccountSharing."""


class FairSharing(AccountSharing):
    """Shares by weight, of what all dispatchers of a service measure."""

    def __init__(
        self,
        transport: mesh.Mesh,
        known: members.Members,
        find_cell: FindCell,
        weights: accountshares.AccountWeights,
    ) -> None:
        self.transport = transport
        self.members = known
        self.find_cell = find_cell
        self.weights = weights
        self.served: dict[ids.CellId, accountuse.MeasuredShares] = {}
        # The last message of each instance on each cell.
        self.heard: dict[tuple[ids.CellId, ids.InstanceId], Heard] = {}
        # The cells whose last message was sent under contention.
        self.announced: set[ids.CellId] = set()
        self.next_report = ids.Instant(0.0)
        self.next_log = ids.Instant(0.0)

    def start(self) -> None:
        """See AccountSharing."""
        self.transport.handle(AccountUse, self.handle_use)

    def handle_use(self, sender: ids.InstanceId, told: AccountUse) -> None:
        """Record what another dispatcher measures."""
        self.record(sender, told, clock.now())

    def record(
        self, sender: ids.InstanceId, told: AccountUse, now: ids.Instant
    ) -> None:
        """Record a message of another dispatcher; one with invalid figures is ignored.

        The last valid one counts until it is too old.
        """
        problem = find_problem(told)
        if problem is None:
            self.heard[told.cell, sender] = Heard(told, now)
            self.combine(told.service, now)
        elif now >= self.next_log:
            self.next_log = ids.Instant(now + LOG_INTERVAL)
            log.warning(
                "ignored the account use of {} from {}: {}; run the same version on "
                "all instances",
                told.cell,
                sender,
                problem,
            )

    def of_cell(
        self, cell: cells.Cell, now: ids.Instant
    ) -> accountshares.AccountShares:
        """See AccountSharing.

        The shares go on from the last messages on this cell. These are dropped then:
        what they told would count twice.
        """
        shares = accountuse.MeasuredShares(cell.cell_id, self.weights)
        for cell_id, sender in [key for key in self.heard if key[0] == cell.cell_id]:
            last = self.heard.pop((cell_id, sender))
            if last.is_fresh(now):
                shares.seed(last.told.figures, now - last.at, now)
                log.info(
                    "goes on with the account use of {} from {}, {:.2f} s old",
                    cell_id,
                    sender,
                    now - last.at,
                )
        self.served[cell.cell_id] = shares
        self.combine(cell.pool, now)
        return shares

    def forget(self, cell: ids.CellId) -> None:
        """See AccountSharing."""
        self.served.pop(cell, None)
        self.announced.discard(cell)

    def advance(self, now: ids.Instant) -> None:
        """See AccountSharing."""
        if now < self.next_report:
            return
        self.next_report = ids.Instant(now + REPORT_INTERVAL)
        for key in [key for key, one in self.heard.items() if not one.is_fresh(now)]:
            del self.heard[key]
        for service in {cells.pool_of(cell) for cell in self.served}:
            self.combine(service, now)
        for cell_id, shares in self.served.items():
            shares.refresh(now)
            is_contended = shares.is_contended()
            # One message follows the end of a contention.
            if is_contended or cell_id in self.announced:
                self.report(cell_id, shares, now)
            if is_contended:
                self.announced.add(cell_id)
            else:
                self.announced.discard(cell_id)

    def report(
        self, cell_id: ids.CellId, shares: accountuse.MeasuredShares, now: ids.Instant
    ) -> None:
        """Tell a cell's figures to those who need them."""
        told = self.message(cell_id, shares, now)
        for instance in self.recipients(cell_id, now):
            peer = self.members.endpoint_of(instance)
            if peer is not None:
                self.transport.send(peer, told)

    def message(
        self, cell_id: ids.CellId, shares: accountuse.MeasuredShares, now: ids.Instant
    ) -> AccountUse:
        """Return the message on a cell."""
        return AccountUse(
            service=cells.pool_of(cell_id),
            cell=cell_id,
            slots=shares.count_slots(now),
            figures=accountuse.summed_up(shares.figures(), MAX_ACCOUNTS),
        )

    def recipients(self, cell_id: ids.CellId, now: ids.Instant) -> set[ids.InstanceId]:
        """Return the next in rank and the dispatchers of the service's other cells."""
        found = set()
        for cell in self.cells_of(cells.pool_of(cell_id)):
            ranked = self.members.rank(cell.cell_id, now, cell.data_centre)
            is_own = cell.cell_id == cell_id
            found.update(ranked[: SUCCESSORS + 1] if is_own else ranked[:1])
        return found - {self.members.own.instance}

    def cells_of(self, service: ids.PoolId) -> Iterator[cells.Cell]:
        """Return the cells of a service."""
        for number in itertools.count():
            cell = self.find_cell(ids.CellId(f"{service}/{number}"))
            if cell is None:
                return
            yield cell

    def combine(self, service: ids.PoolId, now: ids.Instant) -> None:
        """Tell each served cell of a service what is measured elsewhere."""
        for cell_id, shares in self.served.items():
            if cells.pool_of(cell_id) != service:
                continue
            others = [
                one.told
                for one in self.heard.values()
                if one.told.service == service and one.is_fresh(now)
            ]
            others += [
                self.message(other, found, now)
                for other, found in self.served.items()
                if other != cell_id and cells.pool_of(other) == service
            ]
            # A cell with two dispatchers has its slots only once.
            slots = {one.cell: one.slots for one in others if one.cell != cell_id}
            figures = [figure for one in others for figure in one.figures]
            shares.set_elsewhere(figures, sum(slots.values()))


def find_problem(told: AccountUse) -> str | None:
    """Return what is wrong with a message's figures; None if nothing is."""
    if not is_amount(told.slots):
        return f"slots is {told.slots}, not a number from 0"
    if told.service != cells.pool_of(told.cell):
        return f"service is {told.service!r}, not that of the cell"
    for one in told.figures:
        for name, value in (("demand", one.demand), ("use", one.use)):
            if not is_amount(value):
                return (
                    f"{name} of account {one.account} is {value}, not a number from 0"
                )
    return None


def is_amount(value: float) -> bool:
    """Tell whether a figure is a finite number from 0."""
    return math.isfinite(value) and value >= 0.0
