"""Stewards: version changes under load, and frozen and killed stewards."""

from __future__ import annotations

import asyncio
import pathlib

import aiohttp
import msgspec
import pytest
import syrupy

from tealcove.orders import intents
from tealcove.platform import storeadapter
from tealcove.resources import kinds
from tests import callers, deployment

# A short lease, so that a successor takes over soon. The longest order takes far
# longer than a test, so no steward waits until an order in transit has expired.
ORDERS = {"lease_seconds": 3.0, "longest_seconds": 600.0}
CALLERS = 6
LENGTH = 20


async def start(
    running: deployment.Deployment, checks_fencing: bool, **found: object
) -> None:
    """Start two engines and three instances, and declare the pool."""
    for _ in range(2):
        await running.add_engine(
            checks_fencing=checks_fencing, decode_seconds_per_token=0.005, **found
        )
    for _ in range(3):
        await running.add_instance(orders=ORDERS)
    for instance in running.instances:
        await running.wait_until_ready(instance)
    await running.wait_for_members()
    await running.declare()
    await change_pool(running, checks_fencing=checks_fencing)
    for instance in running.instances:
        await running.until_served(instance)


async def change_pool(running: deployment.Deployment, **changes: object) -> None:
    """Write the pool of engines with some changed fields."""
    pool = running.resources.current.pool("engines").spec
    changed = msgspec.structs.replace(pool, **changes)
    await running.put(kinds.Kind.ENGINE_POOL, "engines", changed)


async def declare(
    running: deployment.Deployment, name: str, version: str, size: int = 0
) -> None:
    """Write the version of a model."""
    spec = kinds.ModelSpec(version=version, weight_bytes=size)
    await running.put(kinds.Kind.MODEL, name, spec)


async def orders(
    running: deployment.Deployment, engine: deployment.Process
) -> list[str]:
    """Return the orders that an engine received, one line each."""
    everywhere = [(await running.counts(e))["orders"] for e in running.engines]
    lowest = min(seen["fencing"] for found in everywhere for seen in found)
    found = everywhere[running.engines.index(engine)]
    numbers = [seen["fencing"] for seen in found if seen["accepted"]]
    assert numbers == sorted(numbers), "an old order was carried out"
    lines = []
    for seen in found:
        # The number of earlier lease changes depends on the machine.
        steward = "first" if seen["fencing"] == lowest else "later"
        words = [seen[key] for key in ("order", "name", "version", "role")]
        text_of_order = " ".join(word for word in words if word)
        verdict = "" if seen["accepted"] else ", refused"
        if seen["running"]:
            verdict += ", UNDER RUNNING REQUESTS"
        lines.append(f"{steward} number: {text_of_order}{verdict}")
    return lines


async def until_loaded(
    running: deployment.Deployment,
    name: str,
    version: str,
    engines: list[deployment.Process] | None = None,
) -> None:
    """Wait until the given or all engines have loaded a version of a model."""
    chosen = running.engines if engines is None else engines

    async def are_loaded() -> bool:
        held = [await held_models(running.session, e) for e in chosen]
        return all(models.get(name) == version for models in held)

    await deployment.until(are_loaded)


async def held_models(
    session: aiohttp.ClientSession, engine: deployment.Process
) -> dict[str, str]:
    """Return the versions of an engine's models by name."""
    async with session.get(f"{engine.url}/state") as response:
        return (await response.json())["models"]


async def until_ordered(
    running: deployment.Deployment, minimum: int
) -> list[deployment.Process]:
    """Wait until at least `minimum` engines have received an order; return them."""
    found = []

    async def are_ordered() -> bool:
        nonlocal found
        counts = [await running.counts(e) for e in running.engines]
        found = [
            engine
            for engine, seen in zip(running.engines, counts, strict=True)
            if seen["orders"]
        ]
        return len(found) >= minimum

    await deployment.until(are_ordered)
    return found


async def until_settled(running: deployment.Deployment, pool: str) -> None:
    """Wait until no order of a pool is open, that is, can still be carried out.

    If a steward is lost between an order and the row with its result, an engine that
    checks no fencing numbers gets no order for the duration of the longest order,
    here ten minutes.
    """

    async def is_settled() -> bool:
        row = await storeadapter.StoreTable(running.client).read(intents.TABLE, pool)
        return row is not None and not intents.decode(row).open

    await deployment.until(is_settled)


async def test_version_change_leaves_no_request_without_a_server(
    tmp_path: pathlib.Path, snapshot: syrupy.SnapshotAssertion
) -> None:
    """Guards against requests that fail while a model's version is changed.

    Callers send requests continuously; the model's version changes twice, and one
    engine's role; then the pool is reduced to one engine, and the version changes
    again. Callers would receive `no_backend_server` or errors if engines were changed
    all at once, or with requests running, or the second one before dispatchers use
    the first again, or if the last engine was changed.
    """
    session = []
    async with deployment.Deployment(tmp_path) as running:
        await start(running, checks_fencing=True, load_seconds=0.5)
        stopping = asyncio.Event()
        calls = [
            running.spawn(call_until(running, f"caller {number}", stopping))
            for number in range(CALLERS)
        ]
        for version in ("2", "3"):
            await declare(running, "m", version)
            await until_loaded(running, "m", version)
        await until_in_metrics(running, "m", "3", 2)
        one, other = running.servers(running.engines, slots=8)
        one = msgspec.structs.replace(one, role=kinds.EngineRole.DECODE)
        await change_pool(running, servers=(one, other))
        await until_logged(running, "set_role decode")
        last = running.engines[1]
        for engine in running.engines:
            session.extend(f"engine: {line}" for line in await orders(running, engine))
        await change_pool(running, servers=running.servers([last], slots=8))
        await declare(running, "m", "4")
        await until_logged(running, "the last server of what it serves")
        stopping.set()
        replies = [reply for call in calls for reply in await call]
        # Callers have sent requests; how many depends on the machine.
        assert len(replies) > CALLERS
        session.extend(sorted(set(replies)))
        held = await held_models(running.session, last)
        session.append(f"the last engine has version {held['m']}")
    assert session == snapshot


async def call_until(
    running: deployment.Deployment, prompt: str, stopping: asyncio.Event
) -> list[str]:
    """Send requests one after the other; return a line about each reply."""
    instance = running.instances[0]
    lines = []
    while not stopping.is_set():
        reply = await callers.complete(running.session, instance.url, prompt, LENGTH)
        lines.append(callers.describe(reply, "request", LENGTH))
        if reply.outcome == "completed":
            assert callers.is_own_answer(reply, prompt, LENGTH)
            lines[-1] = "request: completed, whole and its own"
    return lines


async def until_in_metrics(
    running: deployment.Deployment, name: str, version: str, count: int
) -> None:
    """Wait until the steward's metrics show `count` engines with a version."""
    steward = await running.dispatcher("steward/engines")

    async def is_in_metrics() -> bool:
        async with running.session.get(f"{steward.url}/metrics") as response:
            lines = (await response.text()).splitlines()
        found = [line for line in lines if line.startswith("tealcove_orders_servers{")]
        wanted = (f'name="{name}"', f'version="{version}"', f" {float(count)}")
        return any(all(part in line for part in wanted) for line in found)

    await deployment.until(is_in_metrics)


async def until_logged(running: deployment.Deployment, text: str) -> None:
    """Wait until an instance has logged a text."""

    async def is_logged() -> bool:
        logs = [running.folder / f"{i.name}.log" for i in running.instances]
        return any(text in log.read_text() for log in logs)

    await deployment.until(is_logged)


@pytest.mark.parametrize("checks_fencing", [True, False])
async def test_frozen_steward_that_wakes_gives_no_order(
    tmp_path: pathlib.Path, snapshot: syrupy.SnapshotAssertion, checks_fencing: bool
) -> None:
    """Guards against an engine that goes back from a newer version to an older one.

    The steward is frozen while it waits for its turn to load version 1 into the second
    engine; version 2 is declared, and its successor loads it into both; the first
    steward resumes after its turn has come; version 3 is declared. One engine of the
    pool would answer with an older version if the first steward continued without
    checking its lease again.
    """
    async with deployment.Deployment(tmp_path, weight_rate=1000.0) as running:
        await start(running, checks_fencing)
        # The second engine's turn comes five seconds after the first one's.
        await declare(running, "n", "1", size=5000)
        await change_pool(running, models=("m", "n"))
        first = (await until_ordered(running, 1))[0]
        (second,) = [e for e in running.engines if e is not first]
        await until_settled(running, "engines")
        steward = await running.dispatcher("steward/engines")
        steward.freeze()
        await declare(running, "n", "2")
        await until_loaded(running, "n", "2")
        steward.unfreeze()

        async def has_acted() -> bool:
            # The steward logs what stops it.
            log = (running.folder / f"{steward.name}.log").read_text()
            return f"{second.name}: " in log

        await deployment.until(has_acted)
        await declare(running, "n", "3")
        await until_loaded(running, "n", "3")
        session = {
            "the first engine": await orders(running, first),
            "the second engine": await orders(running, second),
        }
    assert session == snapshot


@pytest.mark.parametrize("checks_fencing", [True, False])
async def test_successor_of_killed_steward_settles_open_orders(
    tmp_path: pathlib.Path, snapshot: syrupy.SnapshotAssertion, checks_fencing: bool
) -> None:
    """Guards against an order of a dead steward that is carried out late.

    The steward orders both engines to load version 1, which takes long, and is killed;
    version 2 is declared; a successor takes over. One engine of the pool would answer
    with the older version if the successor sent its orders at once, without regard to
    the orders in transit.

    Engines that check fencing numbers are made to refuse earlier ones before the next
    order. Others get no orders; only an engine that has just joined does.
    """
    async with deployment.Deployment(tmp_path) as running:
        await start(running, checks_fencing, load_seconds=2.0)
        await declare(running, "n", "1")
        await change_pool(running, models=("m", "n"))
        await until_ordered(running, 2)
        steward = await running.dispatcher("steward/engines")
        steward.kill()
        ordered = list(running.engines)
        joined = await running.add_engine(checks_fencing=checks_fencing)
        await running.wait_for_port(joined)
        await declare(running, "n", "2")
        await change_pool(running, servers=running.servers(running.engines, slots=8))
        await until_loaded(running, "n", "2", [joined])
        await until_loaded(running, "n", "2" if checks_fencing else "1", ordered)
        # By the time of another order, any wrong one would have been sent.
        await declare(running, "k", "1")
        await change_pool(running, models=("m", "n", "k"))
        await until_loaded(running, "k", "1", [joined])
        if checks_fencing:
            await until_loaded(running, "k", "1", ordered)
        session = [await orders(running, engine) for engine in running.engines]
    assert session == snapshot
