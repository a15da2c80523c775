"""The division of a pool into cells, the same on every instance."""

from __future__ import annotations

import collections
import functools

import msgspec

from tealcove import ids
from tealcove.resources import kinds


class Cell(msgspec.Struct, frozen=True, dict=True):
    """Backend servers of one pool that share one queue."""

    cell_id: ids.CellId
    pool: ids.PoolId
    servers: tuple[kinds.BackendServerSpec, ...]
    # The revision of the pool's last change.
    revision: ids.Revision = ids.Revision(0)
    # See kinds.EnginePoolSpec; unused for plain services, which have no long requests.
    short_share: float = 0.0
    short_tokens: int = 0

    @property
    def has_engines(self) -> bool:
        """Whether the servers are model engines, and not servers of a plain service."""
        return self.short_tokens > 0

    @functools.cached_property
    def data_centre(self) -> ids.DataCentreId | None:
        """The data centre that most of the servers are in.

        Cached, since it's read for each request and a cell is immutable.
        """
        if not self.servers:
            return None
        counts = collections.Counter(server.data_centre for server in self.servers)
        return ids.DataCentreId(counts.most_common(1)[0][0])


def pool_of(cell_id: ids.CellId) -> ids.PoolId:
    """Return the pool that a cell is part of."""
    return ids.PoolId(cell_id.rpartition("/")[0])


def of_pool(
    pool: ids.PoolId,
    spec: kinds.EnginePoolSpec | kinds.ServicePoolSpec,
    most: int = kinds.CELL_SERVERS,
) -> tuple[Cell, ...]:
    """Return the cells of a pool with the pool's settings, each of `most` servers."""
    found = divide(pool, spec.servers, most)
    if not isinstance(spec, kinds.EnginePoolSpec):
        return found
    return tuple(
        msgspec.structs.replace(
            cell, short_share=spec.short_share, short_tokens=spec.short_tokens
        )
        for cell in found
    )


def divide(
    pool: ids.PoolId,
    servers: tuple[kinds.BackendServerSpec, ...],
    most: int = kinds.CELL_SERVERS,
) -> tuple[Cell, ...]:
    """Return the cells of a pool, grouping its servers by data centre."""
    ordered = sorted(servers, key=lambda server: (server.data_centre, server.name))
    count = max(1, -(-len(ordered) // most))
    size = -(-len(ordered) // count)
    return tuple(
        Cell(
            cell_id=ids.CellId(f"{pool}/{number}"),
            pool=pool,
            servers=tuple(ordered[number * size : (number + 1) * size]),
        )
        for number in range(count)
    )
