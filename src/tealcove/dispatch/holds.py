"""Backend servers that a pool's steward keeps from new work."""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.dispatch import cells
from tealcove.peers import message


class Hold(message.Message):
    """Give a server no new work; the steward repeats it until it's over."""

    cell: ids.CellId
    server: ids.BackendServerId
    host: str
    port: int
    # The steward's fencing number; an older one's holds and releases don't count.
    number: ids.FencingNumber
    # Which of the steward's holds this is; its report names the same.
    sequence: int
    # Seconds until the hold ends by itself; 0 ends it now.
    seconds: float


class HoldReport(message.Message):
    """What a dispatcher has done about a hold."""

    cell: ids.CellId
    server: ids.BackendServerId
    sequence: int
    # Whether the server gets no new work, because of the hold or by itself.
    is_held: bool
    # Requests that this dispatcher has granted the server and that haven't ended.
    running: int
    # Whether the entries are still to tell what another dispatcher has granted.
    is_gathering: bool = False


class Address(msgspec.Struct, frozen=True):
    """Where a server listens; its name is known in one pool only."""

    host: str
    port: int


class Holds:
    """The holds in force on an instance, whether it serves their cells or not.

    They end by themselves: the holds of a steward that has died would otherwise
    keep its servers idle for ever.
    """

    def __init__(self) -> None:
        self.held_until: dict[Address, ids.Instant] = {}
        self.fencing_numbers: dict[Address, ids.FencingNumber] = {}

    def apply(self, hold: Hold, now: ids.Instant) -> None:
        """Put a hold in force, or end it.

        A steward that was frozen gives back, when it wakes, what its successor
        holds by now: the engine would get work while its version changes.
        """
        address = Address(hold.host, hold.port)
        if hold.number < self.fencing_numbers.get(address, hold.number):
            return
        self.fencing_numbers[address] = hold.number
        self.held_until.pop(address, None)
        if hold.seconds > 0:
            self.held_until[address] = ids.Instant(now + hold.seconds)

    def of_cell(self, cell: cells.Cell, now: ids.Instant) -> list[ids.BackendServerId]:
        """Return the servers of a cell that get no new work."""
        return [
            ids.BackendServerId(spec.name)
            for spec in cell.servers
            if self.is_held(spec.host, spec.port, now)
        ]

    def is_held(self, host: str, port: int, now: ids.Instant) -> bool:
        """Tell whether a server gets no new work."""
        until = self.held_until.get(Address(host, port))
        return until is not None and now < until


def new_report(hold: Hold, is_held: bool) -> HoldReport:
    """Return a report on a hold of a dispatcher that has granted nothing."""
    return HoldReport(
        cell=hold.cell,
        server=hold.server,
        sequence=hold.sequence,
        is_held=is_held,
        running=0,
    )
