"""Tests of the copies that stand-in servers keep."""

from __future__ import annotations

import msgspec
import pytest
from aiohttp import test_utils

from tealcove import clock, ids
from tealcove.platform import names
from tealcove.standins import pool_copies

PROGRESS = pool_copies.Progress(is_prompt_read=True, events=3)


def asked(run: str = "r-1", source: str = "127.0.0.1:1/r-1") -> object:
    """Return a request that is to go on from a copy."""
    headers = {names.REQUEST_ID: run, names.KV_FROM: source}
    return test_utils.make_mocked_request("POST", "/stream/1", headers=headers)


def sent(method: str = "PUT", run: str = "r-1") -> object:
    """Return a message of another server on the copy of a run."""
    return test_utils.make_mocked_request(method, f"{pool_copies.COPY_PATH}{run}")


@pytest.fixture
async def kept() -> pool_copies.PoolCopies:
    """Return a server's copies, with one of the run r-1."""
    found = pool_copies.PoolCopies()
    found.receive(sent(), msgspec.json.encode(PROGRESS))
    return found


async def test_a_copy_is_found_by_the_id_of_its_run(
    kept: pool_copies.PoolCopies,
) -> None:
    """Guards against stand-ins that go on with another run, or without a copy."""
    now = clock.now()
    assert kept.find(asked(), now) == PROGRESS
    assert kept.find(asked("r-2", "127.0.0.1:1/r-2"), now) is None
    assert kept.find(asked("r-2"), now) is None


async def test_a_copy_is_dropped_at_the_end_of_its_run_or_after_a_while(
    kept: pool_copies.PoolCopies,
) -> None:
    """Guards against copies that a real server wouldn't keep any more."""
    later = ids.Instant(clock.now() + pool_copies.HANDLE_SECONDS)
    assert kept.find(asked(), later) is None
    kept.receive(sent("DELETE"), b"")
    assert kept.find(asked(), clock.now()) is None


async def test_a_server_without_room_keeps_no_copy() -> None:
    found = pool_copies.PoolCopies()
    found.has_room = False
    found.receive(sent(), msgspec.json.encode(PROGRESS))
    assert found.find(asked(), clock.now()) is None


async def test_the_size_of_a_copy_is_that_of_its_tokens() -> None:
    tokens = 1000 + 3 * pool_copies.EVENT_TOKENS
    assert PROGRESS.bytes_of(1000) == 18_432 * tokens
    assert pool_copies.Progress().bytes_of(1000) == 0
