"""The planner: which tasks start, in which order, and which are blocked."""

from __future__ import annotations

import msgspec
import pytest

from tealcove import ids
from tealcove.backends import engine
from tealcove.orders import desired, plan
from tealcove.resources import copy, kinds

POOL = ids.PoolId("engines")


def server(name: str, **changes: object) -> kinds.BackendServerSpec:
    return kinds.BackendServerSpec(
        name=name, host="127.0.0.1", port=9000, data_centre="dc-1", **changes
    )


def target(*servers: kinds.BackendServerSpec, **models: str) -> desired.DesiredState:
    """Return the desired state of a pool; model "m" in version 2 by default."""
    versions = models or {"m": "2"}
    resources = dict(copy.empty().resources)
    resources[kinds.Kind.MODEL] = {
        name: resource(kinds.Kind.MODEL, name, kinds.ModelSpec(version=version))
        for name, version in versions.items()
    }
    adapter = kinds.AdapterSpec(model="m", version="1")
    resources[kinds.Kind.ADAPTER] = {"x": resource(kinds.Kind.ADAPTER, "x", adapter)}
    spec = kinds.EnginePoolSpec(servers=servers, models=tuple(versions))
    resources[kinds.Kind.ENGINE_POOL] = {
        POOL: resource(kinds.Kind.ENGINE_POOL, POOL, spec)
    }
    return desired.of_pool(copy.Configuration(ids.Revision(1), resources), POOL)


def resource(kind: kinds.Kind, name: str, spec: kinds.Spec) -> kinds.Resource:
    metadata = kinds.Metadata(
        name=name, revision=ids.Revision(1), generation=1, changed_by="ops"
    )
    return kinds.Resource(kind=kind, metadata=metadata, spec=spec)


def holding(role: str = "both", **models: str) -> engine.Holding:
    return engine.Holding(models, {}, role)


def formatted(tasks: tuple[plan.Task, ...]) -> list[str]:
    """Format tasks; "!" marks those that need an empty engine."""
    return [
        f"{task.server} {task.order.order.value} "
        f"{task.order.name or task.order.role}{'!' if task.drains else ''}"
        for task in tasks
    ]


A, B, C = server("a"), server("b"), server("c")


def test_one_engine_at_a_time_changes_its_version():
    aim = target(A, B, C)
    old = {name: holding(m="1") for name in "abc"}
    assert formatted(plan.make(aim, plan.ObservedState(old)).tasks) == [
        "a load_model m!"
    ]
    busy = plan.ObservedState(old, busy=frozenset("a"), held=frozenset("a"))
    assert plan.make(aim, busy).tasks == ()
    # Changed, but the dispatchers haven't released it yet.
    changed = {**old, "a": holding(m="2")}
    found = plan.make(aim, plan.ObservedState(changed, held=frozenset("a")))
    assert (found.tasks, found.idle) == ((), {"a", "b", "c"})
    assert formatted(plan.make(aim, plan.ObservedState(changed)).tasks) == [
        "b load_model m!"
    ]


@pytest.mark.parametrize(
    "others",
    [
        {},
        {"b": holding()},
        {"b": holding("prefill", m="2")},
        {"gone": holding(m="2")},
    ],
)
def test_last_server_of_a_model_is_never_drained(others):
    """The last server of a model isn't drained to change its version.

    Other engines don't count if they lack the model, compute another phase of a
    request or aren't in the pool: all requests of the model would be refused for as
    long as a load takes.
    """
    aim = target(A, server("b", role=kinds.EngineRole.PREFILL))
    found = plan.make(aim, plan.ObservedState({"a": holding(m="1"), **others}))
    assert "a load_model m!" not in formatted(found.tasks)
    assert formatted(found.blocked)[:1] == ["a load_model m!"]


def test_engine_with_an_unsettled_order_gets_no_task_and_counts_as_absent():
    aim = target(A, B)
    old = {"a": holding(m="1"), "b": holding(m="1")}
    found = plan.make(aim, plan.ObservedState(old, unsettled=frozenset("b")))
    assert found.tasks == ()
    assert formatted(found.blocked) == ["a load_model m!"]


def test_loads_come_first_then_changes_then_role_and_unloading_last():
    aim = target(server("a", role=kinds.EngineRole.DECODE), B, C, m="2", n="1")
    rest = {name: holding(m="2", n="1") for name in "bc"}
    state = holding(m="1", old="1")
    steps = []
    for _ in range(5):
        tasks = plan.make(aim, plan.ObservedState({"a": state, **rest})).tasks
        if not tasks:
            break
        steps.extend(formatted(tasks))
        state = carried_out(state, tasks[0].order)
    assert steps == [
        "a load_model n",
        "a load_model m!",
        "a set_role decode!",
        "a unload_model old!",
    ]
    waiting = {"a": holding("decode", m="2", n="1", old="1"), "b": holding(m="2")}
    assert formatted(plan.make(aim, plan.ObservedState(waiting)).tasks) == [
        "b load_model n"
    ]


def carried_out(state: engine.Holding, order: engine.Order) -> engine.Holding:
    """Return what an engine holds after an order."""
    models = dict(state.models)
    if order.order is engine.OrderKind.SET_ROLE:
        return msgspec.structs.replace(state, role=order.role)
    if order.order is engine.OrderKind.LOAD_MODEL:
        models[order.name] = order.version
    else:
        del models[order.name]
    return msgspec.structs.replace(state, models=models)


def test_pool_without_models_is_left_alone():
    resources = dict(copy.empty().resources)
    spec = kinds.EnginePoolSpec(servers=(A,))
    resources[kinds.Kind.ENGINE_POOL] = {
        POOL: resource(kinds.Kind.ENGINE_POOL, POOL, spec)
    }
    current = copy.Configuration(ids.Revision(1), resources)
    assert desired.of_pool(current, POOL) is None
