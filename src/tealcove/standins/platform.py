"""A stand-in for the platform's store: the in-memory platform over HTTP."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from tealcove import decoding, errors
from tealcove.platform import names, store, wire
from tealcove.storage import (
    faults,
    feed,
    instances,
    memory,
    rowlist,
    rowweights,
    table,
)

MAX_BODY_BYTES = 64 * 2**20
JSON_TYPE = "application/json"
NO_CONTENT = 204
BAD_REQUEST = 400
FORBIDDEN = 403
MILLISECONDS = 1000.0
# Limits of the store's calls.
MAX_ENTRIES = 100
MAX_WAIT_MS = 30_000
# Tables that instances can't write.
READ_ONLY_TABLES = (names.OPERATOR_TABLE, names.SERVERS_TABLE)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a stand-in that runs as a separate process."""

    host: str = "127.0.0.1"
    # 0: any free port.
    port: int = 0
    # Bytes per second that the weight store serves.
    weight_rate: float = rowweights.DEFAULT_RATE
    faults: faults.Faults = msgspec.field(default_factory=faults.Faults)
    # The era that all answers name; None: they name none.
    era: int | None = None


class Counts(msgspec.Struct, frozen=True):
    """The number of calls admitted since the start."""

    reads: int
    writes: int
    # Transactions that arrived, by table.
    tables: dict[str, int]


class PlatformStandin:
    """Serves the in-memory platform; embedding tests access `memory` directly."""

    def __init__(self, settings: PlatformSettings | None = None) -> None:
        self.settings = settings or PlatformSettings()
        self.memory = memory.MemoryPlatform(weight_rate=self.settings.weight_rate)
        self.memory.faults = self.settings.faults
        self.port = self.settings.port
        self.era = self.settings.era
        self.runner: web.AppRunner | None = None

    @property
    def url(self) -> str:
        """The base URL for a `StoreClient`."""
        return f"http://{self.settings.host}:{self.port}"

    async def start(self) -> None:
        """Start listening; `port` keeps the port in use, also across restarts."""
        runner = web.AppRunner(
            self.application(),
            access_log=None,
            shutdown_timeout=0,
            # A handler of the change feed must end when its caller disconnects.
            handler_cancellation=True,
        )
        await runner.setup()
        site = web.TCPSite(runner, self.settings.host, self.port)
        await site.start()
        self.port = runner.addresses[0][1]
        self.runner = runner

    async def stop(self) -> None:
        """Stop listening and close all connections; the data is kept."""
        if self.runner is not None:
            await self.runner.cleanup()
            self.runner = None

    def application(self) -> web.Application:
        """Return the application with all routes."""
        application = web.Application(
            client_max_size=MAX_BODY_BYTES,
            middlewares=[self.name_era, self.handle_errors],
        )
        router = application.router
        router.add_post(names.TRANSACT_PATH, self.transact)
        router.add_get(names.READ_PATH, self.read)
        router.add_get(names.FEED_PATH, self.feed)
        router.add_put(names.PUT_OBJECT_PATH + "{name}", self.put_object)
        router.add_get(names.GET_OBJECT_PATH + "{name}", self.get_object)
        router.add_delete(names.DROP_OBJECT_PATH + "{name}", self.delete_object)
        router.add_put("/standin/faults", self.replace_faults)
        router.add_get("/standin/counts", self.show_counts)
        router.add_post("/standin/forget", self.clear_history)
        router.add_put("/standin/rows/{table}/{key}", self.write_row)
        router.add_delete("/standin/rows/{table}/{key}", self.delete_row)
        router.add_put("/standin/instances/{name}", self.register)
        router.add_delete("/standin/instances/{name}", self.unregister)
        return application

    async def transact(self, request: web.Request) -> web.Response:
        """Apply a transaction; 412 carries the rows of its conditions."""
        body = decoding.decode_json(await request.read(), wire.WireTransaction)
        if any(row.table in READ_ONLY_TABLES for row in (*body.puts, *body.drop)):
            return web.Response(status=FORBIDDEN, text="The operator's own table.")
        if len(body.expect_rev) + len(body.puts) + len(body.drop) > MAX_ENTRIES:
            return web.Response(status=BAD_REQUEST, text="Too many entries.")
        try:
            # A caller that disconnects doesn't cancel its write, which may still be
            # applied seconds later.
            done = await asyncio.shield(self.memory.table.commit(to_transaction(body)))
        except table.ConditionFailedError:
            stored = self.memory.table.rows
            places = [(one.table, one.key) for one in body.expect_rev]
            found = [wire_row(stored[place]) for place in places if place in stored]
            return self.page(found, status=store.HTTP_PRECONDITION_FAILED)
        return self.page([], version=done.version)

    async def read(self, request: web.Request) -> web.Response:
        """Answer a page of rows, sorted by key."""
        query = request.query
        limit = min(int(query.get("limit", store.PAGE_ROWS)), store.PAGE_ROWS)
        if query["table"] == rowlist.TABLE:
            rows = await self.listed_rows()
        else:
            await self.memory.gate.admit_read()
            rows = self.memory.table.rows_of_table(query["table"])
        rows = [row for row in rows if row.key >= query.get("from", "")]
        return self.page(
            [wire_row(row) for row in rows[:limit]], has_more=len(rows) > limit
        )

    async def listed_rows(self) -> list[table.Row]:
        """Return the lagging instance list as rows."""
        return [
            table.Row(rowlist.TABLE, entry.name, msgspec.json.encode(entry), 1)
            for entry in await self.memory.instances.listed()
        ]

    async def feed(self, request: web.Request) -> web.Response:
        """Answer the changes of a table, as a long poll."""
        query = request.query
        seconds = min(int(query["wait_ms"]), MAX_WAIT_MS) / MILLISECONDS
        found = await self.memory.table.wait_for_changes(
            query["table"], int(query["since_rev"]), seconds
        )
        rows = [wire_change(query["table"], entry) for entry in found.entries]
        return self.page(rows, version=found.version)

    def page(
        self,
        rows: list[wire.WireRow],
        version: int | None = None,
        has_more: bool = False,
        status: int = store.HTTP_OK,
    ) -> web.Response:
        """Return the response with a page of rows."""
        newest = self.memory.table.last_version if version is None else version
        now_ms = self.memory.gate.clock() * MILLISECONDS
        found = wire.WirePage(tuple(rows), newest, has_more, now_ms)
        body = msgspec.json.encode(found)
        return web.Response(status=status, body=body, content_type=JSON_TYPE)

    async def put_object(self, request: web.Request) -> web.Response:
        """Store an object."""
        content = await request.read()
        name = request.match_info["name"]
        await asyncio.shield(self.memory.objects.put(name, content))
        return web.Response()

    async def delete_object(self, request: web.Request) -> web.Response:
        """Delete an object."""
        name = request.match_info["name"]
        await asyncio.shield(self.memory.objects.delete(name))
        return web.Response()

    async def get_object(self, request: web.Request) -> web.Response:
        """Answer an object, or 404 if it doesn't exist."""
        content = await self.memory.objects.get(request.match_info["name"])
        if content is None:
            return web.Response(status=store.HTTP_NOT_FOUND)
        return web.Response(body=content)

    async def clear_history(self, request: web.Request) -> web.Response:
        """Discard the change history."""
        await self.memory.table.discard_history()
        return web.Response(status=NO_CONTENT)

    async def restore(self, saved: memory.SavedTable) -> None:
        """Return to a copy of the table, under an era that is one higher."""
        self.era = 1 if self.era is None else self.era + 1
        await self.memory.table.restore(saved)

    async def write_row(self, request: web.Request) -> web.Response:
        """Write a row on behalf of the operator or a backend server."""
        place = request.match_info
        await self.put_row(place["table"], place["key"], await request.read())
        return web.Response(status=NO_CONTENT)

    async def delete_row(self, request: web.Request) -> web.Response:
        """Delete a row on behalf of the operator or a backend server."""
        place = request.match_info
        await self.put_row(place["table"], place["key"], None)
        return web.Response(status=NO_CONTENT)

    async def put_row(self, name: str, key: str, value: bytes | None) -> None:
        """Write a row, or delete it if `value` is None; faults don't apply."""
        rows = self.memory.table
        rows.last_version += 1
        write = table.Delete(name, key) if value is None else None
        rows.apply(write or table.Put(name, key, value))
        async with rows.changed:
            rows.changed.notify_all()

    @web.middleware
    async def name_era(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Add the era to an answer, whatever its status."""
        response = await handler(request)
        if self.era is not None:
            response.headers[names.STORE_ERA] = str(self.era)
        return response

    @web.middleware
    async def handle_errors(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Map errors of the in-memory platform to statuses or a broken connection."""
        is_control = request.path.startswith("/standin/")
        if not is_control and request.remote in self.memory.faults.refused_callers:
            return web.Response(status=store.HTTP_UNAVAILABLE)
        try:
            return await handler(request)
        except feed.HistoryLostError as error:
            return web.Response(status=store.HTTP_GONE, text=str(error))
        except faults.RateLimitedError as error:
            return web.Response(status=store.HTTP_TOO_MANY_REQUESTS, text=str(error))
        except errors.PlatformUnavailableError as error:
            return web.Response(status=store.HTTP_UNAVAILABLE, text=str(error))
        except errors.OutcomeUnknownError:
            # The write is applied; breaking the connection loses the reply.
            if request.transport is not None:
                request.transport.abort()
            return web.Response()
        except (KeyError, ValueError) as error:
            return web.Response(status=BAD_REQUEST, text=f"Not understood: {error}")

    async def replace_faults(self, request: web.Request) -> web.Response:
        """Replace all faults with those of the JSON body."""
        body = await request.read()
        self.memory.faults = decoding.decode_json(body, faults.Faults)
        return web.Response(status=NO_CONTENT)

    async def show_counts(self, request: web.Request) -> web.Response:
        """Answer the number of reads, writes and transactions as JSON."""
        memory = self.memory
        counts = Counts(memory.read_count, memory.write_count, memory.table.arrived)
        return web.Response(body=msgspec.json.encode(counts), content_type=JSON_TYPE)

    async def register(self, request: web.Request) -> web.Response:
        """Add or replace an entry of the instance list, given as JSON."""
        body = await request.read()
        entry = decoding.decode_json(body, instances.ListedInstance)
        if entry.name != request.match_info["name"]:
            return web.Response(status=BAD_REQUEST, text="The names differ.")
        self.memory.instances.register(entry)
        return web.Response(status=NO_CONTENT)

    async def unregister(self, request: web.Request) -> web.Response:
        """Remove an entry of the instance list."""
        self.memory.instances.remove(request.match_info["name"])
        return web.Response(status=NO_CONTENT)


def to_transaction(body: wire.WireTransaction) -> table.Transaction:
    """Convert a transaction to the form of the in-memory platform."""
    conditions = tuple(
        table.VersionIs(one.table, one.key, one.row_version)
        if one.row_version
        else table.Absent(one.table, one.key)
        for one in body.expect_rev
    )
    puts = tuple(table.Put(row.table, row.key, row.content()) for row in body.puts)
    drops = tuple(table.Delete(row.table, row.key) for row in body.drop)
    return table.Transaction(conditions, puts + drops)


def wire_row(row: table.Row) -> wire.WireRow:
    """Convert a row to its wire format."""
    value = base64.b64encode(row.value).decode()
    return wire.WireRow(row.table, row.key, value=value, row_version=row.version)


def wire_change(name: str, entry: feed.Entry) -> wire.WireRow:
    """Convert a change to its wire format."""
    if entry.value is None:
        return wire.WireRow(name, entry.key, row_version=entry.version, tombstone=True)
    return wire_row(table.Row(name, entry.key, entry.value, entry.version))


async def serve(
    settings: PlatformSettings,
    on_start: Callable[[PlatformStandin], None] | None = None,
) -> None:
    """Run a stand-in until cancelled; call `on_start` once it is listening."""
    standin = PlatformStandin(settings)
    await standin.start()
    try:
        if on_start is not None:
            on_start(standin)
        await asyncio.Event().wait()
    finally:
        await standin.stop()
