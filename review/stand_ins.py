"""A small deployment on loopback: a store, backend servers, clients and instances.

The instances are the project's own processes, started as the deploy file says. The
rest are stand-ins that do what the users' pages say, and record what they see.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import time
from collections.abc import Awaitable, Callable

from aiohttp import web

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "callers.example"
ZONE = "hall-vannes"
KEY = "key-of-bakery"
# Ports of each instance, on an address of its own.
CALLERS_PORT, READY_PORT, DIRECTORY_PORT, PEERS_PORT = range(7000, 7004)
RELAY_PORT = 7015
# What the users' pages say of a small deployment.
CONTACT_SECONDS = 3.0
BEAT_SECONDS = 1.2
REMOVED_AFTER_BEATS = 3
GRACE_SECONDS = 8
MAX_ENTRIES = 100
PAGE_ROWS = 500
READY_SECONDS = 30.0

# The table, the part and the key of a row.
Place = tuple[str, str, str]
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class CannotRunError(Exception):
    """The case can't run here."""


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self.began = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def add(self, text: str) -> None:
        """Write a line."""
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


class Store:
    """The platform's store: rows in tables, transactions and a feed of changes."""

    def __init__(self) -> None:
        self.rows: dict[Place, tuple[bytes, int]] = {}
        self.version = 0
        self.log: list[tuple[int, Place, bytes | None]] = []
        self.changed = asyncio.Condition()
        self.began = time.monotonic()
        self.port = 0
        # Transactions that were refused since they had too many entries.
        self.refused = 0
        self.runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        app = web.Application(client_max_size=2**24)
        app.add_routes(
            [
                web.post("/rows-tx", self.transact),
                web.get("/rows-get", self.get),
                web.get("/rows-feed", self.feed),
            ]
        )
        self.runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True, shutdown_timeout=0
        )
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        self.port = self.runner.addresses[0][1]

    async def stop(self) -> None:
        """Close all connections."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row for the operator or a backend server; None: drop it."""
        self.version += 1
        self.apply((table, "", key), value)
        await self.notify()

    def apply(self, place: Place, value: bytes | None) -> None:
        """Write a row under the newest version."""
        self.rows.pop(place, None)
        if value is not None:
            self.rows[place] = (value, self.version)
        self.log.append((self.version, place, value))

    async def notify(self) -> None:
        """Wake the calls that wait for changes."""
        async with self.changed:
            self.changed.notify_all()

    def answer(self, status: int = 200, **fields: object) -> web.Response:
        """Return an answer with the newest version and the store's clock."""
        now = (time.monotonic() - self.began) * 1000
        body = {"row_version": self.version, "now_ms": now, **fields}
        return web.json_response(body, status=status)

    async def transact(self, request: web.Request) -> web.Response:
        """Apply all entries of a call, or none."""
        body = json.loads(await request.read())
        kinds = ("expect_rev", "puts", "drop")
        if sum(len(body.get(kind, ())) for kind in kinds) > MAX_ENTRIES:
            self.refused += 1
            return self.answer(status=400)
        expected = [(place_of(one), one) for one in body.get("expect_rev", ())]
        failed = [
            place
            for place, one in expected
            if self.rows.get(place, (b"", 0))[1] != one.get("row_version", 0)
        ]
        if failed:
            rows = [self.row(place) for place in failed if place in self.rows]
            return self.answer(status=412, rows=rows)
        self.version += 1
        for one in body.get("puts", ()):
            self.apply(place_of(one), base64.b64decode(one.get("value", "")))
        for one in body.get("drop", ()):
            self.apply(place_of(one), None)
        await self.notify()
        return self.answer()

    def row(self, place: Place) -> dict[str, object]:
        """Return a row as it is sent."""
        value, version = self.rows[place]
        return sent_row(place, value, version)

    async def get(self, request: web.Request) -> web.Response:
        """Answer a page of rows in order of key."""
        query = request.query
        limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        found = sorted(
            place
            for place in self.rows
            if place[:2] == (query["table"], query.get("part", ""))
            and place[2] >= query.get("from", "")
        )
        rows = [self.row(place) for place in found[:limit]]
        return self.answer(rows=rows, has_more=len(found) > limit)

    async def feed(self, request: web.Request) -> web.Response:
        """Answer the changes of a table as soon as there are any."""
        query = request.query
        since, name = int(query["since_rev"]), query["table"]
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            found = [
                entry for entry in self.log if entry[0] > since and entry[1][0] == name
            ]
            left = end - time.monotonic()
            if found or left <= 0.0:
                break
            async with self.changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), left)
        newest = {place: (version, value) for version, place, value in found}
        rows = []
        for place, (version, value) in newest.items():
            row = sent_row(place, value or b"", version)
            rows.append(row if value is not None else {**row, "tombstone": True})
        rows.sort(key=lambda row: row["row_version"])
        return self.answer(rows=rows)


def place_of(entry: dict[str, str]) -> Place:
    """Return the place of a row in a transaction."""
    return (entry["table"], entry.get("part", ""), entry["key"])


def sent_row(place: Place, value: bytes, version: int) -> dict[str, object]:
    """Return a row as the store sends it."""
    table, part, key = place
    text = base64.b64encode(value).decode()
    return {
        "table": table,
        "part": part,
        "key": key,
        "value": text,
        "row_version": version,
    }


class Request:
    """A request as a backend server read it."""

    def __init__(self, head: bytes, body: bytes) -> None:
        lines = head.decode("latin-1").split("\r\n")
        self.at = time.monotonic()
        self.method, self.target, _ = lines[0].split(" ", 2)
        pairs = (line.partition(":") for line in lines[1:] if line)
        self.headers = {name.lower(): value.strip() for name, _, value in pairs}
        self.body = body
        self.name = self.headers.get("tealcove-request-id", "")


# Answers a request in place of the server; returns False to end the connection.
Hook = Callable[["Server", Request, asyncio.StreamWriter], Awaitable[bool | None]]


class Server:
    """A backend server, with an entry in the store while it runs."""

    def __init__(self, name: str, service: str, store: Store, slots: int = 6) -> None:
        self.name, self.service, self.store, self.slots = name, service, store, slots
        self.seconds = 0.05
        self.state = "ready"
        self.zone = ZONE
        self.version = "v1"
        self.born = 0
        self.port = 0
        # All that reached it, and what it began to work on.
        self.seen: list[Request] = []
        self.runs: list[Request] = []
        self.hook: Hook | None = None
        self.beats = 0
        self.beating: asyncio.Task[None] | None = None
        self.listening: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Begin a start of its own: listen, and write its entry."""
        self.born = int(time.time() * 1000)
        self.beats = 0
        self.listening = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, limit=2**24
        )
        self.port = self.listening.sockets[0].getsockname()[1]
        await self.write()
        self.beating = asyncio.create_task(self.beat())

    async def beat(self) -> None:
        """Write its entry again and again."""
        while True:
            await asyncio.sleep(BEAT_SECONDS)
            await self.write()

    async def write(self) -> None:
        """Write its entry."""
        self.beats += 1
        entry = {
            "service": self.service,
            "addr": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self.beats,
            "born": self.born,
        }
        await self.store.put("servers", self.name, json.dumps(entry).encode())

    def crash(self) -> None:
        """End without a word; its entry is removed after some missed beats."""
        self.end()
        asyncio.get_running_loop().call_later(
            REMOVED_AFTER_BEATS * BEAT_SECONDS, self.start_removal, self.born
        )

    def start_removal(self, born: int) -> None:
        """Remove its entry, unless it has started again."""
        if born == self.born:
            self.removal = asyncio.create_task(
                self.store.put("servers", self.name, None)
            )

    def end(self) -> None:
        """Stop listening, and reset all connections."""
        if self.beating is not None:
            self.beating.cancel()
        if self.listening is not None:
            self.listening.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        self.writers.add(writer)
        try:
            while await self.answer_one(reader, writer):
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Read a request and answer it; return False to end the connection."""
        head = await reader.readuntil(b"\r\n\r\n")
        request = Request(head, b"")
        length = int(request.headers.get("content-length", 0))
        request.body = await reader.readexactly(length)
        self.seen.append(request)
        if request.headers.get("tealcove-expect-instance", self.name) != self.name:
            self.reject(writer, "421 Misdirected Request")
            return True
        if not request.name:
            self.reject(writer, "400 Bad Request")
            return True
        if self.hook is not None:
            found = await self.hook(self, request, writer)
            if found is not None:
                return found
        self.runs.append(request)
        await asyncio.sleep(self.seconds)
        self.answer(writer, request, f"{self.name} ran {request.name}".encode())
        return True

    def reject(self, writer: asyncio.StreamWriter, status: str) -> None:
        """Answer that a request wasn't run."""
        head = f"HTTP/1.1 {status}\r\nTealcove-Not-Executed: 1\r\n"
        writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())

    def answer(
        self,
        writer: asyncio.StreamWriter,
        request: Request,
        body: bytes,
        status: str = "200 OK",
    ) -> None:
        """Send a whole, signed answer."""
        head = (
            f"HTTP/1.1 {status}\r\nTealcove-Request-Id: {request.name}\r\n"
            f"Tealcove-Response-Stamp: {self.name}.{request.name}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)


class Instance:
    """One process of the deploy file, with its own loopback address."""

    def __init__(self, site: Site, number: int) -> None:
        self.site = site
        self.name = f"front-{number}"
        self.zone = ZONE
        # Where it reaches the store; 0: directly.
        self.store_port = 0
        # Where it finds others first; None: the first three instances.
        self.seeds: list[str] | None = None
        self.host = f"{site.network}.{number + 1}"
        self.path = site.folder / f"{self.name}.json"
        self.log = site.folder / f"{self.name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.started_at = 0.0

    def settings(self) -> dict[str, object]:
        """Return its settings, as the template of the deploy file makes them."""
        ports = {
            "callers": CALLERS_PORT,
            "ready": READY_PORT,
            "directory": DIRECTORY_PORT,
            "peers": PEERS_PORT,
        }
        store_port = self.store_port or self.site.store.port
        listen = {name: f"{self.host}:{port}" for name, port in ports.items()}
        seeds = self.seeds
        if seeds is None:
            seeds = [f"{one.host}:{PEERS_PORT}" for one in self.site.instances[:3]]
        return {
            "instance": self.name,
            "data_centre": self.zone,
            "listen": {**listen, "relay_port": RELAY_PORT},
            "store": {"address": f"127.0.0.1:{store_port}"},
            "seeds": seeds,
            "repeats": {"ratio": 0.2, "slack": 56, "window_seconds": 10},
            "account_limits": {"slack": 190000},
            "machine": {
                "cores": 2,
                "share": 0.537,
                "link_mbps": 1000.0,
                "memory_mb": 300,
                "descriptors": 4100,
            },
            "server_load": {"enabled": True, "only_shared": True},
            "leaving": {"grace_seconds": GRACE_SECONDS},
            **self.site.settings,
        }

    async def start(self) -> None:
        """Start the process."""
        self.path.write_text(json.dumps(self.settings()), encoding="utf-8")
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with self.log.open("ab") as sink:
            self.process = await asyncio.create_subprocess_exec(
                *("python3", "-S", "-m", "tealcove.front"),
                *("--settings", str(self.path)),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=sink,
                stderr=sink,
            )
        self.started_at = time.monotonic()

    async def wait_until_ready(self) -> None:
        """Wait until it accepts requests; raises CannotRunError."""
        end = time.monotonic() + READY_SECONDS
        while time.monotonic() < end:
            answer = await send((self.host, READY_PORT), "GET", "/readyz", {}, b"", 1.0)
            if answer is not None and answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} isn't ready after {READY_SECONDS:g} s")

    async def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    async def call(
        self, target: str, body: bytes, name: str, tokens: str = ""
    ) -> Answer | None:
        """Send a client's request to it; `tokens` are stated unless they're empty."""
        deadline_ms = 4000
        headers = {
            "Tealcove-Request-Id": name,
            "Api-Key": KEY,
            "Tealcove-Deadline-Ms": str(deadline_ms),
        }
        if tokens:
            headers["Tealcove-Token-Count"] = tokens
        seconds = deadline_ms / 1000
        at = (self.host, CALLERS_PORT)
        return await send(at, "POST", target, headers, body, seconds)


class Site:
    """All parts of one deployment."""

    def __init__(self, instances: int = 3) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="tealcove-case-"))
        self.network = free_network(instances)
        self.store = Store()
        # Settings of all instances beside the others.
        self.settings: dict[str, object] = {}
        self.servers: list[Server] = []
        self.instances = []
        for number in range(instances):
            self.instances.append(Instance(self, number))

    async def start(
        self,
        routes: list[dict[str, object]],
        service: dict[str, object] | None = None,
    ) -> None:
        """Start the store, the servers and the instances, and wait until all serve.

        `service`: what the configuration says of each service beside its name.
        """
        await self.store.start()
        for server in self.servers:
            await server.start()
        await self.configure(routes, service=service)
        await self.start_instances()

    async def configure(
        self,
        routes: list[dict[str, object]],
        rate: float = 0.0,
        burst: float = 0.0,
        service: dict[str, object] | None = None,
    ) -> None:
        """Write the operator's configuration; a rate of 0: no limit."""
        services = sorted({str(one["service"]) for one in routes})
        content = {
            "version": 3,
            "routes": routes,
            "services": [{"name": one, **(service or {})} for one in services],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [
                {
                    "name": "bakery",
                    "api_keys": [KEY],
                    "unit": "token",
                    "plain_tokens": 200,
                    "rate_per_s": rate,
                    "burst": burst,
                }
            ],
        }
        await self.store.put("op", "config", json.dumps(content).encode())

    async def start_instances(self) -> None:
        """Start all instances, and wait until they serve and are in touch."""
        await self.start_some(self.instances)

    async def start_some(self, instances: list[Instance]) -> None:
        """Start some instances, and wait until they serve and are in touch."""
        for one in instances:
            await one.start()
        for one in instances:
            await one.wait_until_ready()
        await asyncio.sleep(CONTACT_SECONDS + 1.0)

    async def kill_instances(self) -> None:
        """End all instances at the same moment."""
        await asyncio.gather(*(one.kill() for one in self.instances))

    async def stop(self) -> None:
        """End all processes, and remove the folder."""
        await self.kill_instances()
        for server in self.servers:
            server.end()
        await self.store.stop()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


class Proxy:
    """Passes bytes on to a port; while it is cut, nothing gets through or back."""

    def __init__(self, target: int) -> None:
        self.target = target
        self.port = 0
        self.is_cut = False
        self.listening: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self.listening = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.listening.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening, and break all connections."""
        if self.listening is not None:
            self.listening.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def heal(self) -> None:
        """Pass bytes on again; connections of before are broken."""
        self.is_cut = False
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass the bytes of one connection on, both ways."""
        self.writers.add(writer)
        opened = None
        try:
            if self.is_cut:
                await reader.read(-1)
                return
            back, opened = await asyncio.open_connection("127.0.0.1", self.target)
            self.writers.add(opened)
            await asyncio.gather(
                self.pass_on(reader, opened), self.pass_on(back, writer)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for one in (writer, opened):
                if one is not None:
                    self.writers.discard(one)
                    one.transport.abort()

    async def pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass bytes on until there are no more; those of a cut are lost."""
        while content := await reader.read(2**16):
            if not self.is_cut:
                writer.write(content)
                await writer.drain()
        if not self.is_cut:
            writer.close()


def free_network(hosts: int) -> str:
    """Return the first three bytes of loopback addresses whose ports are free."""
    for _ in range(100):
        network = f"127.{random.randint(60, 250)}.{random.randint(1, 250)}"
        ports = (*range(CALLERS_PORT, PEERS_PORT + 1), RELAY_PORT)
        places = [(f"{network}.{n + 1}", port) for n in range(hosts) for port in ports]
        if not any(is_open(place) for place in places):
            return network
    raise CannotRunError("no free loopback addresses")


def is_open(place: tuple[str, int]) -> bool:
    """Return whether a process listens at a place."""
    with socket.socket() as found:
        return found.connect_ex(place) == 0


def route(name: str, kind: str, service: str) -> dict[str, object]:
    """Return a route; its prefix is its name."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "type": kind,
        "timeout_ms": 4000,
        "goal_ms": 400,
        "priority": 1,
        "service": service,
        "attempts": 1 if kind == "unsafe" else 2,
    }


def new_name() -> str:
    """Return the id of a client's attempt."""
    return f"{random.getrandbits(64):016x}"


class Answer:
    """An answer that a client got."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status, self.headers, self.body = status, headers, body


async def send(
    at: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes,
    seconds: float,
) -> Answer | None:
    """Send one request on a connection of its own; None: no whole answer."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    raw = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*at)
            try:
                writer.write(raw)
                return await read_answer(reader)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read an answer that has a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in head[1:] if line)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Answer(int(head[0].split(" ")[1]), headers, body)
