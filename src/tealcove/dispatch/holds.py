"""Holds: backend servers that get no new work, by order of a pool's steward."""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.dispatch import cells
from tealcove.peers import message


class Hold(message.Message):
    """Order to give a server no new work; repeated until the hold is over."""

    cell: ids.CellId
    server: ids.BackendServerId
    host: str
    port: int
    # The steward's fencing number; holds and releases with older ones are ignored.
    number: ids.FencingNumber
    # The number of the hold, repeated in its report.
    sequence: int
    # Seconds until the hold expires; 0 releases it now.
    seconds: float


class HoldReport(message.Message):
    """A dispatcher's answer to a hold."""

    cell: ids.CellId
    server: ids.BackendServerId
    sequence: int
    # Whether the server gets no new work, by the hold or by its own state.
    is_held: bool
    # Unfinished requests that this dispatcher has granted the server.
    running: int
    # Whether requests granted by another dispatcher are still being gathered.
    is_gathering: bool = False


class Address(msgspec.Struct, frozen=True):
    """A server's address; a name identifies a server in one pool only."""

    host: str
    port: int


class Holds:
    """The holds in force on an instance, whether it serves their cells or not.

    They expire: the holds of a steward that has died would otherwise keep its servers
    idle for ever.
    """

    def __init__(self) -> None:
        self.held_until: dict[Address, ids.Instant] = {}
        self.fencing_numbers: dict[Address, ids.FencingNumber] = {}

    def apply(self, hold: Hold, now: ids.Instant) -> None:
        """Put a hold in force, or release it.

        Older fencing numbers are ignored: a steward that resumes after a freeze would
        release its successor's hold, and the engine would get work while its version
        changes.
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
    """Return the report of a dispatcher that has granted the server nothing."""
    return HoldReport(
        cell=hold.cell,
        server=hold.server,
        sequence=hold.sequence,
        is_held=is_held,
        running=0,
    )
