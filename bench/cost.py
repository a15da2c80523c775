"""Measures an instance's processor time, added latency and memory."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import pathlib
import secrets
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from typing import Annotated

import aiohttp
import cappa
import msgspec
import psutil
from tests import callers, deployment

from bench import score
from tealcove import bearer, ids
from tealcove.resources import codec, kinds, log, snapshots
from tealcove.storage import table

INSTANCES = 2
SLOTS = 64
# One token per event, so that the number of chunks is that of tokens.
CHUNK_ENGINE = {"decode_seconds_per_token": 0.01, "tick_seconds": 0.005}
FAST_ENGINE = {"decode_seconds_per_token": 0.002, "tick_seconds": 0.001}
SHORT_TOKENS = 4
LATENCY_TOKENS = 8
FEW_CHUNKS = 10
MANY_CHUNKS = 200
REQUEST_RATE = 100.0
STREAM_RATE = 20.0
LATENCY_RATE = 40.0
ACCOUNTS = 39_000
IDLE_SECONDS = 5.0
MILLION = 1e6
MIB = 2**20
PROMPT = "x" * 160
IMPORTS = (
    "import sys, tealcove.cli, tealcove.commands.serve, tealcove.daemon;"
    "print('ready', flush=True); sys.stdin.read()"
)

Send = Callable[[aiohttp.ClientSession, str], Awaitable[None]]


class Cost(msgspec.Struct, frozen=True):
    """The figures of one run by name; the name includes the unit."""

    label: str
    figures: dict[str, float]


class MeasuredDeployment:
    """A small deployment whose instances' processor time is measured."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.fleet = deployment.Deployment(folder)

    async def start(self, engine: dict[str, float], instances: int) -> None:
        """Start one engine and some instances."""
        fleet = self.fleet
        await fleet.add_engine(slots=SLOTS, batch_slowdown=0.0, **engine)
        await fleet.declare(slots=SLOTS)
        for _ in range(instances):
            await fleet.add_instance()
        for instance in fleet.instances:
            await fleet.wait_until_ready(instance)
        await fleet.wait_for_port(fleet.engines[0])
        await fleet.wait_for_members()

    def cpu_seconds(self) -> float:
        """Return the seconds of processor time of all instances so far."""
        return sum(cpu_seconds(i.process.pid) for i in self.fleet.instances)

    async def idle_cores(self) -> float:
        """Return the cores that the instances use while idle."""
        await asyncio.sleep(1.0)
        before, began = self.cpu_seconds(), time.monotonic()
        await asyncio.sleep(IDLE_SECONDS)
        return (self.cpu_seconds() - before) / (time.monotonic() - began)

    async def load(self, send: Send, rate: float, seconds: float) -> tuple[int, float]:
        """Send at a steady rate; return the request count and the processor time."""
        before = self.cpu_seconds()
        timeout = aiohttp.ClientTimeout(total=60.0)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            count = int(rate * seconds)
            start = time.monotonic()
            tasks = []
            for number in range(count):
                await asyncio.sleep(max(0.0, start + number / rate - time.monotonic()))
                url = self.fleet.instances[number % len(self.fleet.instances)].url
                tasks.append(asyncio.create_task(send(session, url)))
            await asyncio.gather(*tasks)
        return count, self.cpu_seconds() - before


def cpu_seconds(pid: int) -> float:
    """Return the processor time of a process so far."""
    times = psutil.Process(pid).cpu_times()
    return times.user + times.system


def request_body(tokens: int, stream: bool) -> dict[str, object]:
    """Return a request's body with a unique prompt."""
    prompt = secrets.token_hex(16) + PROMPT
    return {"model": "m", "prompt": prompt, "max_tokens": tokens, "stream": stream}


def request_sender(tokens: int, stream: bool) -> Send:
    """Return a function that sends one request and reads its answer."""

    async def send(session: aiohttp.ClientSession, url: str) -> None:
        async with session.post(
            f"{url}/v1/completions",
            json=request_body(tokens, stream),
            headers=callers.headers(),
        ) as response:
            answer = await response.read()
            if response.status != 200:
                raise RuntimeError(answer)

    return send


async def send_direct(session: aiohttp.ClientSession, url: str) -> None:
    """Send one request straight to an engine."""
    headers = {"X-Request-Id": secrets.token_hex(10)}
    async with session.post(
        f"{url}/v1/completions",
        json=request_body(LATENCY_TOKENS, True),
        headers=headers,
    ) as response:
        await response.read()


async def measure_requests(folder: pathlib.Path, seconds: float) -> dict[str, float]:
    """Return the processor time per buffered request, over all roles."""
    deployed = MeasuredDeployment(folder)
    async with deployed.fleet:
        await deployed.start(FAST_ENGINE, INSTANCES)
        await deployed.load(request_sender(SHORT_TOKENS, False), REQUEST_RATE, 2.0)
        idle = await deployed.idle_cores()
        began = time.monotonic()
        count, spent = await deployed.load(
            request_sender(SHORT_TOKENS, False), REQUEST_RATE, seconds
        )
        spent -= idle * (time.monotonic() - began)
    return {
        "idle instance, share of a core": idle / INSTANCES,
        "buffered request, ms of a core": spent / count * 1e3,
    }


async def measure_chunks(folder: pathlib.Path, seconds: float) -> dict[str, float]:
    """Return the processor time per streamed chunk, and per buffered one."""
    deployed = MeasuredDeployment(folder)
    figures = {}
    async with deployed.fleet:
        await deployed.start(CHUNK_ENGINE, INSTANCES)
        for name, stream in (("streamed", True), ("buffered", False)):
            slope = await seconds_per_chunk(deployed, stream, seconds)
            figures[f"{name} chunk, us of a core"] = slope * MILLION
    return figures


async def seconds_per_chunk(
    deployed: MeasuredDeployment, stream: bool, seconds: float
) -> float:
    """Return the processor seconds per chunk, from short and long answers."""
    spent = []
    for tokens in (FEW_CHUNKS, MANY_CHUNKS):
        idle = await deployed.idle_cores()
        began = time.monotonic()
        count, used = await deployed.load(
            request_sender(tokens, stream), STREAM_RATE, seconds
        )
        spent.append((used - idle * (time.monotonic() - began)) / count)
    return (spent[1] - spent[0]) / (MANY_CHUNKS - FEW_CHUNKS)


async def measure_latency(folder: pathlib.Path, seconds: float) -> dict[str, float]:
    """Return the latency added to a direct call, alternating the two."""
    deployed = MeasuredDeployment(folder)
    times: dict[bool, list[float]] = {True: [], False: []}
    through = request_sender(LATENCY_TOKENS, False)
    async with deployed.fleet:
        await deployed.start(FAST_ENGINE, INSTANCES)
        await deployed.load(through, LATENCY_RATE, 2.0)
        engine = deployed.fleet.engines[0].url

        async def timed(session: aiohttp.ClientSession, url: str, direct: bool) -> None:
            began = time.monotonic()
            await (send_direct(session, engine) if direct else through(session, url))
            times[direct].append(time.monotonic() - began)

        async with aiohttp.ClientSession() as session:
            start = time.monotonic()
            tasks = []
            for number in range(int(LATENCY_RATE * seconds)):
                send_at = start + number / LATENCY_RATE
                await asyncio.sleep(max(0.0, send_at - time.monotonic()))
                url = deployed.fleet.instances[number // 2 % INSTANCES].url
                tasks.append(asyncio.create_task(timed(session, url, number % 2 == 0)))
            await asyncio.gather(*tasks)
    figures = {}
    for percent in (50, 95):
        direct = score.percentile(times[True], percent) * 1e3
        whole = score.percentile(times[False], percent) * 1e3
        figures[f"direct call p{percent}, ms"] = direct
        figures[f"through the system p{percent}, ms"] = whole
        figures[f"added at p{percent}, ms"] = whole - direct
    return figures


async def import_memory() -> float:
    """Return the resident MiB of a process that only imports the modules."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        IMPORTS,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    await process.stdout.readline()
    memory = resident_mib(process.pid)
    process.kill()
    await process.wait()
    return memory


def resident_mib(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    return psutil.Process(pid).memory_info().rss / MIB


async def measure_memory(folder: pathlib.Path, accounts: int) -> dict[str, float]:
    """Return the memory of an idle instance above that of the imports."""
    bare = await import_memory()
    deployed = MeasuredDeployment(folder)
    async with deployed.fleet:
        await deployed.start(FAST_ENGINE, INSTANCES)
        await asyncio.sleep(IDLE_SECONDS)
        idle = [resident_mib(i.process.pid) for i in deployed.fleet.instances]
        await declare_accounts(deployed.fleet, accounts)
        await deployed.fleet.add_instance()
        started = deployed.fleet.instances[-1]
        await deployed.fleet.wait_until_ready(started)
        await asyncio.sleep(IDLE_SECONDS)
        followed = [resident_mib(i.process.pid) for i in deployed.fleet.instances[:-1]]
        fresh = resident_mib(started.process.pid)
    return {
        "bare imports, MiB": bare,
        "idle above bare imports, MiB": max(idle) - bare,
        f"with {accounts} accounts, above bare imports, MiB": fresh - bare,
        "same, running while they came, MiB": max(followed) - bare,
    }


async def declare_accounts(fleet: deployment.Deployment, count: int) -> None:
    """Write many client accounts to the platform as one snapshot."""
    own = fleet.resources
    first = own.current.revision + 1
    changes = [account_change(ids.Revision(first + n), n) for n in range(count)]
    configuration = own.current.with_changes(changes)
    own.activate(configuration)
    revision = configuration.revision
    await fleet.store.log.store.put(
        log.snapshot_name(revision), snapshots.encode(configuration)
    )
    row = await fleet.store.log.read_head()
    head = log.Head(revision=revision, snapshot=revision, floor=revision)
    write = table.Put(log.HEADS, log.HEAD_KEY, codec.encode(head))
    await fleet.store.rows.commit(table.Transaction((row.unchanged,), (write,)))


def account_change(revision: ids.Revision, number: int) -> codec.Change:
    """Return the change that adds an account with a key and a rate limit."""
    name = f"account-{number:05d}"
    spec = kinds.ClientAccountSpec(
        tier="low",
        key_hashes=(bearer.hash_key(name),),
        tokens_per_second=1000.0,
    )
    metadata = kinds.Metadata(
        name=name, revision=revision, generation=1, changed_by="ops"
    )
    resource = kinds.Resource(
        kind=kinds.Kind.CLIENT_ACCOUNT, metadata=metadata, spec=spec
    )
    return codec.Change(
        revision=revision,
        kind=resource.kind,
        name=name,
        changed_by="ops",
        nonce="",
        resource=resource,
    )


@dataclasses.dataclass
class Arguments:
    """Measure what an instance costs, and print it as JSON."""

    label: Annotated[str, cappa.Arg(long=True)] = ""
    parts: Annotated[str, cappa.Arg(long=True)] = "requests,chunks,latency,memory"
    seconds: Annotated[float, cappa.Arg(long=True)] = 10.0
    accounts: Annotated[int, cappa.Arg(long=True)] = ACCOUNTS
    # A JSON file to which the figures are added.
    out: Annotated[str, cappa.Arg(long=True)] = ""


async def measure(arguments: Arguments) -> dict[str, float]:
    """Measure the requested parts, one after the other."""
    figures: dict[str, float] = {}
    for part in arguments.parts.split(","):
        print(f"  {part}", file=sys.stderr)
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            if part == "memory":
                figures.update(await measure_memory(folder, arguments.accounts))
                continue
            measures = {
                "requests": measure_requests,
                "chunks": measure_chunks,
                "latency": measure_latency,
            }
            figures.update(await measures[part](folder, arguments.seconds))
    return figures


def main() -> None:
    """Measure, print the figures and append them to a file if one is given."""
    arguments = cappa.parse(Arguments)
    figures = asyncio.run(measure(arguments))
    rounded = {name: round(value, 3) for name, value in figures.items()}
    print(json.dumps(rounded, indent=2))
    if arguments.out:
        append_cost(pathlib.Path(arguments.out), Cost(arguments.label, rounded))


def append_cost(path: pathlib.Path, cost: Cost) -> None:
    """Append the figures of a run to a JSON file."""
    costs = []
    if path.exists():
        costs = msgspec.json.decode(path.read_bytes(), type=list[Cost])
    lines = [msgspec.json.encode(one) for one in [*costs, cost]]
    path.write_bytes(b"[\n" + b",\n".join(lines) + b"\n]\n")


if __name__ == "__main__":
    main()
