"""Helpers that run stand-ins in a test and call them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
from collections.abc import AsyncIterator, Callable
from http import HTTPStatus

import aiohttp
import msgspec

from tealcove.standins import (
    backend,
    backend_settings,
    engine,
    engine_settings,
    service,
)

MODEL = "drafts"
# A block of the prefix cache is 64 tokens of 4 bytes.
BLOCK = "x" * 256
TIMEOUT_SECONDS = 20.0
# Runs the stand-in of the module and settings given as arguments.
SERVE_SCRIPT = """
import asyncio, importlib, sys, typing, msgspec
module = importlib.import_module(sys.argv[1])
shape = typing.get_type_hints(module.serve)["settings"]
asyncio.run(module.serve(msgspec.json.decode(sys.argv[2], type=shape)))
"""


def fast_engine_settings(**fields: object) -> engine_settings.EngineSettings:
    """Return the settings of a fast engine without lag."""
    values = {
        "models": {MODEL: "1"},
        "decode_seconds_per_token": 0.002,
        "prefill_tokens_per_second": 1e6,
        "load_lag": 0.0,
        "event_lag": 0.0,
        "event_gap_share": 0.0,
        **fields,
    }
    return engine_settings.EngineSettings(**values)


@contextlib.asynccontextmanager
async def running(standin: backend.BackendStandin) -> AsyncIterator[Caller]:
    """Run a stand-in and yield a caller for it."""
    await standin.start()
    async with aiohttp.ClientSession(f"http://127.0.0.1:{standin.port}") as session:
        yield Caller(session, standin)
    await standin.stop()


def running_engine(**fields: object) -> contextlib.AbstractAsyncContextManager[Caller]:
    """Run an engine and yield a caller for it."""
    return running(engine.EngineStandin(fast_engine_settings(**fields)))


def running_service(**fields: object) -> contextlib.AbstractAsyncContextManager[Caller]:
    """Run a plain service and yield a caller for it."""
    settings = service.ServiceSettings(load_lag=0.0, **fields)
    return running(service.ServiceStandin(settings))


@contextlib.asynccontextmanager
async def process(
    module: str, settings: backend_settings.BackendSettings
) -> AsyncIterator[tuple[Caller, asyncio.subprocess.Process]]:
    """Run a stand-in as a separate process, and yield a caller and the process."""
    child = await asyncio.create_subprocess_exec(
        *(sys.executable, "-c", SERVE_SCRIPT, module, msgspec.json.encode(settings)),
        stdout=asyncio.subprocess.PIPE,
        env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
    )
    try:
        port = json.loads(await child.stdout.readline())["port"]
        url = f"http://127.0.0.1:{port}"
        async with aiohttp.ClientSession(url) as session:
            yield Caller(session), child
    finally:
        if child.returncode is None:
            child.kill()
            await child.wait()


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while True:
            if condition():
                return
            await asyncio.sleep(0.005)


class Answer:
    """A stream that was read: its id header, events, and whether it is complete."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self.status = response.status
        self.header_id = response.headers.get("X-Request-Id")
        self.events: list[dict] = []
        self.is_complete = False

    @property
    def text(self) -> str:
        return "".join(event.get("text", "") for event in self.events)

    @property
    def indexes(self) -> list[int]:
        return [event["index"] for event in self.events]

    @property
    def usage(self) -> dict:
        return self.events[-1]["usage"]

    async def read(self, response: aiohttp.ClientResponse) -> Answer:
        if self.status != HTTPStatus.OK:
            return self
        with contextlib.suppress(aiohttp.ClientError):
            async for line in response.content:
                self.parse_line(line.decode().strip())
        return self

    def parse_line(self, line: str) -> None:
        if line == "data: [DONE]":
            self.is_complete = True
        elif line:
            self.events.append(json.loads(line.removeprefix("data: ")))


class Caller:
    """Calls one stand-in."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        standin: backend.BackendStandin | None = None,
    ) -> None:
        self.session = session
        self.standin = standin
        self.counts = standin.counts if standin is not None else None

    def post(self, request_id: str, prompt: str = "p", max_tokens: int = 5, **more):
        body = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens, **more}
        headers = {"X-Request-Id": request_id}
        return self.session.post("/v1/completions", json=body, headers=headers)

    async def complete(self, request_id: str, *arguments, **more) -> Answer:
        async with self.post(request_id, *arguments, **more) as response:
            return await Answer(response).read(response)

    async def complete_or_raise(self, request_id: str, *arguments, **more) -> Answer:
        """Return a complete answer; raises ClientError for an incomplete one."""
        answer = await self.complete(request_id, *arguments, **more)
        if not answer.is_complete:
            raise aiohttp.ClientPayloadError
        return answer

    async def resume(self, request_id: str, offset: int) -> Answer:
        path = f"/v1/completions/{request_id}?offset={offset}"
        async with self.session.get(path) as response:
            return await Answer(response).read(response)

    async def call(self, method: str, path: str, status: int = 200, **more) -> object:
        async with self.session.request(method, path, **more) as response:
            assert response.status == status
            content = await response.read()
            is_json = response.content_type == "application/json"
            return json.loads(content) if is_json else None

    async def set_faults(self, **faults: object) -> None:
        await self.call("PUT", "/standin/faults", json=faults)
