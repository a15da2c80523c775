"""Answers with neither a length nor chunks, which end with their connections."""

from __future__ import annotations

import collections
import contextlib
from collections.abc import AsyncIterator

import pytest

from tealcove.front import instance
from tealcove.standins import poolserver
from tests import cuts, platform_site

EVENTS = 3
VERSION = poolserver.FIRST_VERSION
STREAM = poolserver.stream_of(VERSION, EVENTS)
FIRST_EVENT = len(poolserver.stream_of(VERSION, 1))
SECOND_EVENT = len(poolserver.stream_of(VERSION, 2))
DIRECT, RELAYED = False, True
# Sites over which the sizes are spread, to stay within the budget of retries.
SITES_OF_SIZES = 2


@contextlib.asynccontextmanager
async def unframed_site(
    is_relayed: bool = DIRECT, servers: int = 1
) -> AsyncIterator[tuple[platform_site.Site, instance.Instance]]:
    """Run a site whose servers frame no answers, and yield an instance, too."""
    async with platform_site.connected_site(servers, 2) as running:
        first = running.instances[0]
        for server in running.servers:
            server.is_unframed = True
            server.event_count = EVENTS
        hidden = running.servers if is_relayed else []
        with cuts.cut([first], hidden, cuts.How.REFUSED):
            yield running, first


@pytest.mark.parametrize("is_relayed", [DIRECT, RELAYED])
@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("route", ["safe", "once", "stream"])
async def test_answers_without_a_length_are_whole(
    route: str, version: str, is_relayed: bool
) -> None:
    """Guards against taking the end of the connection for a broken answer."""
    async with unframed_site(is_relayed) as (running, first):
        (server,) = running.servers
        server.http_version = version
        answer = await running.send(f"/{route}/1", first)
        expected = STREAM if route == "stream" else f"from {server.name}".encode()
        assert (answer.status, answer.is_complete) == (200, True)
        assert answer.body == expected
        assert len(server.runs) == 1


@pytest.mark.parametrize("is_relayed", [DIRECT, RELAYED])
@pytest.mark.parametrize("offset", range(SITES_OF_SIZES))
async def test_a_stream_that_ends_inside_an_event_goes_on_elsewhere(
    offset: int, is_relayed: bool
) -> None:
    """Guards against a stream that seems complete though its connection just ended."""
    async with unframed_site(is_relayed, servers=2) as (running, first):
        for size in range(FIRST_EVENT + 1 + offset, SECOND_EVENT, SITES_OF_SIZES):
            await check_goes_on(running, first, size)


async def test_a_stream_that_is_reset_goes_on_elsewhere() -> None:
    """Guards against a reset between two events that looks like the stream's end."""
    async with unframed_site(servers=2) as (running, first):
        for server in running.servers:
            server.resets_unframed = True
        for size in (0, FIRST_EVENT, FIRST_EVENT + 1, len(STREAM) - 1):
            await check_goes_on(running, first, size)


async def test_a_stream_without_an_event_is_sent_elsewhere() -> None:
    """Guards against an empty stream for a server that ended right after its head."""
    async with unframed_site(servers=2) as (running, first):
        await check_goes_on(running, first, 0)


@pytest.mark.parametrize("route", ["safe", "once"])
async def test_an_unframed_answer_that_is_reset_is_not_whole(route: str) -> None:
    """Guards against half an answer, told to be a whole one."""
    async with unframed_site() as (running, first):
        (server,) = running.servers
        server.unframed_sizes.extend((4, 4))
        server.resets_unframed = True
        answer = await running.send(f"/{route}/1", first)
        assert answer.status == 502


async def check_goes_on(
    running: platform_site.Site, first: instance.Instance, size: int
) -> None:
    """Check that a stream is whole whose first server ends after some bytes."""
    sizes = collections.deque((size,))
    for server in running.servers:
        server.unframed_sizes = sizes
    answer = await running.send("/stream/1", first)
    assert not sizes
    assert (answer.status, answer.is_complete) == (200, True), size
    assert answer.body == STREAM, size
