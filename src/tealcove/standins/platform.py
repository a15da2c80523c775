"""A small stand-in for the platform: the in-memory one behind HTTP."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from tealcove import errors
from tealcove.storage import (
    client,
    faults,
    instances,
    memory,
    services,
    table,
)

GREATEST_BODY = 64 * 2**20
JSON_TYPE = "application/json"
BAD_REQUEST = 400

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a stand-in that runs as a process of its own."""

    host: str = "127.0.0.1"
    # 0: any free port.
    port: int = 0
    # Bytes a second that the weight store gives out.
    weight_rate: float = memory.DEFAULT_WEIGHT_RATE
    faults: faults.Faults = msgspec.field(default_factory=faults.Faults)


class Counts(msgspec.Struct, frozen=True):
    """Calls that were admitted since the start."""

    reads: int
    writes: int


class PlatformStandin:
    """Serves the in-memory platform; `memory` is open to the tests that embed it."""

    def __init__(self, settings: PlatformSettings | None = None) -> None:
        self.settings = settings or PlatformSettings()
        self.memory = memory.MemoryPlatform(weight_rate=self.settings.weight_rate)
        self.memory.faults = self.settings.faults
        self.port = self.settings.port
        self.runner: web.AppRunner | None = None

    @property
    def url(self) -> str:
        """The base URL for a PlatformClient."""
        return f"http://{self.settings.host}:{self.port}"

    async def start(self) -> None:
        """Listen; `port` holds the port from here on, also over a restart."""
        runner = web.AppRunner(self.application(), access_log=None, shutdown_timeout=0)
        await runner.setup()
        site = web.TCPSite(runner, self.settings.host, self.port)
        await site.start()
        self.port = runner.addresses[0][1]
        self.runner = runner

    async def stop(self) -> None:
        """Stop listening and close all connections; the contents stay."""
        if self.runner is not None:
            await self.runner.cleanup()
            self.runner = None

    def application(self) -> web.Application:
        """Return the application with all routes."""
        application = web.Application(
            client_max_size=GREATEST_BODY, middlewares=[answer_errors]
        )
        router = application.router
        router.add_post(services.COMMIT_PATH, self.commit)
        router.add_get(services.ROW_PATH, self.read)
        router.add_get(services.SCAN_PATH, self.scan)
        router.add_post(services.OBJECT_PUT_PATH, self.put_object)
        router.add_post(services.OBJECT_DELETE_PATH, self.delete_object)
        router.add_get(services.OBJECT_PATH, self.get_object)
        router.add_get(services.INSTANCES_PATH, self.list_instances)
        router.add_post(services.RESERVE_PATH, self.reserve)
        router.add_put("/standin/faults", self.change_faults)
        router.add_get("/standin/counts", self.tell_counts)
        router.add_put("/standin/instances/{name}", self.register)
        router.add_delete("/standin/instances/{name}", self.remove)
        return application

    async def commit(self, request: web.Request) -> web.Response:
        """Commit a transaction; 409 carries every conflict."""
        body = await request.read()
        transaction = msgspec.msgpack.decode(body, type=table.Transaction)
        return packed(await self.memory.table.commit(transaction))

    async def read(self, request: web.Request) -> web.Response:
        """Answer one row, or 204."""
        query = request.query
        row = await self.memory.table.read(query["table"], query["key"])
        if row is None:
            return web.Response(status=client.HTTP_NO_CONTENT)
        return packed(row)

    async def scan(self, request: web.Request) -> web.Response:
        """Answer a page of rows."""
        query = request.query
        return packed(
            await self.memory.table.scan(
                query["table"], query["after"], int(query["limit"])
            )
        )

    async def put_object(self, request: web.Request) -> web.Response:
        """Store an object."""
        content = await request.read()
        await self.memory.objects.put(request.query["name"], content)
        return web.Response()

    async def delete_object(self, request: web.Request) -> web.Response:
        """Delete an object."""
        await self.memory.objects.delete(request.query["name"])
        return web.Response()

    async def get_object(self, request: web.Request) -> web.Response:
        """Answer an object, or 204."""
        content = await self.memory.objects.get(request.query["name"])
        if content is None:
            return web.Response(status=client.HTTP_NO_CONTENT)
        return web.Response(body=content)

    async def list_instances(self, request: web.Request) -> web.Response:
        """Answer the lagging list."""
        return packed(await self.memory.instances.listed())

    async def reserve(self, request: web.Request) -> web.Response:
        """Reserve a load of weights."""
        body = await request.read()
        reservation = msgspec.msgpack.decode(body, type=services.Reservation)
        wait = await self.memory.weights.reserve(reservation.size)
        return packed(services.Reserved(wait))

    async def change_faults(self, request: web.Request) -> web.Response:
        """Replace all faults by those of the JSON body."""
        body = await request.read()
        self.memory.faults = msgspec.json.decode(body, type=faults.Faults)
        return web.Response(status=client.HTTP_NO_CONTENT)

    async def tell_counts(self, request: web.Request) -> web.Response:
        """Answer the numbers of reads and writes as JSON."""
        counts = Counts(self.memory.read_count, self.memory.write_count)
        return web.Response(body=msgspec.json.encode(counts), content_type=JSON_TYPE)

    async def register(self, request: web.Request) -> web.Response:
        """Add or replace an entry of the instance list, given as JSON."""
        body = await request.read()
        entry = msgspec.json.decode(body, type=instances.ListedInstance)
        if entry.name != request.match_info["name"]:
            return web.Response(status=BAD_REQUEST, text="The names differ.")
        self.memory.instances.register(entry)
        return web.Response(status=client.HTTP_NO_CONTENT)

    async def remove(self, request: web.Request) -> web.Response:
        """Remove an entry of the instance list."""
        self.memory.instances.remove(request.match_info["name"])
        return web.Response(status=client.HTTP_NO_CONTENT)


@web.middleware
async def answer_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Turn errors of the in-memory platform into statuses and cut connections."""
    try:
        return await handler(request)
    except table.ConditionFailedError as error:
        return packed(error.conflicts, client.HTTP_CONFLICT)
    except faults.RateLimitedError as error:
        return web.Response(status=client.HTTP_TOO_MANY_REQUESTS, text=str(error))
    except errors.PlatformUnavailableError as error:
        return web.Response(status=client.HTTP_UNAVAILABLE, text=str(error))
    except errors.OutcomeUnknownError:
        # The write is applied. Cutting the connection here loses the reply.
        if request.transport is not None:
            request.transport.abort()
        return web.Response()
    except (KeyError, ValueError) as error:
        return web.Response(status=BAD_REQUEST, text=f"Not understood: {error}")


def packed(answer: object, status: int = client.HTTP_OK) -> web.Response:
    """Return a response that carries a struct as MessagePack."""
    return web.Response(
        status=status,
        body=msgspec.msgpack.encode(answer),
        content_type=client.CONTENT_TYPE,
    )


async def serve(
    settings: PlatformSettings,
    on_start: Callable[[PlatformStandin], None] | None = None,
) -> None:
    """Run a stand-in until the task is cancelled; `on_start` learns its port."""
    standin = PlatformStandin(settings)
    await standin.start()
    try:
        if on_start is not None:
            on_start(standin)
        await asyncio.Event().wait()
    finally:
        await standin.stop()
