"""What the answers that an entry got say of the limits of backend servers."""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.dispatch import messages

# Seconds for which a statement is kept.
KEPT_SECONDS = 60.0


class Statement(msgspec.Struct, frozen=True):
    """The last statement of one server."""

    start: ids.ServerStart
    # Requests a second; None: it has ended its limit.
    rate: float | None
    # When the answer arrived.
    at: ids.Instant


class StatedLimits:
    """The last statement of each server, by cell.

    Each ticket carries those of its cell, so that a new dispatcher knows the limits
    before it grants anything.
    """

    def __init__(self) -> None:
        self.statements: dict[ids.CellId, dict[ids.BackendServerId, Statement]] = {}

    def record(self, cell: ids.CellId, grant: messages.Grant, said: Statement) -> None:
        """Record what the server of a grant said."""
        self.statements.setdefault(cell, {})[grant.server] = said

    def of_cell(
        self, cell: ids.CellId, now: ids.Instant
    ) -> tuple[messages.StatedLimit, ...]:
        """Return the statements of a cell's servers, and drop the old ones."""
        known = self.statements.get(cell)
        if known is None:
            return ()
        for server in [s for s, k in known.items() if now - k.at > KEPT_SECONDS]:
            del known[server]
        if not known:
            del self.statements[cell]
        return tuple(
            messages.StatedLimit(server, said.start, said.rate, now - said.at)
            for server, said in known.items()
        )
