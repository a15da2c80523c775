"""Runs a plan's deployment as separate processes."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import signal
import sys

import aiohttp
import msgspec
import psutil
from tests import deployment

from bench import engine, plans, tap
from tealcove import bearer
from tealcove.backends import prefixes
from tealcove.resources import kinds

# Step length of an engine stand-in; shorter steps cost more processor time
# than the added precision is worth.
TICK_SECONDS = 0.01
CRASH_MARKER = "crash-marker"
# Blocks of a bad prompt that no other one has.
BAD_BLOCKS = 3
ENTRY_POINTS_TTL = 2.0
SERVICE_SLOTS = 16
BEARER_KEY_PREFIX = "caller-key"

POLICIES = {
    "tealcove": "bench.tap:TappedFairScheduler",
    "random": "bench.baselines:RandomScheduler",
    "round robin": "bench.baselines:RoundRobinScheduler",
    "least reported load": "bench.baselines:LeastLoadScheduler",
}


class EngineProcess(deployment.Process):
    """The process of an engine stand-in that also counts by prompt."""

    async def start(self, log: pathlib.Path) -> None:
        """Start the process and append its output to a log file."""
        with log.open("ab") as sink:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "bench.engine",
                *self.arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=sink,
                stderr=sink,
            )


class LogLine(msgspec.Struct):
    """The fields read from a line of an instance's log."""

    channel: str
    message: str
    level: str = ""


class Announcement(msgspec.Struct):
    """The fields read from an engine's announcement, which it prints on a crash."""

    event: str
    counts: engine.Counts | None = None


class Fleet(deployment.Deployment):
    """A plan's platform, engines, services and instances; a context manager."""

    def __init__(
        self,
        folder: pathlib.Path,
        plan: plans.Plan,
        policy: str,
        instance_settings: dict[str, object] | None = None,
    ) -> None:
        super().__init__(folder)
        self.plan = plan
        self.policy = policy
        self.instance_settings = instance_settings or {}
        # Share of the engines' slots that is reserved for short requests.
        self.short_share = plan.short_share
        self.data_centres: dict[str, str] = {}

    async def start_all(self) -> None:
        """Start all processes, declare the resources and wait until all serve."""
        for planned in self.plan.engines:
            await self.add_planned_engine(planned)
        for number in range(self.plan.services):
            await self.add_service(slots=SERVICE_SLOTS)
            name = self.services[-1].name
            self.data_centres[name] = self.data_centre_for(number)
        await self.declare_plan()
        for number in range(self.instance_count()):
            await self.add_planned_instance(number)
        for process in (*self.engines, *self.services):
            await self.wait_for_port(process)
        for instance in self.instances:
            await self.wait_until_ready(instance)
        await self.wait_for_members()

    def instance_count(self) -> int:
        """Return the plan's number of instances."""
        return len(self.plan.data_centres) * self.plan.instances_per_data_centre

    def data_centre_for(self, number: int) -> str:
        """Return the data centre of the process with this number."""
        return self.plan.data_centres[number % len(self.plan.data_centres)]

    async def add_planned_engine(self, planned: plans.Engine) -> None:
        """Start an engine of the plan."""
        number = len(self.engines)
        name = f"engine-{number}"
        host = f"{self.network}.{50 + number}"
        content = {
            "name": name,
            "host": host,
            "port": deployment.HTTP_PORT,
            "generation": planned.generation,
            "slots": planned.slots,
            "prefill_tokens_per_second": plans.PREFILL_TOKENS_PER_SECOND
            * planned.speed,
            "decode_seconds_per_token": plans.DECODE_SECONDS_PER_TOKEN / planned.speed,
            "batch_slowdown": plans.BATCH_SLOWDOWN,
            "cache_blocks": self.plan.cache_blocks,
            "tick_seconds": TICK_SECONDS,
            "crash_marker": CRASH_MARKER,
            "models": {"m": "1"},
            "seed": number,
        }
        path = self.write(name, content)
        started = EngineProcess(name, [path], host, deployment.HTTP_PORT)
        self.data_centres[name] = planned.data_centre
        self.engines.append(started)
        await self.start(started)

    async def add_planned_instance(self, number: int) -> None:
        """Start an instance of the plan."""
        names = self.plan.data_centres
        centres = [
            {
                "name": name,
                "delays": {other: self.plan.delay for other in names if other != name},
            }
            for name in names
        ]
        settings = {
            "data_centre": self.data_centre_for(number),
            "data_centres": centres,
            "dispatch": {"policy": POLICIES.get(self.policy, self.policy)},
            "shutdown": {"entry_points_ttl": ENTRY_POINTS_TTL},
        }
        await self.add_instance(**{**settings, **self.instance_settings})

    async def declare_plan(self) -> None:
        """Declare the plan's tiers, accounts, pools and rules."""
        plan = self.plan
        for rank, tier in enumerate(plan.tiers):
            spec = kinds.ServiceTierSpec(rank=rank)
            await self.put(kinds.Kind.SERVICE_TIER, tier, spec)
        for account in plan.accounts:
            key_hash = bearer.hash_key(bearer_key(account.name))
            spec = kinds.ClientAccountSpec(tier=account.tier, key_hashes=(key_hash,))
            await self.put(kinds.Kind.CLIENT_ACCOUNT, account.name, spec)
        await self.put(kinds.Kind.MODEL, "m", kinds.ModelSpec(version="1"))
        pool = kinds.EnginePoolSpec(
            servers=self.planned_servers(self.engines, self.engine_slots()),
            models=("m",),
            short_share=self.short_share,
        )
        await self.put(kinds.Kind.ENGINE_POOL, "engines", pool)
        slots = [SERVICE_SLOTS] * plan.services
        services = kinds.ServicePoolSpec(
            servers=self.planned_servers(self.services, slots)
        )
        await self.put(kinds.Kind.SERVICE_POOL, "services", services)
        rule = kinds.RoutingRuleSpec(pool="engines", path_prefix="/v1/")
        await self.put(kinds.Kind.ROUTING_RULE, "engines", rule)
        rule = kinds.RoutingRuleSpec(pool="services", path_prefix=plan.service_path)
        await self.put(kinds.Kind.ROUTING_RULE, "services", rule)
        rule = kinds.RoutingRuleSpec(
            order=10,
            pool="services",
            path_prefix=plan.non_idempotent_path,
            idempotent=False,
        )
        await self.put(kinds.Kind.ROUTING_RULE, "once", rule)

    def engine_slots(self) -> list[int]:
        """Return the slots of each engine."""
        return [planned.slots for planned in self.plan.engines]

    def planned_servers(
        self, processes: list[deployment.Process], slots: list[int]
    ) -> tuple[kinds.BackendServerSpec, ...]:
        """Return the specs of backend servers in their data centres."""
        generations = [planned.generation for planned in self.plan.engines]
        return tuple(
            kinds.BackendServerSpec(
                name=process.name,
                host=process.host,
                port=process.port,
                data_centre=self.data_centres[process.name],
                slots=count,
                generation=generations[number] if process in self.engines else "",
            )
            for number, (process, count) in enumerate(
                zip(processes, slots, strict=True)
            )
        )

    async def crash_engine(self, number: int) -> None:
        """Crash an engine with a prompt sent directly to it."""
        body = {"model": "m", "prompt": CRASH_MARKER, "max_tokens": 1}
        url = f"{self.engines[number].url}/v1/completions"
        headers = {"X-Request-Id": CRASH_MARKER}
        async with self.session.post(url, json=body, headers=headers) as response:
            await response.read()

    async def send_bad_prompt(self, number: int) -> None:
        """Send an instance a prompt that begins with the bad block."""
        beginning = f"{CRASH_MARKER} ".ljust(prefixes.BLOCK_BYTES, "x")
        own = f"{number} ".ljust(BAD_BLOCKS * prefixes.BLOCK_BYTES, "y")
        body = {"model": "m", "prompt": beginning + own, "max_tokens": 1}
        instance = self.instances[number % len(self.instances)]
        key = bearer_key(self.plan.accounts[0].name)
        headers = {"Authorization": f"Bearer {key}"}
        url = f"{instance.url}/v1/completions"
        with contextlib.suppress(aiohttp.ClientError):
            async with self.session.post(url, json=body, headers=headers) as response:
                await response.read()

    def count_crashes(self) -> int:
        """Return how often engines have crashed."""
        return sum(len(self.counts_at_crash(process)) for process in self.engines)

    async def engine_counts(self) -> list[engine.Counts]:
        """Return the counts of all engines, also of those that crashed."""
        all_counts = []
        for process in self.engines:
            if process.process.returncode is None:
                counts = await self.counts(process)
                all_counts.append(msgspec.convert(counts, engine.Counts))
            all_counts.extend(self.counts_at_crash(process))
        return all_counts

    async def call_counts(self) -> list[dict[str, int]]:
        """Return how often each call arrived, for each plain service."""
        all_counts = []
        for process in self.services:
            calls = (await self.counts(process))["calls"]
            marker = f" {self.plan.service_path}"
            all_counts.append({name: n for name, n in calls.items() if marker in name})
        return all_counts

    def counts_at_crash(self, process: deployment.Process) -> list[engine.Counts]:
        """Return the counts that an engine announced when it crashed."""
        text = (self.folder / f"{process.name}.log").read_bytes()
        lines = [line for line in text.splitlines() if line.startswith(b'{"event"')]
        announcements = [msgspec.json.decode(line, type=Announcement) for line in lines]
        return [
            announcement.counts
            for announcement in announcements
            if announcement.counts is not None
        ]

    def log_lines(self) -> list[LogLine]:
        """Return the parsed log lines of all instances."""
        lines = []
        for instance in self.instances:
            text = (self.folder / f"{instance.name}.log").read_bytes()
            for line in text.splitlines():
                if line.startswith(b"{"):
                    lines.append(msgspec.json.decode(line, type=LogLine))
        return lines

    def scheduler_records(self) -> list[tap.Record]:
        """Return the records that the tapped schedulers logged."""
        return [
            msgspec.json.decode(line.message, type=tap.Record)
            for line in self.log_lines()
            if line.channel == tap.CHANNEL
        ]

    def warnings_and_errors(self) -> list[str]:
        """Return the warnings and errors that the instances logged."""
        return [
            f"{line.channel}: {line.message}"
            for line in self.log_lines()
            if line.level in ("warning", "error")
        ]

    def cpu_seconds(self) -> dict[str, float]:
        """Return each running process's processor time in seconds."""
        spent = {}
        for process in self.processes:
            if process.process is None or process.process.returncode is not None:
                continue
            times = psutil.Process(process.process.pid).cpu_times()
            spent[process.name] = times.user + times.system
        return spent

    def drain_instance(self, number: int) -> None:
        """Ask an instance to leave gracefully."""
        self.instances[number].send(signal.SIGTERM)


def bearer_key(account: str) -> str:
    """Return an account's bearer key."""
    return f"{BEARER_KEY_PREFIX}-{account}"
