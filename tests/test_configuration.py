"""An accepted configuration is in force everywhere and never reverts."""

from __future__ import annotations

import asyncio
import itertools
import pathlib

import aiohttp
import syrupy

from tests import callers, deployment

OPERATOR = {"Authorization": f"Bearer {deployment.OPERATOR_KEY}"}
TIER = "/admin/v1/service-tiers/middle"
WRITERS = 3
CHANGES_EACH = 8


async def read_tier(
    running: deployment.Deployment, instance: deployment.Process
) -> dict[str, object]:
    """Return the tier as one instance reports it."""
    async with running.session.get(instance.url + TIER, headers=OPERATOR) as response:
        return await response.json()


async def write_tier(
    running: deployment.Deployment,
    instance: deployment.Process,
    deadline: float,
    revision: int,
    key: str,
) -> int:
    """Write the tier; return the answer's status, or 0 if the connection broke."""
    headers = {**OPERATOR, "If-Match": f'"{revision}"', "Idempotency-Key": key}
    body = {"spec": {"rank": 1, "default_deadline": deadline}}
    try:
        async with running.session.put(
            instance.url + TIER, headers=headers, json=body
        ) as response:
            return response.status
    except aiohttp.ClientError:
        return 0


async def until_everywhere(running: deployment.Deployment, deadline: float) -> None:
    """Wait until every instance reports a default deadline."""

    async def is_everywhere() -> bool:
        found = [await read_tier(running, i) for i in running.instances]
        return all(t["spec"]["default_deadline"] == deadline for t in found)

    await deployment.until(is_everywhere)


async def start(tmp_path: pathlib.Path) -> deployment.Deployment:
    """Start a deployment of three instances with resources in force."""
    running = deployment.Deployment(tmp_path)
    await running.__aenter__()
    for _ in range(3):
        await running.add_instance()
    await running.declare()
    for instance in running.instances:
        await running.wait_until_ready(instance)
    await running.wait_for_members()
    await until_everywhere(running, 60.0)
    return running


async def test_instances_replaced_during_an_outage(
    tmp_path: pathlib.Path, snapshot: syrupy.SnapshotAssertion
) -> None:
    """Guards against a replaced instance with an older configuration or none.

    A change is accepted; the platform is down for a long time; all instances are
    killed and replaced one after the other; the platform is available again. A
    revoked key would work again at some instances if a starting instance that
    can't read the platform used no configuration, or the first one it finds.
    """
    session = []
    running = await start(tmp_path)
    try:
        revision = (await read_tier(running, running.instances[0]))["metadata"][
            "revision"
        ]
        code = await write_tier(running, running.instances[0], 33.0, revision, "one")
        await until_everywhere(running, 33.0)
        session.append(f"change before the outage: {code}, in force on 3 of 3")
        await running.set_faults(running.platform, {"down": True})
        for instance in running.instances:
            await instance.end()
            await running.start(instance)
            await running.wait_until_ready(instance)
            found = await read_tier(running, instance)
            session.append(
                f"{instance.name} replaced during the outage: deadline "
                f"{found['spec']['default_deadline']}"
            )
            await running.wait_for_members()
        revision = found["metadata"]["revision"]
        code = await write_tier(running, running.instances[1], 44.0, revision, "two")
        session.append(f"change during the outage: {code}")
        await until_everywhere(running, 33.0)
        await running.set_faults(running.platform, {})
        code = await write_tier(running, running.instances[1], 55.0, revision, "three")
        await until_everywhere(running, 55.0)
        session.append(f"change after the outage: {code}, in force on 3 of 3")
        assert session == snapshot
    finally:
        await running.__aexit__()


async def test_operators_race_while_replies_are_lost(
    tmp_path: pathlib.Path, snapshot: syrupy.SnapshotAssertion
) -> None:
    """Guards against a change that is lost, applied twice, or overwritten.

    Three writers change one resource through three instances, each based on the
    revision that it read, while the platform loses replies. An accepted change
    would vanish without a conflict if a write was repeated after a lost reply,
    over a change made since.
    """
    running = await start(tmp_path)
    try:
        before = await read_tier(running, running.instances[0])
        stop = asyncio.Event()
        losing = running.spawn(lose_replies(running, stop))
        writers = [write_many(running, number) for number in range(WRITERS)]
        accepted = sum(await asyncio.gather(*writers))
        stop.set()
        await losing
        await running.set_faults(running.platform, {})
        # The last change follows all others in the log, so an instance that has
        # it in force has them too.
        await write_until_accepted(running, running.instances[0], 7.0, "last")
        await until_everywhere(running, 7.0)
        after = await read_tier(running, running.instances[2])
        grown = after["metadata"]["generation"] - before["metadata"]["generation"] - 1
        session = [
            f"accepted changes: {accepted} of {WRITERS * CHANGES_EACH}",
            f"each applied exactly once: {grown == accepted}",
        ]
        assert session == snapshot
    finally:
        await running.__aexit__()


async def lose_replies(running: deployment.Deployment, stop: asyncio.Event) -> None:
    """Make the platform lose replies until `stop` is set."""
    while not stop.is_set():
        await running.set_faults(running.platform, {"lose_replies": 1})
        await asyncio.sleep(0.02)


async def write_many(running: deployment.Deployment, number: int) -> int:
    """Make some changes, each until it is accepted; return their number."""
    instance = running.instances[number]
    for change in range(CHANGES_EACH):
        deadline = 100.0 + number * CHANGES_EACH + change
        await write_until_accepted(running, instance, deadline, f"{number}-{change}")
    return CHANGES_EACH


async def write_until_accepted(
    running: deployment.Deployment,
    instance: deployment.Process,
    deadline: float,
    key: str,
) -> None:
    """Make one change, based on the newest revision after each conflict."""
    for attempt in itertools.count():
        revision = (await read_tier(running, instance))["metadata"]["revision"]
        one = f"{key}-{attempt}"
        code = await write_tier(running, instance, deadline, revision, one)
        while code in (0, 503):
            # The outcome is unknown; a retry with the same key returns it.
            code = await write_tier(running, instance, deadline, revision, one)
        if code == 200:
            return
        assert code == 409


async def test_declared_resources_are_in_force_before_requests_are_sent(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against tests whose first requests get 404 from an instance behind."""
    async with deployment.Deployment(tmp_path) as running:
        await running.add_engine(decode_seconds_per_token=0.005)
        for _ in range(2):
            await running.add_instance()
        for instance in running.instances:
            await running.wait_until_ready(instance)
        await running.set_faults(running.platform, {"slow": 0.3})
        await running.declare()
        found = [
            await callers.complete(running.session, instance.url, "first", 5)
            for instance in running.instances
        ]
        assert [reply.outcome for reply in found] == ["completed"] * 2
