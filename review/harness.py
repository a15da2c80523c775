"""Parts of the cases that are scripts: processes, stand-ins, and a record.

Uses the standard library only. Every address is a loopback address with a free port.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import math
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import urllib.parse
from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
# The hosts of the instances, in a loopback network of this process.
HOSTS = (
    f"127.{1 + os.getpid() % 250}.{os.getpid() // 250 % 250}.{number}"
    for number in itertools.count(1)
)
# The key of the only client account, and its name.
KEY = "i9n73hh2b9wu3fexd9dn"
ACCOUNT = "hule930"
SITE_HOST = "ficu95.example"
# The figures of the small deployments' sheets.
GRACE_SECONDS = 8.0
LOSS_SLACK_SECONDS = 0.2
READY_SECONDS = 20.0
# Time in which the instances find each other.
SETTLE_SECONDS = 2.0
EXIT_SECONDS = 2.0
# How a request ended whose connection was closed without an answer.
CLOSED = "closed without an answer"
HELD = 0
BROKEN = 1
NOT_RUN = 2


def has_trouble() -> bool:
    """Return whether the case's disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(host: str, count: int) -> list[int]:
    """Return ports that were free a moment ago."""
    held = [socket.socket() for _ in range(count)]
    try:
        for one in held:
            one.bind((host, 0))
        return [one.getsockname()[1] for one in held]
    finally:
        for one in held:
            one.close()


class Record:
    """What was sent, answered and run, as lines of a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self.began = time.monotonic()
        self.file = path.open("w")

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.began

    def write(self, *words: object) -> None:
        """Write one line with the time."""
        print(f"{self.now():8.3f}", *words, file=self.file, flush=True)


class Message:
    """The head and the body of an HTTP message."""

    def __init__(self, start: str, headers: dict[str, str], body: bytes) -> None:
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start.split()[1])


async def read_message(
    reader: asyncio.StreamReader, is_response: bool = False
) -> Message:
    """Read one message; raises IncompleteReadError if it ends early."""
    head = await reader.readuntil(b"\r\n\r\n")
    start, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if "chunked" in headers.get("transfer-encoding", ""):
        body = await read_chunks(reader)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    else:
        body = await reader.read() if is_response else b""
    return Message(start, headers, body)


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a body in chunks; raises IncompleteReadError if it ends early."""
    found = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        found += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return found


def response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Server:
    """A stand-in that listens on a loopback address."""

    def __init__(self) -> None:
        self.port = 0
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """The address in the form IP:PORT."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Listen; a later start uses the same port."""
        self.server = await asyncio.start_server(self.accept, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        raise NotImplementedError

    async def stop(self) -> None:
        """Close all connections."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()


class Store(Server):
    """The platform's store: rows, transactions and the feed of a table."""

    def __init__(self) -> None:
        super().__init__()
        self.version = 0
        self.rows: dict[tuple[str, str], tuple[bytes | None, int]] = {}
        # Replaced at each change.
        self.changed = asyncio.Event()

    async def put(self, table: str, key: str, value: object) -> int:
        """Write a row for the operator or an engine; None deletes it."""
        content = value
        if value is not None and not isinstance(value, bytes):
            content = json.dumps(value).encode()
        self.version += 1
        self.rows[table, key] = (content, self.version)
        self.note_change()
        return self.version

    def note_change(self) -> None:
        """Wake all feeds."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """See Server."""
        while True:
            request = await read_message(reader)
            method, target, _ = request.start.split(" ")
            url = urllib.parse.urlsplit(target)
            query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
            status, found = await self.answer(method, url.path, query, request.body)
            content = json.dumps({**found, "now_ms": time.monotonic() * 1000}).encode()
            headers = {"Content-Type": "application/json"}
            writer.write(response(status, headers, content))
            await writer.drain()

    async def answer(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, object]]:
        """Return the status and the body of an answer."""
        if path == "/rows-get":
            return 200, self.read(query)
        if path == "/rows-feed":
            return 200, await self.feed(query)
        if path == "/rows-tx":
            return await self.transact(json.loads(body))
        return 404, {}

    def read(self, query: dict[str, str]) -> dict[str, object]:
        """Return a page of a table."""
        start, end = query.get("from", ""), query.get("to")
        limit = min(500, int(query.get("limit", 500)))
        keys = sorted(
            key
            for (table, key), (value, _) in self.rows.items()
            if table == query["table"]
            and value is not None
            and key >= start
            and (end is None or key < end)
        )
        found = [self.wire(query["table"], key) for key in keys[:limit]]
        return {
            "rows": found,
            "row_version": self.version,
            "has_more": len(keys) > limit,
        }

    def wire(self, table: str, key: str) -> dict[str, object]:
        """Return a row as the store writes it."""
        value, version = self.rows.get((table, key), (None, 0))
        found = {"table": table, "part": "", "key": key, "row_version": version}
        if value is None:
            return {**found, "tombstone": True}
        return {**found, "value": base64.b64encode(value).decode()}

    async def feed(self, query: dict[str, str]) -> dict[str, object]:
        """Return the changes of a table, as soon as there is one."""
        since, table = int(query["since_rev"]), query["table"]
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            keys = [
                (version, key)
                for (name, key), (_, version) in self.rows.items()
                if name == table and version > since
            ]
            left = end - time.monotonic()
            if keys or left <= 0:
                rows = [self.wire(table, key) for _, key in sorted(keys)]
                return {"rows": rows, "row_version": self.version}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self.changed.wait()

    async def transact(self, body: dict) -> tuple[int, dict[str, object]]:
        """Apply a transaction, or return the rows of its conditions."""
        conditions = body.get("expect_rev") or []
        for one in conditions:
            value, version = self.rows.get((one["table"], one["key"]), (None, 0))
            if one["row_version"] != (0 if value is None else version):
                rows = [self.wire(c["table"], c["key"]) for c in conditions]
                return 412, {"rows": rows, "row_version": self.version}
        self.version += 1
        for one in body.get("puts") or []:
            value = base64.b64decode(one["value"])
            self.rows[one["table"], one["key"]] = (value, self.version)
        for one in body.get("drop") or []:
            self.rows[one["table"], one["key"]] = (None, self.version)
        self.note_change()
        return 200, {"rows": [], "row_version": self.version}


class Engine(Server):
    """An engine of a service whose requests aren't streams."""

    def __init__(
        self, record: Record, name: str, service: str, slots: int, seconds: float
    ) -> None:
        super().__init__()
        self.record = record
        self.name = name
        self.service = service
        self.slots = slots
        self.seconds = seconds
        self.free = asyncio.Semaphore(slots)
        # When its runs began and ended, by request.
        self.runs: dict[str, tuple[float, float]] = {}

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return its row in the store."""
        return {
            "service": self.service,
            "addr": self.address,
            "zone": "hall-vannes",
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "seq": 1,
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one request; it ends when its connection closes."""
        request = await read_message(reader)
        work = asyncio.create_task(self.answer(request))
        closing = asyncio.create_task(reader.read(1))
        await asyncio.wait((work, closing), return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            await asyncio.wait((work,))
            return
        writer.write(work.result())
        await writer.drain()
        await closing

    async def answer(self, request: Message) -> bytes:
        """Run a request, or reject it."""
        headers = request.headers
        request_id = headers.get("tealcove-request-id")
        own = {"Tealcove-Instance": self.name}
        if headers.get("tealcove-expect-instance", self.name) != self.name:
            return response(421, {**own, "Tealcove-Not-Executed": "1"})
        if request_id is None:
            return response(400, {**own, "Tealcove-Not-Executed": "1"})
        own["Tealcove-Request-Id"] = request_id
        async with self.free:
            began = self.record.now()
            self.record.write("run begins", request_id, "at", self.name)
            self.runs[request_id] = (began, math.inf)
            try:
                await asyncio.sleep(self.seconds)
            except asyncio.CancelledError:
                self.record.write("run broken off", request_id, "at", self.name)
                raise
            finally:
                self.runs[request_id] = (began, self.record.now())
            self.record.write("run ends", request_id, "at", self.name)
        own["Tealcove-Response-Stamp"] = f"{self.name}.{request_id}"
        return response(200, own, self.body(request_id))

    def body(self, request_id: str) -> bytes:
        """Return the body of an answer."""
        return f"{request_id} by {self.name}".encode()


class Instance:
    """One process of the deploy file's role."""

    def __init__(self, name: str, folder: pathlib.Path, store: Store) -> None:
        self.name = name
        self.path = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.store = store
        kinds = ("front", "ready", "directory", "control", "metrics", "relay")
        # An address of its own: connections that are made from HOST take no port of it.
        self.host = next(HOSTS)
        ports = free_ports(self.host, len(kinds))
        self.ports = dict(zip(kinds, ports, strict=True))
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(self, seeds: list[str]) -> None:
        """Write what the platform makes of the template on a small deployment."""
        ports = self.ports
        found = {
            "instance": self.name,
            "data_centre": "hall-vannes",
            "listen": {
                "callers": f"{self.host}:{ports['front']}",
                "ready": f"{self.host}:{ports['ready']}",
                "directory": f"{self.host}:{ports['directory']}",
                "peers": f"{self.host}:{ports['control']}",
                "metrics_port": ports["metrics"],
                "relay_port": ports["relay"],
            },
            "store": {"address": self.store.address},
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
        }
        self.path.write_text(json.dumps(found, indent=1))

    def at(self, kind: str) -> tuple[str, int]:
        """Return the host and the port of a listener."""
        return self.host, self.ports[kind]

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        environment = {**kept, "PYTHONPATH": str(ROOT / "target" / "deps")}
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

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the process says that it takes requests."""
        try:
            async with asyncio.timeout(1.0):
                headers = {"Host": HOST}
                found = await call(self.at("ready"), "GET", "/readyz", headers)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return found.status == 200


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
) -> Message:
    """Send one request on a connection of its own, and return the answer."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(request(method, target, headers, body))
        await writer.drain()
        return await read_message(reader, is_response=True)
    finally:
        writer.close()


def request(
    method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of a request with a length."""
    lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def length_of(head: bytes) -> int:
    """Return the length of the body that a head states; 0 if it states none."""
    for line in head.decode("latin-1").split("\r\n"):
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            return int(value)
    return 0


def request_headers(request_id: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {
        "Host": SITE_HOST,
        "Tealcove-Request-Id": request_id,
        "Tealcove-Deadline-Ms": str(deadline_ms),
        "Api-Key": KEY,
    }


def configuration(routes: list[dict], services: list[str]) -> dict[str, object]:
    """Return a configuration with one client account."""
    return {
        "version": 1,
        "routes": routes,
        "services": [{"name": name} for name in services],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": ACCOUNT, "api_keys": [KEY], "priority": 0}],
    }


class Sent(NamedTuple):
    """A client's request: when it was sent, and when and how it ended."""

    request_id: str
    began: float
    ended: float
    result: str


async def send(
    record: Record, instance: Instance, request_id: str, deadline_ms: int
) -> Sent:
    """Send a client's request, and wait for its end."""
    record.write("request", request_id, "sent to", instance.name)
    headers = request_headers(request_id, deadline_ms)
    began = record.now()
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            found = await call(
                instance.at("front"), "POST", "/labels/fetch", headers, b"{}"
            )
        result = str(found.status)
    except TimeoutError:
        result = "deadline"
    except (OSError, asyncio.IncompleteReadError):
        result = CLOSED
    ended = record.now()
    record.write("request", request_id, result, f"after {ended - began:.3f} s")
    return Sent(request_id, began, ended, result)


async def until(condition: Callable[[], object], seconds: float) -> bool:
    """Wait until an asynchronous condition holds; return False after some seconds."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if await condition():
            return True
        await asyncio.sleep(0.05)
    return False


class Deployment:
    """A store, three engines or fewer of one service, and three instances."""

    def __init__(
        self, record: Record, engines: list[Engine], timeout_ms: int, folder: str
    ) -> None:
        self.record = record
        self.engines = engines
        self.store = Store()
        self.route = {
            "name": "label-fetch",
            "host": SITE_HOST,
            "prefix": "/labels/",
            "type": "unsafe",
            "service": engines[0].service,
            "timeout_ms": timeout_ms,
            "goal_ms": 400,
            "attempts": 1,
            "priority": 0,
        }
        self.watching: asyncio.Task[None] | None = None
        path = pathlib.Path(folder)
        self.instances = [Instance(f"front-{n}", path, self.store) for n in range(3)]

    async def start(self) -> None:
        """Start all parts, and wait until the instances serve."""
        await self.store.start()
        for engine in self.engines:
            await engine.start()
            await self.store.put("servers", engine.name, engine.entry())
        services = [self.engines[0].service]
        await self.store.put("op", "config", configuration([self.route], services))
        seeds = [f"{one.host}:{one.ports['control']}" for one in self.instances]
        for one in self.instances:
            one.write_settings(seeds)
            await one.start()
        for one in self.instances:
            if not await until(one.is_ready, READY_SECONDS):
                raise CaseError(f"{one.name} doesn't become ready")
        await asyncio.sleep(SETTLE_SECONDS)

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        if self.watching is not None:
            # One that was told to stop has some time to exit by itself.
            await asyncio.wait((self.watching,), timeout=EXIT_SECONDS)
        for one in self.instances:
            await one.end()
        for server in (self.store, *self.engines):
            await server.stop()

    def stop_gently(self, instance: Instance) -> None:
        """Send SIGTERM to an instance, and record when it exits."""
        self.record.write("SIGTERM to", instance.name)
        instance.send(signal.SIGTERM)
        self.watching = asyncio.create_task(self.watch(instance))

    async def watch(self, instance: Instance) -> None:
        """Record when an instance exits."""
        code = await instance.process.wait()
        self.record.write(instance.name, "exits with code", code)

    def run_of(self, request_id: str) -> tuple[float, float] | None:
        """Return when the run of a request began and ended; None: it hasn't run."""
        for engine in self.engines:
            if request_id in engine.runs:
                return engine.runs[request_id]
        return None


@contextlib.asynccontextmanager
async def deployed(
    record: Record, engines: list[Engine], timeout_ms: int
) -> AsyncIterator[Deployment]:
    """Start a deployment, and end it with the context."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(record, engines, timeout_ms, folder)
        try:
            await deployment.start()
            yield deployment
        finally:
            await deployment.stop()


class CaseError(Exception):
    """The case couldn't run."""


def run(case: Callable[[], object], seconds: float = 110.0) -> int:
    """Run a case and return its exit code."""

    async def limited() -> int:
        async with asyncio.timeout(seconds):
            return await case()

    try:
        return asyncio.run(limited())
    except (CaseError, TimeoutError, OSError) as error:
        print(f"the case couldn't run: {error!r}", file=sys.stderr)
        return NOT_RUN
