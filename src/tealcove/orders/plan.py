"""Planner of a pool's next orders, from its desired and its observed state."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from tealcove import ids
from tealcove.backends import engine
from tealcove.orders import desired
from tealcove.resources import kinds

# The roles that compute each phase of a request.
PREFILL = frozenset({kinds.EngineRole.BOTH.value, kinds.EngineRole.PREFILL.value})
DECODE = frozenset({kinds.EngineRole.BOTH.value, kinds.EngineRole.DECODE.value})

NO_NUMBER = ids.FencingNumber(0)


class Task(msgspec.Struct, frozen=True):
    """An order for one engine, still without its fencing number."""

    server: ids.BackendServerId
    order: engine.Order
    # Whether the engine has to be empty when the order is sent.
    drains: bool

    @property
    def loads(self) -> bool:
        """Whether weights are loaded, which has to be reserved at the weight store."""
        kind = self.order.order
        return kind in (engine.OrderKind.LOAD_MODEL, engine.OrderKind.LOAD_ADAPTER)


class ObservedState(msgspec.Struct, frozen=True):
    """Observed state of a pool's engines.

    `holdings` lacks engines that are unreachable or not serving.
    """

    holdings: dict[ids.BackendServerId, engine.Holding]
    # Engines with a task in progress.
    busy: frozenset[ids.BackendServerId] = frozenset()
    # Engines that get no new work, or whose release isn't confirmed yet.
    held: frozenset[ids.BackendServerId] = frozenset()
    # Engines at which an earlier order may still be carried out.
    unsettled: frozenset[ids.BackendServerId] = frozenset()


class Plan(msgspec.Struct, frozen=True):
    """Tasks to start now, and tasks that are blocked for lack of other servers."""

    tasks: tuple[Task, ...]
    blocked: tuple[Task, ...]
    # Engines without a task now, which may get work.
    idle: frozenset[ids.BackendServerId]


def make(target: desired.DesiredState, observed: ObservedState) -> Plan:
    """Return the next tasks.

    Loads of what an engine doesn't have yet start at once on all engines. Tasks that
    need an empty engine run on one engine at a time, and only if others keep serving
    all that it serves. Unloading waits until nothing is left to load.
    """
    open_tasks = {
        name: list(missing(name, target, holding))
        for name, holding in sorted(observed.holdings.items())
        if name in target.servers
    }
    loading = any(task.loads for tasks in open_tasks.values() for task in tasks)
    free = {n: t for n, t in open_tasks.items() if is_free(n, observed)}
    begun = [tasks[0] for tasks in free.values() if tasks and not tasks[0].drains]
    blocked: list[Task] = []
    for task in draining(free, loading, observed):
        if observed.held - {task.server}:
            break
        if may_leave(task.server, target, observed):
            begun.append(task)
            break
        blocked.append(task)
    idle = idle_engines(open_tasks, begun, observed)
    return Plan(tuple(begun), tuple(blocked), idle)


def idle_engines(
    open_tasks: dict[ids.BackendServerId, list[Task]],
    begun: list[Task],
    observed: ObservedState,
) -> frozenset[ids.BackendServerId]:
    """Return the engines without a task now.

    They include engines with later tasks, which are released meanwhile: they and
    other engines could otherwise wait for each other in a deadlock.
    """
    begun_at = {task.server for task in begun}
    return frozenset(open_tasks) - observed.busy - begun_at


def is_free(name: ids.BackendServerId, observed: ObservedState) -> bool:
    """Tell whether a task may start on an engine."""
    return name not in observed.busy and name not in observed.unsettled


def draining(
    free: dict[ids.BackendServerId, list[Task]], loading: bool, observed: ObservedState
) -> list[Task]:
    """Return the tasks that need an empty engine, those of held engines first.

    A held engine gets all its tasks before it's released; starting on another one
    instead would leave two engines without work.
    """
    found = [tasks[0] for tasks in free.values() if tasks and tasks[0].drains]
    found = [task for task in found if not (loading and is_unload(task))]
    return sorted(
        found, key=lambda task: (task.server not in observed.held, task.server)
    )


def is_unload(task: Task) -> bool:
    """Tell whether a task unloads a model or adapter."""
    kind = task.order.order
    return kind in (engine.OrderKind.UNLOAD_MODEL, engine.OrderKind.UNLOAD_ADAPTER)


def missing(
    name: ids.BackendServerId, target: desired.DesiredState, holding: engine.Holding
) -> Iterator[Task]:
    """Yield an engine's remaining tasks, in the order in which to run them."""
    order_kinds = engine.OrderKind
    loads = [
        *loads_of(name, order_kinds.LOAD_MODEL, target.models, holding.models),
        *loads_of(name, order_kinds.LOAD_ADAPTER, target.adapters, holding.adapters),
    ]
    # Tasks that don't need an empty engine come first; `sorted` is stable.
    yield from sorted(loads, key=lambda task: task.drains)
    role = target.servers[name].role
    if holding.role != role:
        order = engine.Order(NO_NUMBER, order_kinds.SET_ROLE, role=role)
        yield Task(name, order, drains=True)
    adapters, models = target.adapters, target.models
    yield from unloads_of(name, order_kinds.UNLOAD_ADAPTER, adapters, holding.adapters)
    yield from unloads_of(name, order_kinds.UNLOAD_MODEL, models, holding.models)


def loads_of(
    server: ids.BackendServerId,
    kind: engine.OrderKind,
    versions: desired.Versions,
    held: desired.Versions,
) -> Iterator[Task]:
    """Yield load tasks; the engine has to be empty to replace a version."""
    for name, version in sorted(versions.items()):
        if held.get(name) != version:
            order = engine.Order(NO_NUMBER, kind, name, version)
            yield Task(server, order, drains=name in held)


def unloads_of(
    server: ids.BackendServerId,
    kind: engine.OrderKind,
    versions: desired.Versions,
    held: desired.Versions,
) -> Iterator[Task]:
    """Yield tasks to unload what isn't in the desired state."""
    for name in sorted(held.keys() - versions.keys()):
        yield Task(server, engine.Order(NO_NUMBER, kind, name), drains=True)


def may_leave(
    server: ids.BackendServerId, target: desired.DesiredState, observed: ObservedState
) -> bool:
    """Tell whether other engines keep serving all that an engine serves."""
    holding = observed.holdings.get(server)
    if holding is None:
        return False
    others = [
        found
        for name, found in observed.holdings.items()
        if name != server
        and name in target.servers
        and name not in observed.held
        and name not in observed.unsettled
    ]
    for model in target.models.keys() & holding.models.keys():
        having = [other for other in others if model in other.models]
        for part in (PREFILL, DECODE):
            if holding.role in part and not any(o.role in part for o in having):
                return False
    return not any(
        lacks_adapter(name, others)
        for name in target.adapters.keys() & holding.adapters.keys()
    )


def lacks_adapter(name: str, others: Iterable[engine.Holding]) -> bool:
    """Tell whether none of some engines has an adapter."""
    return not any(name in other.adapters for other in others)


def count(
    versions: desired.Versions, held: Iterable[desired.Versions]
) -> dict[str, int]:
    """Return the number of engines that have the desired version, by name."""
    all_held = list(held)
    return {
        name: sum(one.get(name) == version for one in all_held)
        for name, version in versions.items()
    }
