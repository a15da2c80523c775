"""Two instances of the resource API on one in-memory platform."""

from __future__ import annotations

import json
import pathlib

import msgspec
from aiohttp import web

from tealcove import ids, settings
from tealcove.entry import points
from tealcove.exporting import Telemetry
from tealcove.resources import api, copy, refusals, status, store
from tealcove.storage import memory

OPERATOR_KEY = "operator-key"
ANSWER = ("Buck", "wheat")


def write_settings(folder: pathlib.Path, **extra: object) -> str:
    """Write a settings file and return its path."""
    path = folder / "instance.json"
    path.write_text(json.dumps({"instance": "a", "data_centre": "b", **extra}))
    return str(path)


def telemetry(exporter=None, **extra) -> Telemetry:
    """Return the telemetry of an instance whose spans go to an exporter."""
    own = settings.Telemetry(**extra)
    return Telemetry(settings.Settings("a", "b", telemetry=own), exporter)


class Instance(status.StatusSource):
    """The HTTP API of one instance, with faults that tests inject."""

    def __init__(self, platform: memory.MemoryPlatform, fleet: list[Instance]) -> None:
        self.fleet = fleet
        self.copy = copy.ConfigurationCopy()
        self.store = store.ResourceStore(platform.table, platform.objects, self.copy)
        self.api = api.ResourceApi(self.store, self.copy, authorise, self)
        self.in_force_on = 2
        # Number of writes that are applied but whose reply is lost.
        self.lost_replies = 0
        # Headers and bodies of the completion requests received.
        self.requests: list[tuple[dict[str, str], dict]] = []
        self.completion: list[str] = list(ANSWER)
        self.refusal: dict | None = None
        self.url = ""

    def in_force(self, revision: ids.Revision, now: ids.Instant) -> status.InForce:
        """Return the status that the test has set."""
        return status.InForce(instances=self.in_force_on, of=2, since=None)

    async def start(self) -> None:
        """Listen on a free port."""
        app = web.Application(middlewares=[self.lose_reply])
        app.add_routes(self.api.routes())
        app.router.add_get("/v1/entry-points", self.entry_points)
        app.router.add_post("/v1/completions", self.complete)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=1)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        self.url = f"http://127.0.0.1:{self.runner.addresses[0][1]}"

    async def stop(self) -> None:
        """End watches, as in a shutdown, and stop listening."""
        self.api.end_watches()
        await self.runner.cleanup()

    async def catch_up(self) -> None:
        """Put the newest revision in force, as a daemon does periodically."""
        head_row = await self.store.log.read_head()
        await self.store.log.advance(self.copy, head_row.head)

    @web.middleware
    async def lose_reply(self, request: web.Request, handler) -> web.StreamResponse:
        """Abort the connection in place of the reply while `lost_replies` is set."""
        response = await handler(request)
        if request.method != "GET" and self.lost_replies:
            self.lost_replies -= 1
            request.transport.abort()
        return response

    async def entry_points(self, request: web.Request) -> web.Response:
        """Answer with the addresses of all instances."""
        found = [points.EntryPoint(one.url, "i", "b") for one in self.fleet]
        return web.Response(body=msgspec.json.encode(points.EntryPoints(found, 5.0)))

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Answer a completion; a streamed one ends with its count unless truncated."""
        body = await request.json()
        self.requests.append((dict(request.headers), body))
        if self.refusal is not None:
            return web.json_response(self.refusal, status=self.refusal["status"])
        if not body.get("stream"):
            text = "".join(self.completion)
            return web.json_response({"choices": [{"text": text}]})
        response = web.StreamResponse()
        await response.prepare(request)
        for number, text in enumerate(self.completion):
            part = {"choices": [{"text": text}]}
            if number == len(ANSWER) - 1:
                part["count"] = len(ANSWER)
            await response.write(f"data: {json.dumps(part)}\n\n".encode())
        await response.write(b"data: [DONE]\n\n")
        return response


def authorise(request: web.Request) -> str:
    """Accept the key of the only operator."""
    if request.headers.get("Authorization") != f"Bearer {OPERATOR_KEY}":
        raise refusals.UnauthorisedError("no key", "Set TEALCOVE_KEY.")
    return "operator"


async def fleet() -> list[Instance]:
    """Start two instances."""
    platform = memory.MemoryPlatform()
    instances: list[Instance] = []
    for _ in range(2):
        instances.append(Instance(platform, instances))
    for one in instances:
        await one.start()
    return instances
