"""Leaving backend servers and instances."""

from __future__ import annotations

import asyncio
import pathlib
import signal

import msgspec
import syrupy

from tealcove.resources import kinds
from tealcove.storage import instances
from tests import callers, deployment

LENGTH = 4
# Consecutive requests that must avoid a server to show that it's no longer chosen;
# it is the faster one of two idle servers.
REQUESTS_IN_A_ROW = 12
# Time for which callers keep using an instance's address; far longer than the other
# instances take to learn that it is leaving.
ADDRESS_SECONDS = 4.0


async def test_leaving_backend_servers(
    tmp_path: pathlib.Path, snapshot: syrupy.SnapshotAssertion
) -> None:
    """Guards against work for a leaving server until it stops.

    The faster of two engines is marked as leaving while requests continue: by its
    own health, by the pool's spec, and by the platform's list. Requests would end
    as `interrupted` at each replacement of a server if only one of the three was
    read, or only the lagging load report.
    """
    session = []
    async with deployment.Deployment(tmp_path) as running:
        fast = await running.add_engine(decode_seconds_per_token=0.002, load_lag=600.0)
        await running.add_engine(decode_seconds_per_token=0.01)
        instance = await running.add_instance()
        await running.declare()
        await running.wait_until_ready(instance)
        # It's ready at any revision, perhaps before the last declared resource.
        await running.until_served(instance)
        for name, leave, return_to_service in (
            ("health", leave_by_health, return_by_health),
            ("spec", leave_by_spec, return_by_spec),
            ("list", leave_by_list, return_by_list),
        ):
            await until_used(running, instance, fast)
            session.append(f"{name}: the faster engine is used")
            await leave(running, fast)
            await until_avoided(running, instance, fast)
            session.append(f"{name}: the leaving engine gets nothing")
            await return_to_service(running, fast)
    assert session == snapshot


async def leave_by_health(
    running: deployment.Deployment, engine: deployment.Process
) -> None:
    """Make the engine report that it is leaving."""
    await running.set_faults(engine, {"state": "leaving"})


async def return_by_health(
    running: deployment.Deployment, engine: deployment.Process
) -> None:
    """Make the engine report that it is serving."""
    await running.set_faults(engine, {"state": "serving"})


async def leave_by_spec(
    running: deployment.Deployment, engine: deployment.Process
) -> None:
    """Mark the engine as leaving in the pool's spec."""
    await set_state(running, engine, kinds.ServerState.LEAVING)


async def return_by_spec(
    running: deployment.Deployment, engine: deployment.Process
) -> None:
    """Mark the engine as serving in the pool's spec."""
    await set_state(running, engine, kinds.ServerState.SERVING)


async def set_state(
    running: deployment.Deployment,
    engine: deployment.Process,
    state: kinds.ServerState,
) -> None:
    """Write the pool with a changed state of one server."""
    pool = running.resources.current.pool("engines").spec
    servers = tuple(
        msgspec.structs.replace(server, state=state)
        if server.name == engine.name
        else server
        for server in pool.servers
    )
    changed = msgspec.structs.replace(pool, servers=servers)
    await running.put(kinds.Kind.ENGINE_POOL, "engines", changed)


async def leave_by_list(
    running: deployment.Deployment, engine: deployment.Process
) -> None:
    """Mark the engine as leaving in the platform's list."""
    await running.list_instance(
        instances.ListedInstance(
            name=engine.name,
            kind=instances.ListedKind.BACKEND_SERVER,
            state=instances.ListedState.LEAVING,
            host=engine.host,
            http_port=engine.port,
            peer_port=0,
            data_centre="dc-1",
        )
    )


async def return_by_list(
    running: deployment.Deployment, engine: deployment.Process
) -> None:
    """Do nothing, since this is the last step of the test."""


async def dispatched_to(
    running: deployment.Deployment,
    instance: deployment.Process,
    engine: deployment.Process,
) -> bool:
    """Send a request and tell whether the engine received it."""
    before = len((await running.counts(engine))["dispatches"])
    reply = await callers.complete(running.session, instance.url, "p", LENGTH)
    assert reply.outcome == "completed"
    return len((await running.counts(engine))["dispatches"]) > before


async def until_used(
    running: deployment.Deployment,
    instance: deployment.Process,
    engine: deployment.Process,
) -> None:
    """Wait until the engine receives a request."""

    async def is_used() -> bool:
        return await dispatched_to(running, instance, engine)

    await deployment.until(is_used)


async def until_avoided(
    running: deployment.Deployment,
    instance: deployment.Process,
    engine: deployment.Process,
) -> None:
    """Wait until `REQUESTS_IN_A_ROW` requests avoid the engine."""
    avoided = 0

    async def is_avoided() -> bool:
        nonlocal avoided
        used = await dispatched_to(running, instance, engine)
        avoided = 0 if used else avoided + 1
        return avoided >= REQUESTS_IN_A_ROW

    await deployment.until(is_avoided)


async def test_graceful_shutdown_of_every_part(
    tmp_path: pathlib.Path, snapshot: syrupy.SnapshotAssertion
) -> None:
    """Guards against connections that break when a process is replaced.

    Requests run through three instances; the dispatcher of the cell, another entry
    and an engine receive SIGTERM in turn, each with work in progress. Callers that
    know an instance's address keep using it for a while. Connections would break
    if a process exited before its work was handed over or done, or closed its port
    while callers still use its address.
    """
    session = []
    async with deployment.Deployment(tmp_path) as running:
        for _ in range(2):
            await running.add_engine(decode_seconds_per_token=0.01)
        for _ in range(3):
            await running.add_instance(shutdown={"entry_points_ttl": ADDRESS_SECONDS})
        await running.declare()
        for instance in running.instances:
            await running.wait_until_ready(instance)
        await running.wait_for_members()
        dispatcher = await running.dispatcher("engines/0")
        others = [i for i in running.instances if i is not dispatcher]
        leaving = [("dispatcher", dispatcher), ("entry", others[0])]
        leaving.append(("engine", running.engines[0]))
        for name, process in leaving:
            calls = start_requests(running, others[1], name)
            if process in running.instances:
                calls += start_requests(running, process, f"through the {name}")
            await running.until_running(running.engines)
            process.send(signal.SIGTERM)
            if process in running.instances:
                await running.until_left(others[1], process)
                calls += start_requests(running, process, f"to the leaving {name}")
            code = await process.process.wait()
            session.append(f"{name}: exit code {code}")
            for prompt, call in calls:
                reply = await call
                session.append(callers.describe(reply, prompt, 100))
        names = await running.entry_points(others[1])
        assert names == [others[1].name]
    assert session == snapshot


def start_requests(
    running: deployment.Deployment, instance: deployment.Process, name: str
) -> list[tuple[str, asyncio.Task[callers.Reply]]]:
    """Start six requests that take about a second each."""
    prompts = [f"{name}, {number}" for number in range(6)]
    return [
        (p, running.spawn(callers.complete(running.session, instance.url, p, 100)))
        for p in prompts
    ]
