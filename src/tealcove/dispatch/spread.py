"""The entry's choice among the cells of a pool, by affinity and load."""

from __future__ import annotations

import collections
import hashlib
import typing
from collections.abc import Callable

import msgspec

from tealcove import count, ids
from tealcove.dispatch import cells
from tealcove.resources import kinds

# By how many of this entry's tickets per slot the near cell's load must exceed the
# other's before a request goes to the other, where its prefix isn't cached.
LOAD_LEAD = 0.5
DIGEST_BYTES = 8

Delay = Callable[[ids.DataCentreId], float]


class Pools(typing.Protocol):
    """The pools in force, by name."""

    def pool(self, name: str) -> kinds.Resource | None:
        """Return a pool; None when there is none of that name."""

    def has_left(
        self,
        name: str,
        server: ids.BackendServerId,
        start: ids.ServerStart,
        revision: ids.Revision,
    ) -> bool:
        """Tell whether a start of a server, in a pool at a revision, has left since."""


class PoolsOwner(typing.Protocol):
    """The owner of the pools in force."""

    @property
    def current(self) -> Pools:
        """The pools in force."""


class PoolDivision(msgspec.Struct, frozen=True):
    """A pool with its cells, and those of them that are nearest."""

    pool: kinds.Resource
    cells: tuple[cells.Cell, ...]
    near: tuple[cells.Cell, ...]


class Spread:
    """Divides pools into cells and balances requests over them.

    The hash of the prompt's beginning chooses the cell, so that requests that share a
    prefix get the same cell, whose backend servers have it cached. If that cell has
    much more of this entry's load than a second one, the second is chosen (power of
    two choices): one popular prefix mustn't overload a single cell.
    """

    def __init__(
        self,
        own: PoolsOwner,
        delay: Delay,
        cell_servers: int = kinds.CELL_SERVERS,
    ) -> None:
        self.copy = own
        self.delay = delay
        # The most backend servers in one cell.
        self.cell_servers = cell_servers
        self.divisions: dict[str, PoolDivision] = {}
        # This entry's queued or running tickets, by cell.
        self.tickets: collections.Counter[ids.CellId] = collections.Counter()

    def divide(self, pool: kinds.Resource) -> PoolDivision:
        """Return the cells of a pool; they are computed once per change of the pool."""
        known = self.divisions.get(pool.metadata.name)
        if known is not None and known.pool is pool:
            return known
        divided_cells = cells.of_pool(
            ids.PoolId(pool.metadata.name), pool.spec, self.cell_servers
        )
        revision = pool.metadata.revision
        divided_cells = tuple(
            msgspec.structs.replace(cell, revision=revision) for cell in divided_cells
        )
        nearest = min(self.distance(cell) for cell in divided_cells)
        near = tuple(cell for cell in divided_cells if self.distance(cell) == nearest)
        divided = PoolDivision(pool, divided_cells, near)
        self.divisions[pool.metadata.name] = divided
        return divided

    def distance(self, cell: cells.Cell) -> float:
        """Return the delay in seconds to a cell's data centre."""
        return 0.0 if cell.data_centre is None else self.delay(cell.data_centre)

    def find(self, cell_id: ids.CellId) -> cells.Cell | None:
        """Return the cell with an id in the configuration in force, or None."""
        name, _, text = cell_id.rpartition("/")
        pool = self.copy.current.pool(name)
        number = count.read(text)
        if pool is None or number is None:
            return None
        pool_cells = self.divide(pool).cells
        return pool_cells[number] if number < len(pool_cells) else None

    def has_left(
        self,
        cell_id: ids.CellId,
        server: ids.BackendServerId,
        start: ids.ServerStart,
        revision: ids.Revision,
    ) -> bool:
        """Tell whether a start of a server, in a cell at a revision, has left since."""
        name = cells.pool_of(cell_id)
        return self.copy.current.has_left(name, server, start, revision)

    def version_of(
        self,
        cell_id: ids.CellId,
        server: ids.BackendServerId,
        start: ids.ServerStart,
    ) -> ids.SoftwareVersion | None:
        """Return the software version of a start of a server; None if not known."""
        pool = self.copy.current.pool(cells.pool_of(cell_id))
        for spec in () if pool is None else pool.spec.servers:
            if spec.name == server and spec.start == start:
                return spec.version
        return None

    def choose_of_version(
        self, pool: kinds.Resource, affinity: str, version: ids.SoftwareVersion
    ) -> cells.Cell | None:
        """Return the cell for a stream that a version began; None if it has left."""
        fitting = [
            cell
            for cell in self.divide(pool).cells
            if any(server.version == version for server in cell.servers)
        ]
        chosen = self.choose(pool, affinity)
        if chosen in fitting:
            return chosen
        return min(fitting, key=self.load, default=None)

    def choose(self, pool: kinds.Resource, affinity: str) -> cells.Cell:
        """Return the cell for a request; `affinity` is equal for a shared prefix."""
        divided = self.divide(pool)
        if len(divided.cells) == 1:
            return divided.cells[0]
        digest = hashlib.blake2b(
            affinity.encode(), digest_size=2 * DIGEST_BYTES
        ).digest()
        first = pick(divided.near, digest[:DIGEST_BYTES])
        second = pick(divided.cells, digest[DIGEST_BYTES:])
        if self.load(first) > self.load(second) + LOAD_LEAD:
            return second
        return first

    def load(self, cell: cells.Cell) -> float:
        """Return this entry's number of tickets per slot of a cell."""
        slots = sum(server.slots for server in cell.servers)
        return self.tickets[cell.cell_id] / max(1, slots)

    def begin(self, cell_id: ids.CellId) -> None:
        """Count a ticket that is about to be sent."""
        self.tickets[cell_id] += 1

    def end(self, cell_id: ids.CellId) -> None:
        """Stop counting a ticket; a cell without tickets is removed."""
        self.tickets[cell_id] -= 1
        if self.tickets[cell_id] <= 0:
            del self.tickets[cell_id]


def pick(choices: tuple[cells.Cell, ...], digest: bytes) -> cells.Cell:
    """Return the cell that a digest selects."""
    return choices[int.from_bytes(digest) % len(choices)]
