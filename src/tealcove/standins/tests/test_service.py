"""The service stand-in counts calls and never repeats one by itself."""

from __future__ import annotations

import asyncio
import json
import signal

import aiohttp
import pytest

from tealcove.standins import service
from tealcove.standins.tests import builders


async def test_answers_any_call_and_counts_it():
    async with builders.running_service() as caller:
        headers = {"X-Request-Id": "a", "Idempotency-Key": "k"}
        body = {"data": b"quote", "headers": headers}
        answer = await caller.call("POST", "/quotes?show=3", **body)
        async with caller.session.patch("/quotes?show=3", **body) as response:
            assert response.headers["X-Request-Id"] == "a"
    assert (answer["method"], answer["path"]) == ("POST", "/quotes?show=3")
    assert (answer["request_id"], answer["server"]) == ("a", "service")
    counts = caller.counts
    assert counts.dispatches == counts.completed == {"a": 2}
    assert counts.keys == {"k": 2}
    assert sorted(counts.calls.values()) == [1, 1]


async def test_runs_one_call_per_slot():
    fields = {"slots": 2, "seconds_per_call": 1000.0}
    async with builders.running_service(**fields) as caller:
        calls = [asyncio.create_task(caller.call("GET", "/x")) for _ in range(5)]
        await builders.until(lambda: len(caller.standin.calls) == 5)
        report = await caller.call("GET", "/load")
        assert (report["running"], report["waiting"]) == (2, 3)
        for call in calls:
            call.cancel()


async def test_call_with_a_lost_answer_is_counted_as_completed():
    """Guards against missing a quote that was sent although its caller saw an error.

    The service runs the call, then the connection breaks. The caller can't know
    that it ran, so the count of completed calls must show it.
    """
    async with builders.running_service() as caller:
        await caller.set_faults(lose_answers=1)
        headers = {"X-Request-Id": "a"}
        with pytest.raises(aiohttp.ClientError):
            await caller.call("POST", "/quotes", headers=headers)
        await builders.until(lambda: caller.counts.completed == {"a": 1})


async def test_failures_wrong_ids_and_leaving_state():
    async with builders.running_service() as caller:
        headers = {"X-Request-Id": "a"}
        await caller.set_faults(fail_calls=1, wrong_id=1, state="leaving")
        await caller.call("GET", "/x", status=500, headers=headers)
        async with caller.session.get("/x", headers=headers) as response:
            assert response.status == 200
        assert (await caller.call("GET", "/health"))["state"] == "leaving"
        assert set(caller.counts.sent_while_leaving) == {"a"}


async def test_frozen_service_completes_nothing():
    running = builders.running_service
    async with running(seconds_per_call=0.2) as caller, running() as other:
        pending = asyncio.create_task(caller.call("GET", "/x"))
        await builders.until(lambda: caller.standin.calls)
        await caller.standin.apply_faults(service.ServiceFaults(freeze_seconds=1000))
        for _ in range(25):
            await other.call("GET", "/x")
        assert (await caller.call("GET", "/standin/counts"))["completed"] == {}
        await caller.set_faults()
        assert (await pending)["path"] == "/x"


async def test_sigterm_finishes_running_calls():
    """Guards against a call that is cut off when its service is stopped.

    SIGTERM arrives while the call runs; the process must answer it first.
    """
    settings = service.ServiceSettings(
        seconds_per_call=0.5, linger_seconds=0.0, load_lag=0.0
    )
    module = "tealcove.standins.service"
    async with builders.process(module, settings) as (caller, child):
        pending = asyncio.create_task(caller.call("POST", "/quotes"))
        while not (pending.done() or (await caller.call("GET", "/load"))["running"]):
            pass
        child.send_signal(signal.SIGTERM)
        assert (await pending)["path"] == "/quotes"
        assert json.loads(await child.stdout.readline())["event"] == "stopped"
        assert await child.wait() == 0
