"""Every caller receives the complete answer to its own request."""

from __future__ import annotations

import pathlib

import syrupy

from tests import callers, deployment

LENGTH = 30

FAULTS = {
    "no fault": {},
    "connection cut after 5 tokens, three times": {
        "cut_after_tokens": 5,
        "cut_times": 3,
    },
    "an event comes twice": {"duplicate_chunk": 1},
    "two events change places": {"reorder_chunk": 1},
    "an event is missing": {"drop_chunk": 1},
    "the answer names another request": {"wrong_id": 1},
    "the events name another request": {"wrong_event_id": 1},
    "cut and doubled": {"cut_after_tokens": 7, "duplicate_chunk": 2},
}


async def test_faulty_streams(
    tmp_path: pathlib.Path, snapshot: syrupy.SnapshotAssertion
) -> None:
    """Guards against forwarding an incomplete, corrupt or foreign answer.

    One engine's streams break, or have events that are duplicated, out of order,
    missing, or of another request, for buffered and streamed callers. A label would
    lack its last lines, or show another firm's recipe, if chunks were forwarded as
    received and the end wasn't checked.
    """
    session = []
    async with deployment.Deployment(tmp_path) as running:
        engine = await running.add_engine(decode_seconds_per_token=0.006)
        instance = await running.add_instance()
        await running.declare()
        await running.wait_until_ready(instance)
        for fault, faults in FAULTS.items():
            for send in (callers.complete, callers.stream):
                await running.set_faults(engine, faults)
                prompt = f"{fault}, {send.__name__}"
                reply = await send(running.session, instance.url, prompt, LENGTH)
                session.append(callers.describe(reply, prompt, LENGTH))
        counts = await running.counts(engine)
        session.append(f"dispatches: {sorted(counts['dispatches'].values())}")
    assert session == snapshot


async def test_engine_dies_in_the_middle(
    tmp_path: pathlib.Path, snapshot: syrupy.SnapshotAssertion
) -> None:
    """Guards against a caller that mistakes a fragment for the complete answer.

    The engine is killed after the first tokens; streamed callers have received some
    text, buffered ones none. A streamed answer would end early without an error if
    the HTTP stream was closed normally although it is incomplete.
    """
    session = []
    async with deployment.Deployment(tmp_path) as running:
        engine = await running.add_engine(decode_seconds_per_token=0.02)
        instance = await running.add_instance()
        await running.declare()
        await running.wait_until_ready(instance)
        for send in (callers.complete, callers.stream):
            prompt = f"killed, {send.__name__}"
            task = running.spawn(send(running.session, instance.url, prompt, 1500))
            await running.until_counted(engine, "decode_tokens", 5)
            engine.kill()
            reply = await task
            session.append(callers.describe(reply, prompt, 1500))
            await running.start(engine)
            await running.wait_for_port(engine)
            await running.until_served(instance)
    assert session == snapshot
