"""Callers that disconnect before they receive their answer."""

from __future__ import annotations

import pathlib

import syrupy

from tests import callers, deployment

LENGTH = 200


async def test_a_caller_that_leaves_cancels_its_work(
    tmp_path: pathlib.Path, snapshot: syrupy.SnapshotAssertion
) -> None:
    """Guards against engines that keep working for disconnected callers.

    A buffered and a streamed caller disconnect; one of two callers with the same
    key disconnects; the caller of a non-idempotent request disconnects and retries.
    Slots stay in use if the engine's connection outlives the caller's, and another
    caller loses its answer if the end of one connection cancels shared work.
    """
    session = []
    async with deployment.Deployment(tmp_path) as running:
        engine = await running.add_engine(decode_seconds_per_token=0.005)
        # Its counts are read below, so it must already be listening.
        await running.wait_for_port(engine)
        instance = await running.add_instance()
        await running.declare()
        await running.wait_until_ready(instance)
        for number, send in enumerate((callers.complete, callers.stream)):
            call = running.spawn(send(running.session, instance.url, "p", LENGTH))
            await running.until_dispatched(engine, number + 1)
            call.cancel()
            await running.until_counted(engine, "cancelled", number + 1)
            session.append(f"{send.__name__}: cancelled at the engine")
        key = {"Idempotency-Key": "shared"}
        first, second = (
            running.spawn(
                callers.complete(
                    running.session, instance.url, "shared", LENGTH, "high", key
                )
            )
            for _ in range(2)
        )
        await running.until_dispatched(engine, 3)
        first.cancel()
        reply = await second
        session.append(callers.describe(reply, "shared", LENGTH))
        once = {"Idempotency-Key": "once", "Tealcove-Idempotent": "no"}
        call = running.spawn(
            callers.complete(
                running.session, instance.url, "once", LENGTH, "high", once
            )
        )
        await running.until_dispatched(engine, 4)
        call.cancel()
        reply = await callers.complete(
            running.session, instance.url, "once", LENGTH, "high", once
        )
        session.append(callers.describe(reply, "once", LENGTH))
        counts = await running.counts(engine)
        session.append(f"dispatches: {sorted(counts['dispatches'].values())}")
        session.append(f"cancelled: {counts['cancelled']}")
    assert session == snapshot
