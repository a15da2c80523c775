"""Desired state of a pool's engines, from the configuration."""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.backends import engine
from tealcove.dispatch import cells
from tealcove.resources import copy, kinds

Versions = dict[str, str]


class DesiredServer(msgspec.Struct, frozen=True):
    """An engine of the pool, the cell that dispatches work to it, and its role."""

    server: engine.Server
    cell: cells.Cell
    role: str


class DesiredState(msgspec.Struct, frozen=True):
    """Desired models and adapters of a pool's engines, and the role of each engine."""

    models: Versions
    adapters: Versions
    servers: dict[ids.BackendServerId, DesiredServer]
    checks_fencing: bool
    # Bytes to load, by model or adapter name.
    sizes: dict[str, int]

    def fulfils(self, order: engine.Order) -> bool:
        """Tell whether a load or unload order leads to the desired state."""
        match order.order:
            case engine.OrderKind.LOAD_MODEL:
                return self.models.get(order.name) == order.version
            case engine.OrderKind.LOAD_ADAPTER:
                return self.adapters.get(order.name) == order.version
            case engine.OrderKind.UNLOAD_MODEL:
                return order.name not in self.models
            case engine.OrderKind.UNLOAD_ADAPTER:
                return order.name not in self.adapters
            case _:
                return True


def of_pool(current: copy.Configuration, pool: ids.PoolId) -> DesiredState | None:
    """Return the desired state of a pool, or None if it isn't managed.

    A pool that names no model isn't managed. Otherwise all its engines would be
    emptied if an operator forgot the field.
    """
    resource = current.get(kinds.Kind.ENGINE_POOL, pool)
    if resource is None or not resource.spec.models:
        return None
    spec = resource.spec
    models = find(current, kinds.Kind.MODEL, spec.models)
    adapters = find(current, kinds.Kind.ADAPTER, spec.adapters)
    return DesiredState(
        models={name: found.version for name, found in models.items()},
        adapters={name: found.version for name, found in adapters.items()},
        servers=servers_of(pool, spec),
        checks_fencing=spec.checks_fencing,
        sizes={
            name: found.weight_bytes
            for name, found in [*models.items(), *adapters.items()]
        },
    )


def find(
    current: copy.Configuration, kind: kinds.Kind, names: tuple[str, ...]
) -> dict[str, kinds.ModelSpec | kinds.AdapterSpec]:
    """Return the specs of the named models or adapters that exist, by name."""
    found = {name: current.get(kind, name) for name in names}
    return {name: one.spec for name, one in found.items() if one is not None}


def servers_of(
    pool: ids.PoolId, spec: kinds.EnginePoolSpec
) -> dict[ids.BackendServerId, DesiredServer]:
    """Return the engines of a pool that are declared as serving, by name."""
    servers = {}
    for cell in cells.of_pool(pool, spec):
        for one in cell.servers:
            if one.state is kinds.ServerState.SERVING:
                name = ids.BackendServerId(one.name)
                address = engine.Server(name, one.host, one.port)
                servers[name] = DesiredServer(address, cell, one.role.value)
    return servers
