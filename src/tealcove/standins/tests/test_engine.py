"""The engine stand-in behaves as docs/BACKENDS.md describes."""

from __future__ import annotations

import asyncio
import json
import signal

import aiohttp
import msgspec
import pytest

from tealcove.standins import (
    backend_load,
    backend_settings,
    engine,
    engine_cache,
    engine_settings,
)
from tealcove.standins.tests import builders

LONG = 100_000
MODULE = "tealcove.standins.engine"


async def test_answer_is_complete_and_determined_by_the_prompt():
    async with builders.running_engine() as caller:
        answer = await caller.complete("a", "bisque", 40)
        other = await caller.complete("b", "rigging", 40)
    assert answer.is_complete and answer.header_id == "a"
    assert {event["id"] for event in answer.events} == {"a"}
    assert answer.text == engine.expected_answer("bisque", 40) != other.text
    position = 0
    for event in answer.events[:-1]:
        assert event["index"] == position
        position += event.get("count", 1)
    assert answer.events[-1] == {
        "id": "a",
        "index": 40,
        "finish": "stop",
        "usage": {"prompt_tokens": 2, "cached_tokens": 0, "completion_tokens": 40},
    }
    assert caller.counts.dispatches == caller.counts.completed == {"a": 1, "b": 1}
    assert caller.counts.decode_tokens == 80
    assert (caller.counts.prefill_tokens, caller.counts.prefill_wasted) == (4, 0)


async def test_several_tokens_of_one_step_share_an_event():
    fields = {"tick_seconds": 0.05, "decode_seconds_per_token": 0.0001}
    async with builders.running_engine(**fields) as caller:
        answer = await caller.complete("a", "p", 100)
    assert sum(event.get("count", 1) for event in answer.events[:-1]) == 100
    assert len(answer.events) < 100
    assert answer.text == engine.expected_answer("p", 100)


@pytest.mark.parametrize(
    ("more", "status"),
    [
        ({"model": "unknown"}, 404),
        ({"adapter": "unknown"}, 404),
        ({"max_tokens": 0}, 400),
        ({"stream": False}, 400),
        ({"prompt": 3}, 400),
    ],
)
async def test_invalid_requests_are_refused(more, status):
    async with builders.running_engine() as caller:
        assert (await caller.complete("a", **more)).status == status
        assert caller.counts.dispatches == {}


async def test_admits_all_requests_and_runs_one_per_slot():
    async with builders.running_engine(slots=2) as caller:
        calls = [caller.post(f"r{n}", "p", LONG) for n in range(5)]
        responses = await asyncio.gather(*calls)
        report = await caller.call("GET", "/load")
        assert (report["running"], report["waiting"], report["slots"]) == (2, 3, 2)
        await caller.call("DELETE", "/v1/completions/r0", status=204)
        report = await caller.call("GET", "/load")
        assert (report["running"], report["waiting"]) == (2, 2)
        assert not (await builders.Answer(responses[0]).read(responses[0])).is_complete
        await caller.call("DELETE", "/v1/completions/unknown", status=204)
        for response in responses:
            response.close()
    assert caller.counts.cancelled == 5
    assert caller.counts.completed == {}


async def test_second_dispatch_runs_and_is_counted():
    async with builders.running_engine() as caller:
        answers = await asyncio.gather(caller.complete("a"), caller.complete("a"))
        assert all(answer.is_complete for answer in answers)
        assert caller.counts.dispatches == caller.counts.completed == {"a": 2}


async def test_prefix_is_cached_until_it_is_evicted():
    async with builders.running_engine(cache_blocks=4) as caller:
        shared = builders.BLOCK * 3
        assert (await caller.complete("a", shared)).usage["cached_tokens"] == 0
        assert (await caller.complete("b", shared + "y")).usage["cached_tokens"] == 192
        await caller.complete("c", "z" * 512)
        # The end of the shared prefix is evicted before its start.
        assert (await caller.complete("d", shared)).usage["cached_tokens"] == 128
        assert (await caller.call("GET", "/load"))["cached_blocks"] == 4
        report = await caller.call("GET", "/cache-events?after=0")
        kinds = [(event["kind"], len(event["blocks"])) for event in report["events"]]
        assert kinds[:3] == [("stored", 3), ("stored", 2), ("removed", 1)]
        last = report["last"]
        again = await caller.call("GET", f"/cache-events?after={last}")
        assert again == {"events": [], "last": last}


async def test_cache_events_have_gaps():
    async with builders.running_engine(event_gap_share=0.5, seed=1) as caller:
        for number in range(20):
            await caller.complete(f"r{number}", str(number) * 256)
        report = await caller.call("GET", "/cache-events")
        sequences = [event["sequence"] for event in report["events"]]
        assert sequences == sorted(set(sequences))
        assert 0 < len(sequences) < 20


async def test_exported_kv_cache_serves_another_engine():
    async with builders.running_engine() as one, builders.running_engine() as other:
        await one.complete("a", builders.BLOCK * 2)
        async with one.session.get("/kv/a") as response:
            content = await response.read()
        await one.call("GET", "/kv/unknown", status=404)
        await other.call("PUT", "/kv/a", status=204, data=content)
        await other.call("PUT", "/kv/a", status=400, data=b"\xc1")
        answer = await other.complete("a", builders.BLOCK * 2)
    assert answer.usage["cached_tokens"] == 128


async def test_broken_answer_is_resumed_without_second_dispatch():
    """Guards against losing a request whose connection breaks.

    The connection breaks after 10 tokens, and the caller requests the rest from
    the same engine, which must keep the request, since only the network failed.
    """
    async with builders.running_engine() as caller:
        await caller.set_faults(cut_after_tokens=10)
        answer = await caller.complete("a", "p", 60)
        assert not answer.is_complete
        assert answer.text == engine.expected_answer("p", 10)
        rest = await caller.resume("a", 10)
        assert rest.is_complete
        assert answer.text + rest.text == engine.expected_answer("p", 60)
        assert (await caller.resume("a", 60)).is_complete
        assert (await caller.resume("unknown", 0)).status == 404
        assert caller.counts.dispatches == caller.counts.completed == {"a": 1}


async def test_request_that_is_not_resumed_is_cancelled_and_its_prefill_wasted():
    """Guards against an engine that keeps computing for a disconnected caller.

    The connection breaks and nobody resumes the request: after `resume_seconds`
    the slot must be free, and the computed prompt counts as wasted.
    """
    async with builders.running_engine(resume_seconds=0.05) as caller:
        response = await caller.post("a", builders.BLOCK, LONG)
        await response.content.readline()
        response.close()
        await builders.until(lambda: caller.counts.cancelled == 1)
        assert caller.counts.prefill_wasted == 64 == caller.counts.prefill_tokens
        assert (await caller.call("GET", "/load"))["running"] == 0
        assert (await caller.resume("a", 0)).status == 404


async def test_faulty_streams_are_recognisable():
    async with builders.running_engine() as caller:
        await caller.set_faults(wrong_id=1)
        wrong = await caller.complete("a")
        assert wrong.header_id == wrong.events[0]["id"] != "a"
        assert wrong.text != engine.expected_answer("p", 5)
        await caller.set_faults(wrong_event_id=1)
        wrong = await caller.complete("b")
        assert wrong.header_id == "b" != wrong.events[0]["id"]
        await caller.set_faults(duplicate_chunk=1)
        doubled = (await caller.complete("c")).indexes
        assert doubled[1] == doubled[2]
        await caller.set_faults(reorder_chunk=1)
        swapped = (await caller.complete("d")).indexes
        assert swapped != sorted(swapped) and len(set(swapped)) == len(swapped)
        await caller.set_faults(drop_chunk=1)
        missing = await caller.complete("e")
        assert missing.is_complete and missing.text != engine.expected_answer("p", 5)
        assert (await caller.complete("f")).text == engine.expected_answer("p", 5)


async def test_frozen_engine_answers_only_control_calls_until_unfrozen():
    running = builders.running_engine
    async with running() as caller, running() as other:
        response = await caller.post("a", "p", LONG)
        await response.content.readline()
        await caller.set_faults(freeze_seconds=1000.0)
        before = caller.counts.decode_tokens
        pending = asyncio.create_task(caller.complete("b"))
        await other.complete("c", "p", 50)
        counts = await caller.call("GET", "/standin/counts")
        assert counts["decode_tokens"] == before
        assert counts["dispatches"] == {"a": 1}
        await caller.set_faults()
        assert (await pending).is_complete
        response.close()


async def test_closed_port_refuses_connections_and_reopens():
    async with builders.running_engine() as caller:
        await caller.standin.apply_faults(engine.EngineFaults(refuse_seconds=1000.0))
        with pytest.raises(aiohttp.ClientConnectorError):
            await caller.complete("a")
        assert caller.counts.dispatches == {}
        await caller.standin.apply_faults(engine.EngineFaults(refuse_seconds=0.01))
        await builders.until(lambda: caller.standin.reopen_task is None)
        assert (await caller.complete("a")).is_complete


async def test_load_report_becomes_stale_but_health_does_not():
    async with builders.running_engine() as caller:
        await caller.call("GET", "/load")
        await caller.set_faults(stale_load=True, state="leaving")
        assert (await caller.call("GET", "/load"))["state"] == "serving"
        assert (await caller.call("GET", "/health"))["state"] == "leaving"
        assert (await caller.complete("late")).is_complete
        assert set(caller.counts.sent_while_leaving) == {"late"}
        await caller.set_faults(state="serving")
        assert (await caller.call("GET", "/load"))["state"] == "serving"


def order(fencing: int, kind: str, name: str = "", version: str = "") -> dict:
    """Return the body of an order."""
    return {"fencing": fencing, "order": kind, "name": name, "version": version}


@pytest.mark.parametrize("checks_fencing", [True, False])
async def test_orders_set_the_desired_state(checks_fencing):
    async with builders.running_engine(checks_fencing=checks_fencing) as caller:
        post = {"method": "POST", "path": "/orders"}
        for body in (order(7, "load_adapter", "jars", "2"), order(7, "set_role")):
            await caller.call(**post, json=body | {"role": "prefill"})
        await caller.call(**post, json=order(8, "load_model", builders.MODEL, "2"))
        status = 412 if checks_fencing else 200
        old = order(7, "unload_model", builders.MODEL)
        assert await caller.call(**post, status=status, json=old) == {"fencing": 8}
        await caller.call(**post, status=400, json=order(8, "dance"))
        models = {builders.MODEL: "2"} if checks_fencing else {}
        assert await caller.call("GET", "/state") == {
            "models": models,
            "adapters": {"jars": "2"},
            "role": "prefill",
            "fencing": 8,
        }
        accepted = [seen.accepted for seen in caller.counts.orders]
        assert accepted == [True, True, True, not checks_fencing]


async def test_marked_prompt_crashes_the_engine_which_can_restart():
    """Guards against losing the counts of a crashed engine.

    One prompt crashes the engine that starts it, and all other answers of that
    engine break too. The counts must survive, since tests check them.
    """
    crashes = []
    settings = builders.fast_engine_settings(crash_marker="poison")
    standin = engine.EngineStandin(settings, crashes.append)
    async with builders.running(standin) as caller:
        response = await caller.post("victim", builders.BLOCK, LONG)
        await response.content.readline()
        with pytest.raises(aiohttp.ClientError):
            await caller.complete_or_raise("killer", "a poison pill")
        await builders.until(lambda: crashes == [standin])
        assert not (await builders.Answer(response).read(response)).is_complete
        with pytest.raises(aiohttp.ClientConnectorError):
            await caller.complete("later")
        await standin.start()
        assert (await caller.complete("later")).usage["cached_tokens"] == 0
        assert caller.counts.completed == {"later": 1}
        assert caller.counts.prefill_wasted >= 64


async def test_sigterm_finishes_running_requests():
    """Guards against an answer that is cut off when an engine is stopped.

    SIGTERM arrives while a request runs; the process must write the complete
    answer before it exits with 0.
    """
    settings = builders.fast_engine_settings(linger_seconds=0.0)
    async with builders.process(MODULE, settings) as (caller, child):
        response = await caller.post("a", "p", 200)
        child.send_signal(signal.SIGTERM)
        answer = await builders.Answer(response).read(response)
        assert answer.is_complete
        assert answer.text == engine.expected_answer("p", 200)
        last = json.loads(await child.stdout.readline())
        assert last["event"] == "stopped"
        assert last["counts"]["completed"] == {"a": 1}
        assert await child.wait() == 0


async def test_marked_prompt_ends_the_process():
    settings = builders.fast_engine_settings(crash_marker="poison")
    async with builders.process(MODULE, settings) as (caller, child):
        with pytest.raises(aiohttp.ClientError):
            await caller.complete_or_raise("killer", "a poison pill")
        last = json.loads(await child.stdout.readline())
        assert last["event"] == "crashed"
        assert last["counts"]["dispatches"] == {"killer": 1}
        assert await child.wait() == engine.CRASH_EXIT_CODE


def test_load_report_lags():
    load = backend_load.LaggingLoad(lag=1.0)
    state = backend_settings.BackendState.SERVING
    reports = [backend_load.LoadReport(n, 0, 8, 0, 0, state) for n in range(4)]
    for second, report in enumerate(reports):
        load.sample(report, second)
    assert load.show(3.0) is reports[2]
    assert load.show(3.9) is reports[2]
    assert load.show(4.0) is reports[3]


def test_cache_events_are_delayed_and_dropped_ones_use_up_numbers():
    log = engine_cache.EventLog(lag=1.0, gap_share=0.0, seed=0)
    log.record("stored", (1,), 0.0)
    log.dropping = True
    log.record("stored", (2,), 0.1)
    log.dropping = False
    log.record("removed", (1,), 0.5)
    assert log.report(0, 0.9) == engine_cache.EventsReport((), 0)
    assert log.report(0, 1.0).last == 1
    assert [event.sequence for event in log.report(1, 1.5).events] == [3]


async def test_speed_factor_and_batch_size_slow_a_step():
    settings = builders.fast_engine_settings(batch_slowdown=0.5)
    batch = engine.EngineStandin(settings).batch
    alone = batch.step_seconds()
    batch.running = [None, None, None]
    assert batch.step_seconds() == pytest.approx(alone * 2)
    batch.speed_factor = 0.1
    assert batch.step_seconds() == pytest.approx(alone * 20)


def test_settings_refuse_an_unknown_key():
    with pytest.raises(msgspec.ValidationError):
        msgspec.json.decode(b'{"slot": 1}', type=engine_settings.EngineSettings)
