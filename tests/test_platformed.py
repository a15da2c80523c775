"""The whole path on the users' platform, against its stand-ins."""

from __future__ import annotations

import asyncio
import gzip

import pytest

from tealcove.ingress import exchange
from tealcove.membership import messages
from tealcove.platform import engines, names
from tealcove.standins import poolserver
from tests import platform_site

Fault = poolserver.Fault
# Longer than any test waits.
LONG_TIMEOUT_MS = 10 * int(1000 * platform_site.TIMEOUT_SECONDS)
COMPLETE_STREAM = b"".join(
    f"id: {number}\ndata: piece {number}\n\n".encode() for number in range(1, 6)
)


def fail_next(running: platform_site.Site, fault: Fault, servers: int = 9) -> None:
    """Let the next request at each of some servers meet a fault."""
    for server in running.servers[:servers]:
        server.faults.append(fault)


def runs(running: platform_site.Site) -> list[poolserver.Run]:
    return [run for server in running.servers for run in server.runs]


async def test_a_request_is_passed_on_and_its_answer_unchanged():
    async with platform_site.site() as running:
        answer = await running.send(
            "/safe/a%2Fb?c=d",
            Tealcove_Tenant="forged",
            Kv_From="1.2.3.4:5/h",
            X_Own="1",
        )
        (run,) = runs(running)
        assert answer.status == 200
        assert answer.body.startswith(b"from s-")
        assert answer.headers[names.SIGNATURE].startswith("signed by s-")
        assert run.target == "/safe/a%2Fb?c=d"
        # What is the system's to set is set by it alone, and the key stays here.
        assert run.account == platform_site.ACCOUNT
        assert run.headers["X-Own"] == "1"
        assert "Kv-From" not in run.headers
        assert platform_site.KEY not in run.headers.values()
        assert 0 < int(run.deadline_ms) <= 2500


async def test_a_coded_body_goes_on_as_it_came():
    """A backend server gets another body than the caller's.

    Symptom: the server's signature isn't of what the caller sent. Sequence: a
    caller sends a compressed body. Cause: the HTTP library undoes the coding while
    the header that names it goes on.
    """
    coded = gzip.compress(b"recipe " * 100)
    async with platform_site.site() as running:
        answer = await running.send("/safe/1", body=coded, Content_Encoding="gzip")
        (run,) = runs(running)
        assert answer.status == 200
        assert run.headers["Content-Encoding"] == "gzip"
        assert run.body == coded


async def test_streams_pass_on_whole():
    async with platform_site.site() as running:
        answer = await running.send("/stream/1")
        assert (answer.status, answer.body, answer.is_complete) == (
            200,
            COMPLETE_STREAM,
            True,
        )
        rest = await running.send("/stream/1", Last_Event_Id="3")
        assert rest.body == COMPLETE_STREAM[COMPLETE_STREAM.index(b"id: 4") :]


async def test_what_is_not_declared_is_refused():
    async with platform_site.site() as running:
        assert (await running.send("/nowhere/1")).status == 404
        assert (await running.send("/safe/1", Api_Key="wrong")).status == 401
        assert (await running.send("/safe/1", Host="other.example")).status == 404
        assert (await running.send("/safe/1", Tealcove_Deadline_Ms="x")).status == 400
        assert runs(running) == []


async def test_a_lost_answer_is_final_for_what_may_run_once():
    """A request that may run once runs twice, or is said not to have run.

    Symptom: two runs of one request, or a 503 for one that has run. Sequence: the
    server runs it and resets the connection. Cause: a lost answer taken for one
    that wasn't sent.
    """
    async with platform_site.site() as running:
        fail_next(running, Fault.RESET)
        assert (await running.send("/once/1")).status == 502
        assert len(runs(running)) == 1


async def test_a_lost_answer_is_made_good_for_what_may_repeat():
    async with platform_site.site() as running:
        fail_next(running, Fault.RESET, 1)
        assert (await running.send("/safe/1")).status == 200
        fail_next(running, Fault.FAILED, 1)
        assert (await running.send("/safe/2")).status == 200


async def test_a_failed_answer_is_passed_on_when_the_second_server_fails_too(
    monkeypatch: pytest.MonkeyPatch,
):
    # However slow this process is, both servers are reached and may take their time.
    monkeypatch.setattr(engines, "CONNECT_TIMEOUT", platform_site.TIMEOUT_SECONDS)
    monkeypatch.setattr(exchange, "LEAST_SILENCE", platform_site.TIMEOUT_SECONDS)
    async with platform_site.site() as running:
        fail_next(running, Fault.FAILED)
        answer = await running.send("/safe/1")
        assert answer.status == 500
        assert names.SIGNATURE in answer.headers
        assert [len(server.runs) for server in running.servers] == [1, 1]


async def test_the_first_server_is_tried_again_where_the_second_is_out_of_reach(
    monkeypatch: pytest.MonkeyPatch,
):
    """A caller gets a success although the server before has failed the request.

    Symptom: 200 from the server that has answered 500. Sequence: the first server
    fails, and no connection to the second one stands in time; a process that stands
    still for 0.3 s while it connects is enough. Cause: none; it's allowed, since the
    request may repeat and ran twice at the most.
    """
    monkeypatch.setattr(exchange, "LEAST_SILENCE", platform_site.TIMEOUT_SECONDS)
    async with platform_site.site() as running:
        for _ in range(2):
            fail_next(running, Fault.FAILED, 1)
        await running.servers[1].stop()
        answer = await running.send("/safe/1")
        assert answer.status == 500
        assert [len(server.runs) for server in running.servers] == [2, 0]


async def test_a_full_server_has_not_run_the_request():
    async with platform_site.site() as running:
        fail_next(running, Fault.FULL, 1)
        running.servers[1].faults.append(Fault.FULL)
        running.servers[0].faults.append(Fault.FULL)
        refused = await running.send("/once/1")
        assert refused.status == 503
        assert float(refused.headers["Retry-After"]) > 0
        assert runs(running) == []


async def test_no_answer_of_another_request_is_passed_on():
    """A caller gets another caller's answer.

    Symptom: an answer whose id is another request's. Sequence: a faulty server
    sends an answer that belongs elsewhere. Cause: the echoed id isn't compared.
    """
    async with platform_site.site() as running:
        fail_next(running, Fault.WRONG_ID)
        answer = await running.send("/once/1")
        assert answer.status == 502
        assert b"from" not in answer.body


async def test_an_answer_that_is_reset_is_not_taken_for_whole():
    """A caller takes a part of an answer for the whole.

    Symptom: a 200 with half a body. Sequence: an answer without a length is reset
    on the way. Cause: the HTTP library takes a reset for the end of such an answer.
    """
    async with platform_site.site() as running:
        fail_next(running, Fault.UNFRAMED)
        answer = await running.send("/once/1")
        assert answer.status == 502
        assert b"half" not in answer.body


async def test_a_broken_stream_goes_on_at_another_server():
    async with platform_site.site() as running:
        fail_next(running, Fault.CUT, 1)
        running.servers[1].faults.append(Fault.CUT)
        answer = await running.send("/stream/1")
        assert [run.last_event for run in runs(running)] == [None, "2"]
        # The second server breaks off as well, at the same event.
        assert answer.body == COMPLETE_STREAM[: COMPLETE_STREAM.index(b"id: 3")]
        assert not answer.is_complete
        again = await running.send("/stream/1", Last_Event_Id="2")
        assert answer.body + again.body == COMPLETE_STREAM


async def test_a_stream_never_leaves_an_event_out():
    async with platform_site.site() as running:
        fail_next(running, Fault.SKIPPED_EVENT)
        answer = await running.send("/stream/brief/1")
        assert not answer.is_complete
        assert answer.body == COMPLETE_STREAM[: COMPLETE_STREAM.index(b"id: 3")]


async def test_a_silent_server_is_left_at_the_routes_time():
    async with platform_site.site() as running:
        fail_next(running, Fault.NO_ANSWER)
        answer = await running.send("/stream/brief/1")
        assert answer.status == 504


async def test_a_lost_answer_is_not_waited_for_to_the_end():
    """Callers of requests that may repeat wait for an answer that never comes.

    Symptom: no answer until the route's time is over. Sequence: a server runs the
    request and loses its answer without closing the connection. Cause: only a
    broken connection leads to another server.
    """
    async with platform_site.site() as running:
        fail_next(running, Fault.NO_ANSWER, 1)
        answers = [await running.send("/stream/1") for _ in range(2)]
        assert [answer.body for answer in answers] == [COMPLETE_STREAM] * 2
        assert len(runs(running)) == 3


async def test_a_caller_that_leaves_ends_its_run():
    async with platform_site.site() as running:
        fail_next(running, Fault.NO_ANSWER)
        sending = asyncio.create_task(running.send("/safe/1"))
        await platform_site.until(lambda: sum(s.running for s in running.servers) == 1)
        sending.cancel()
        await platform_site.until(lambda: sum(s.running for s in running.servers) == 0)
        assert (await running.send("/safe/1")).status == 200 or runs(running)


async def test_a_leaving_server_gets_nothing_more():
    async with platform_site.site() as running:
        first, second = running.servers
        entry = first.entry("draining")
        await running.write(names.SERVERS_TABLE, first.name, entry)
        views = running.instances[0].servers.known
        await platform_site.until(
            lambda: views[first.name].server.state.value == "leaving"
        )
        for _ in range(6):
            assert (await running.send("/safe/1")).status == 200
        assert first.runs == []
        assert len(second.runs) == 6


async def test_a_server_that_starts_again_under_its_name_has_free_slots():
    """Requests wait for a server that is idle.

    Symptom: nothing is sent to a restarted server until callers leave. Sequence: all
    slots of the only server are taken; it starts again under its name, and the old
    connections stay silent. Cause: runs of its old start hold slots of the new one.
    """
    async with platform_site.site(servers=1) as running:
        (server,) = running.servers
        server.faults.extend([Fault.NO_ANSWER] * poolserver.SLOTS)
        lost = [
            asyncio.create_task(
                running.send("/once/1", Tealcove_Deadline_Ms=str(LONG_TIMEOUT_MS))
            )
            for _ in range(poolserver.SLOTS)
        ]
        await platform_site.until(lambda: server.running == poolserver.SLOTS)
        again = server.entry(born=2)
        await running.write(names.SERVERS_TABLE, server.name, again)
        views = running.instances[0].servers.known
        await platform_site.until(lambda: views[server.name].server.start == 2)
        assert (await running.send("/once/2")).status == 200
        for task in lost:
            task.cancel()
        await asyncio.gather(*lost, return_exceptions=True)


async def test_a_row_that_is_no_entry_leaves_the_other_servers_in_use():
    """One row of another writer stops all requests.

    Symptom: requests go to an address of which nobody has written whole. Sequence: rows
    of other bytes and with fields missing come into the servers' table. Cause: what is
    missing is filled in by a guess.
    """
    async with platform_site.site(servers=1) as running:
        address = f"127.0.0.1:{running.servers[0].port}"
        part = f'{{"service":"pool","addr":"{address}"}}'
        await running.write(names.SERVERS_TABLE, "x", part.encode())
        await running.write(names.SERVERS_TABLE, "y", b"\xff\x00")
        added = await running.add_server("z")
        views = running.instances[0].servers.known
        await platform_site.until(lambda: added.name in views)
        assert set(views) == {running.servers[0].name, added.name}
        assert (await running.send("/safe/1")).status == 200


async def test_an_address_that_another_server_has_runs_nothing():
    """A request is run by a server of another service.

    Symptom: a run at a service that no route leads to. Sequence: a server dies, and
    its address is given to another one before its entry is gone. Cause: the
    request doesn't name the server that it's meant for.
    """
    async with platform_site.site() as running:
        for server in running.servers:
            server.name = f"other-{server.name}"
        assert (await running.send("/once/1")).status == 503
        assert runs(running) == []


async def test_a_limit_holds_over_all_instances():
    async with platform_site.site(instances=2) as running:
        limited = {"rate_per_s": 10, "burst": 1000, "plain_tokens": 200}
        account = {"name": platform_site.ACCOUNT, "api_keys": [platform_site.KEY]}
        await running.declare(
            platform_site.configuration(
                tenants=[{**account, **limited, "unit": "token"}]
            )
        )
        answers = [
            await running.send("/safe/1", running.instances[number % 2])
            for number in range(16)
        ]
        served = sum(answer.status == 200 for answer in answers)
        refused = [answer for answer in answers if answer.status == 429]
        assert served + len(refused) == 16
        assert served <= 6
        assert all(float(answer.headers["Retry-After"]) > 0 for answer in refused)


async def test_an_instance_that_the_store_turns_away_learns_from_its_peers():
    """An instance goes on with a key that was taken away.

    Symptom: requests with an old key are served for as long as the store turns
    one instance away. Sequence: the store refuses that instance's calls; keys
    change. Cause: only the store is asked for the configuration.
    """
    async with platform_site.site(instances=2) as running:
        refused_instance = running.instances[1]

        async def refused(*arguments: object) -> None:
            raise platform_site.platform.errors.PlatformUnavailableError("no", "wait")

        refused_instance.store.call = refused
        changed = [{"name": platform_site.ACCOUNT, "api_keys": ["new-key"]}]
        await running.declare(platform_site.configuration(tenants=changed))
        assert (await running.send("/safe/1", refused_instance)).status == 401
        assert (
            await running.send("/safe/1", refused_instance, Api_Key="new-key")
        ).status == 200


async def test_requests_go_on_while_the_store_is_down():
    async with platform_site.site() as running:
        running.store.memory.faults.down = True
        assert (await running.send("/once/1")).status == 200


async def test_an_instance_without_a_configuration_promises_nothing():
    """Callers are told that a route doesn't exist, and never come back.

    Symptom: 404 or 401 right after a restart. Sequence: an instance starts while
    the store is down and answers before it knows any route. Cause: no
    configuration taken for an empty one.
    """
    async with platform_site.site() as running:
        running.store.memory.faults.down = True
        fresh = await running.add_instance(is_isolated=True)
        answer = await running.send("/safe/1", fresh)
        assert answer.status == 503


async def test_a_leaving_instance_ends_what_it_has_and_refuses_the_rest():
    async with platform_site.site() as running:
        one = running.instances[0]
        running.servers[0].event_interval = running.servers[1].event_interval = 0.15
        streaming = asyncio.create_task(running.send("/stream/1"))
        await platform_site.until(lambda: bool(runs(running)))
        one.settings = platform_site.instance.settings.FrontSettings(
            instance="i-0",
            data_centre="dc-1",
            listen=one.settings.listen,
            store=one.settings.store,
            leaving=platform_site.settings.Leaving(0.05, 5.0),
        )
        leaving = asyncio.create_task(one.leave())
        await platform_site.until(lambda: one.ingress.is_closed)
        refused = await running.send("/once/1")
        assert refused.status == 503
        assert refused.headers["Connection"].lower() == "close"
        answer = await streaming
        assert (answer.body, answer.is_complete) == (COMPLETE_STREAM, True)
        await leaving


async def test_an_instance_ends_although_a_stream_does_not():
    """An instance that leaves is killed, and nobody hears its farewell.

    Symptom: processes are still there at the end of the grace time. Sequence: SIGTERM
    while a stream runs that is longer than that. Cause: the HTTP server waits up to
    60 s for its handlers before anything else is stopped.
    """
    async with platform_site.site(instances=2) as running:
        one, other = running.instances
        for server in running.servers:
            server.event_interval = LONG_TIMEOUT_MS
        long = platform_site.route("stream/long", "stream", timeout_ms=LONG_TIMEOUT_MS)
        await running.declare(platform_site.configuration(long, version=2))
        sent = running.send(
            "/stream/long/1", one, Tealcove_Deadline_Ms=str(LONG_TIMEOUT_MS)
        )
        streaming = asyncio.create_task(sent)
        await platform_site.until(lambda: bool(runs(running)))
        running.instances.remove(one)
        async with asyncio.timeout(platform_site.TIMEOUT_SECONDS):
            await one.stop()
        assert not (await streaming).is_complete
        await platform_site.until(lambda: is_gone(other, one))


def is_gone(
    seen_by: platform_site.instance.Instance, one: platform_site.instance.Instance
):
    """Tell whether an instance has heard another one's farewell."""
    known = seen_by.members.find(one.name)
    return known is None or known.lifecycle is messages.Lifecycle.GONE
