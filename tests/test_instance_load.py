"""An instance that runs out of memory or processor time, and its callers."""

from __future__ import annotations

import asyncio
import socket

import aiohttp
import msgspec
import pytest

from tealcove import ids
from tealcove.front import instance, settings
from tealcove.instances import measurement, unread
from tealcove.instances.tests import builders
from tealcove.platform import names
from tests import platform_site

MEMORY_MB = 400.0
LOADED, IDLE = 0.96, 0.3
CALLERS = 60
# Bytes that the operating system keeps for a connection, at each end, and events that
# exceed all buffers.
SOCKET_BUFFER = 4096
MANY_EVENTS = 100_000
# Far longer than the test takes on a busy machine.
STREAM_MS = 60_000
CHANGES = {
    "instance_load": settings.InstanceLoad(enabled=True),
    "machine": settings.Machine(memory_mb=MEMORY_MB),
}


@pytest.fixture(autouse=True)
def _ignore_busy_machine(monkeypatch: pytest.MonkeyPatch) -> None:
    """Ignore the delays of this process, which depend on the machine's load."""
    monkeypatch.setattr(measurement, "FULL_DELAY_SECONDS", 1e6)


def inject(one: instance.Instance) -> builders.FakeSource:
    """Replace the measured figures of an instance."""
    source = builders.FakeSource()
    source.memory_bytes = IDLE * MEMORY_MB * 1e6
    one.load.measurement.source = source
    return source


def headroom_at(one: instance.Instance, other: instance.Instance) -> int:
    """Return the headroom of an instance as another one knows it."""
    name = ids.InstanceId(other.settings.instance)
    return one.members.find(name).headroom


async def count_callers(
    site: platform_site.Site, asked: instance.Instance, wanted: instance.Instance
) -> int:
    """Return how many callers an instance's directory sends to another one first."""
    url = f"http://{asked.settings.listen.directory}{names.RESOLVE_PATH}"
    found = 0
    for number in range(CALLERS):
        host = f"{site.network}.{100 + number}"
        connector = aiohttp.TCPConnector(local_addr=(host, 0))
        async with (
            aiohttp.ClientSession(connector=connector) as session,
            session.get(url, params={"zone": "dc-1"}) as response,
        ):
            addresses = (await response.json())["addrs"]
        assert len(addresses) == 2
        found += addresses[0] == wanted.settings.listen.callers
    return found


async def test_an_instance_short_of_memory_refuses_and_comes_back() -> None:
    """Guards against an instance that takes requests until it is killed.

    Its responses pile up, and it ends with all streams that run there. It must refuse
    new requests before, get fewer callers, keep its streams, and return to service.
    """
    async with platform_site.connected_site(2, 3, **CHANGES) as site:
        weak, other, _ = site.instances
        sources = [inject(one) for one in site.instances]
        for server in site.servers:
            server.event_interval = 0.3
        before = await count_callers(site, other, weak)
        assert before >= CALLERS / 6
        stream = asyncio.create_task(site.send("/stream/1", weak))
        await platform_site.until(lambda: bool(weak.streams.open))
        sources[0].memory_bytes = LOADED * MEMORY_MB * 1e6

        await platform_site.until(lambda: weak.load.protection.is_overloaded)
        refused = await site.send("/safe/1", weak)
        assert refused.status == 503
        problem = msgspec.json.decode(refused.body)
        assert problem["reason"] == "instance_overloaded"
        assert problem["outcome"] == "not_run"
        assert 0.0 < float(refused.headers["Retry-After"]) < 1.0
        assert not any(run.target == "/safe/1" for s in site.servers for run in s.runs)
        served = await stream
        assert served.status == 200
        assert served.is_complete
        await platform_site.until(lambda: headroom_at(other, weak) == 0)
        assert await count_callers(site, other, weak) == 0
        assert (await site.send("/safe/2", other)).status == 200
        for name in ("requests_instance_overloaded", "load_refusing"):
            assert f"tealcove_{name}_total".encode() in weak.metrics.metrics_text()
        assert b"tealcove_directory_without_room_total" in other.metrics.metrics_text()

        sources[0].memory_bytes = IDLE * MEMORY_MB * 1e6
        await platform_site.until(lambda: not weak.load.protection.is_overloaded)
        assert (await site.send("/safe/3", weak)).status == 200
        await platform_site.until(lambda: headroom_at(other, weak) >= 50)
        await platform_site.until(lambda: headroom_at(other, weak) == 100)
        assert await count_callers(site, other, weak) == before


async def test_if_all_instances_refuse_their_callers_still_get_addresses() -> None:
    """Guards against callers without an address, and an overload that never ends."""
    async with platform_site.connected_site(1, 2, **CHANGES) as site:
        one, other = site.instances
        sources = [inject(instance) for instance in site.instances]
        for source in sources:
            source.memory_bytes = LOADED * MEMORY_MB * 1e6
        await platform_site.until(lambda: headroom_at(one, other) == 0)
        await platform_site.until(lambda: headroom_at(other, one) == 0)
        # Each answer has two addresses, as checked there.
        await count_callers(site, one, other)
        assert (await site.send("/safe/1", one)).status == 503
        for source in sources:
            source.memory_bytes = IDLE * MEMORY_MB * 1e6
        await platform_site.until(lambda: headroom_at(one, other) > 0)
        await platform_site.until(lambda: headroom_at(other, one) > 0)
        assert (await site.send("/safe/2", one)).status == 200


async def test_without_the_settings_nothing_is_measured() -> None:
    """Guards against refusals and smaller answers where nobody asked for them."""
    async with platform_site.connected_site(1, 3) as site:
        assert all(one.load is None for one in site.instances)
        assert all(one.members.own.capacity == 0 for one in site.instances)
        url = f"http://{site.instances[0].settings.listen.directory}"
        async with site.session.get(
            f"{url}{names.RESOLVE_PATH}", params={"zone": "dc-1"}
        ) as response:
            assert len((await response.json())["addrs"]) == 3


async def open_unread(site: platform_site.Site) -> socket.socket:
    """Send a request for a stream, and return a connection that isn't read."""
    listening = site.instances[0].listeners[0]
    host, _, port = site.instances[0].settings.listen.callers.partition(":")
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER)
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(caller, (host, int(port)))
    await platform_site.until(lambda: len(listening.open) == 1)
    (transport,) = listening.open.values()
    accepted = transport.get_extra_info("socket")
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER)
    headers = {
        "Host": platform_site.HOST,
        names.REQUEST_ID: "unread",
        names.API_KEY: platform_site.KEY,
        names.DEADLINE_MS: str(STREAM_MS),
        "Content-Length": "0",
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    await loop.sock_sendall(caller, f"POST /stream/1 HTTP/1.1\r\n{lines}\r\n".encode())
    return caller


async def test_an_unread_stream_is_ended_while_memory_is_scarce(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against slow readers whose responses fill the memory of an instance."""
    monkeypatch.setattr(unread, "UNREAD_SECONDS", 0.3)
    async with platform_site.connected_site(1, 1, **CHANGES) as site:
        (only,) = site.instances
        source = inject(only)
        site.servers[0].event_count = MANY_EVENTS
        long = platform_site.route("stream", "stream", timeout_ms=STREAM_MS)
        await site.declare(platform_site.configuration(long))
        caller = await open_unread(site)
        await platform_site.until(lambda: only.load.answers.size() > 0)
        assert only.load.answers.ended == 0
        source.memory_bytes = LOADED * MEMORY_MB * 1e6
        await platform_site.until(lambda: only.load.answers.ended == 1)
        await platform_site.until(lambda: not only.ingress.in_progress)
        assert only.load.answers.size() == 0
        caller.close()
