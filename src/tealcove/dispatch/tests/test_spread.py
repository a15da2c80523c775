"""Tests of the balancing of requests over the cells of a pool."""

from __future__ import annotations

import collections

from tealcove import ids
from tealcove.dispatch import cells, spread
from tealcove.resources import copy, kinds

SERVERS = 40


def pool(count: int = SERVERS, revision: int = 1) -> kinds.Resource:
    """Return a pool over two data centres."""
    servers = tuple(
        kinds.BackendServerSpec(
            name=f"s{number}",
            host="127.0.0.1",
            port=1000 + number,
            data_centre=f"dc-{1 + 2 * number // count}",
        )
        for number in range(count)
    )
    metadata = kinds.Metadata(
        name="p", revision=ids.Revision(revision), generation=1, changed_by="ops"
    )
    spec = kinds.EnginePoolSpec(servers=servers)
    return kinds.Resource(kind=kinds.Kind.ENGINE_POOL, metadata=metadata, spec=spec)


def new_spread() -> spread.Spread:
    """Return a Spread for an entry in the second data centre."""
    delays = {"dc-1": 0.01, "dc-2": 0.0}
    return spread.Spread(copy.ConfigurationCopy(), lambda centre: delays[centre])


def test_all_cells_of_a_large_pool_get_work() -> None:
    """Engines beyond the first cell idle while callers are refused.

    If all requests go to the first cell, a pool of more than 16 engines serves no more
    than one of 16.
    """
    balancer = new_spread()
    declared = pool()
    used: collections.Counter[str] = collections.Counter()
    for number in range(3000):
        cell = balancer.choose(declared, f"prompt {number}")
        balancer.begin(cell.cell_id)
        used[cell.cell_id] += 1
    assert set(used) == {cell.cell_id for cell in balancer.divide(declared).cells}
    assert sum(len(cell.servers) for cell in balancer.divide(declared).cells) == SERVERS


def test_shared_prefix_maps_to_one_near_cell() -> None:
    balancer = new_spread()
    chosen = {balancer.choose(pool(), "shared").cell_id for _ in range(10)}
    assert len(chosen) == 1
    near = {balancer.choose(pool(), str(n)).data_centre for n in range(50)}
    assert near == {"dc-2"}


def test_popular_prefix_spills_over_to_second_cell() -> None:
    balancer = new_spread()
    declared = pool()
    chosen = set()
    for _ in range(400):
        cell = balancer.choose(declared, "popular-1")
        balancer.begin(cell.cell_id)
        chosen.add(cell.cell_id)
    assert len(chosen) == 2
    for cell_id, count in list(balancer.tickets.items()):
        for _ in range(count):
            balancer.end(cell_id)
    assert not balancer.tickets


def test_pool_is_divided_once_per_change() -> None:
    balancer = new_spread()
    declared = pool()
    first = balancer.divide(declared)
    assert balancer.divide(declared) is first
    assert balancer.divide(pool(SERVERS + 1, revision=2)) is not first


def test_cells_are_found_by_id() -> None:
    balancer = new_spread()
    configuration = copy.empty()
    resources = dict(configuration.resources)
    resources[kinds.Kind.ENGINE_POOL] = {"p": pool()}
    balancer.copy.activate(copy.Configuration(ids.Revision(1), resources))
    assert isinstance(balancer.find(ids.CellId("p/2")), cells.Cell)
    assert balancer.find(ids.CellId("p/9")) is None
    assert balancer.find(ids.CellId("q/0")) is None
