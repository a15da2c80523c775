"""Runs an open-loop load on a plan's deployment and evaluates the outcomes."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import enum
import itertools
import pathlib
import sys
import tempfile
import time
from typing import Annotated

import aiohttp
import cappa
import msgspec
import psutil

from bench import arrivals, callers, fleet, plans, score, tap

# Callers of each account in each data centre.
CALLERS_PER_DATA_CENTRE = 2
# Seconds into the run at which a scenario's fault starts, and its duration.
FAULT_START = 4.0
FAULT_SECONDS = 3.0
STRAGGLER_SPEED = 0.2
PROGRESS_INTERVAL = 5.0
# Seconds between two requests with the bad block, and from a crash to the restart.
BAD_INTERVAL = 0.3
RESTART_SECONDS = 1.0
RESTART_POLL_SECONDS = 0.1


class Scenario(enum.Enum):
    """The fault that is injected during a run."""

    NONE = "none"
    BURST = "burst"
    STRAGGLER = "straggler"
    ENGINE_CRASH = "engine crash"
    PLATFORM_OUTAGE = "platform outage"
    ENTRY_KILLED = "entry killed"
    # Unlike requests whose prompts begin with the same bad block crash engines.
    CRASHING_PART = "crashing part"


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """The parameters of a run."""

    plan: str
    policy: str
    load: float
    seed: int
    seconds: float
    scenario: Scenario = Scenario.NONE
    # Only the highest tier sends anything.
    alone: bool = False
    # Overrides the plan's share of slots reserved for short requests.
    short_share: float | None = None


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a run; shares are fractions of 1, times are in seconds."""

    run: Run
    goodput: dict[str, score.Share]
    goodput_by_length: dict[str, score.Share]
    ends: dict[str, dict[str, int]]
    # Good work in the window and its bound, as multiples of the capacity.
    work: float
    bound: float
    prefill_tokens: int
    prefill_wasted: int
    second_dispatches: int
    # Requests whose callers got no final answer.
    unanswered: int
    wrong: int
    sent_again: int
    # Calls of the plain service; older results have none.
    calls: score.Share = score.Share(0, 0)
    call_ends: dict[str, int] = msgspec.field(default_factory=dict)
    latency: dict[str, list[float]]
    # From the decision to refuse or preempt a request to its answer: p50, p95, worst.
    refusal: list[float]
    refusals: int
    # p99 of the sending delay. With a high one, the tool measures its own load.
    lag: float
    # Cores used, by kind of process.
    cores: dict[str, float]
    # Share of the engines' slots that was occupied while requests were sent.
    busy: float = 0.0
    # Share of the machine's cores that was busy, including other programs.
    machine: float = 0.0
    # Mean microseconds of a scheduler call.
    scheduler_call: float
    complaints: list[str]
    # Engines that crashed.
    crashes: int = 0


class LoadRun:
    """A run in progress."""

    def __init__(self, run: Run, folder: pathlib.Path) -> None:
        self.run = run
        self.plan = plans.PLANS[run.plan]
        self.fleet = fleet.Fleet(folder, self.plan, run.policy)
        if run.short_share is not None:
            self.fleet.short_share = run.short_share
        burst = None
        if run.scenario is Scenario.BURST:
            burst = arrivals.Burst(FAULT_START, FAULT_START + FAULT_SECONDS)
        tiers = self.plan.tiers[:1] if run.alone else self.plan.tiers
        self.requests = arrivals.generate(
            self.plan, run.load, run.seconds, run.seed, tiers, burst
        )
        self.requests += arrivals.generate_calls(self.plan, run.seconds, run.seed)
        self.requests.sort(key=lambda request: request.at)
        self.sent: list[callers.SentRequest] = []
        # Calls of the plain service.
        self.sent_calls: list[callers.SentRequest] = []
        self.cores: dict[str, float] = {}
        self.machine = 0.0
        self.busy = 0.0

    async def execute(self) -> Result:
        """Start the deployment, send the load and evaluate the outcomes."""
        async with self.fleet:
            await self.fleet.start_all()
            connector = aiohttp.TCPConnector(limit=0)
            timeout = aiohttp.ClientTimeout(total=None)
            async with aiohttp.ClientSession(
                connector=connector, timeout=timeout
            ) as session:
                await self.send_all(session)
            counts = await self.fleet.engine_counts()
            calls = await self.fleet.call_counts()
            return self.evaluate(counts, calls)

    async def send_all(self, session: aiohttp.ClientSession) -> None:
        """Send each request at its time, without waiting for earlier ones."""
        callers_by_origin = self.create_callers(session)
        before = self.fleet.cpu_seconds()
        own = psutil.Process().cpu_times()
        psutil.cpu_percent()
        start = time.monotonic() + 0.2
        inject_faults = asyncio.create_task(self.inject_faults(start))
        progress = asyncio.create_task(self.show_progress(start))
        tasks = []
        for number, request in enumerate(self.requests):
            await asyncio.sleep(max(0.0, start + request.at - time.monotonic()))
            group = callers_by_origin[request.account, request.data_centre]
            sending = self.send(group[number % len(group)], request, start)
            tasks.append(asyncio.create_task(sending))
        passed = time.monotonic() - start
        self.measure_cores(before, own, passed)
        taken = sum(c.slot_seconds for c in await self.fleet.engine_counts())
        slots = sum(engine.slots for engine in self.plan.engines)
        self.busy = taken / (slots * passed)
        await asyncio.gather(*tasks)
        await inject_faults
        progress.cancel()

    def create_callers(
        self, session: aiohttp.ClientSession
    ) -> dict[tuple[str, str], list[callers.Caller]]:
        """Create the callers by account and data centre."""
        known = [instance.url for instance in self.fleet.instances]
        return {
            (account.name, data_centre): [
                callers.Caller(
                    self.plan,
                    session,
                    data_centre,
                    fleet.bearer_key(account.name),
                    known,
                    seed=self.run.seed * CALLERS_PER_DATA_CENTRE + number,
                )
                for number in range(CALLERS_PER_DATA_CENTRE)
            ]
            for account in self.plan.accounts
            for data_centre in self.plan.data_centres
        }

    async def send(
        self, caller: callers.Caller, request: arrivals.Request, start: float
    ) -> None:
        """Send one request and record its outcome."""
        sent = await caller.send(request, start)
        is_call = request.length is plans.Length.CALL
        (self.sent_calls if is_call else self.sent).append(sent)

    async def inject_faults(self, start: float) -> None:
        """Inject the scenario's fault."""
        scenario = self.run.scenario
        if scenario in (Scenario.NONE, Scenario.BURST):
            return
        await asyncio.sleep(start + FAULT_START - time.monotonic())
        print(f"  {scenario.value}", file=sys.stderr)
        deployed = self.fleet
        if scenario is Scenario.STRAGGLER:
            faults = {"speed_factor": STRAGGLER_SPEED}
            await deployed.set_faults(deployed.engines[0], faults)
        if scenario is Scenario.ENGINE_CRASH:
            await self.crash_engine()
        if scenario is Scenario.PLATFORM_OUTAGE:
            await deployed.set_faults(deployed.platform, {"down": True})
            await asyncio.sleep(FAULT_SECONDS)
            await deployed.set_faults(deployed.platform, {})
        if scenario is Scenario.ENTRY_KILLED:
            victims = deployed.instances
            victims[self.run.seed % len(victims)].kill()
        if scenario is Scenario.CRASHING_PART:
            end = start + self.run.seconds
            await asyncio.gather(self.send_bad_prompts(end), self.restart_engines(end))

    async def send_bad_prompts(self, end: float) -> None:
        """Send requests with the bad block until an end, to all instances."""
        async with asyncio.TaskGroup() as group:
            for number in itertools.count():
                if time.monotonic() >= end:
                    return
                group.create_task(self.fleet.send_bad_prompt(number))
                await asyncio.sleep(BAD_INTERVAL)

    async def restart_engines(self, end: float) -> None:
        """Restart the engines that have crashed until an end."""
        while time.monotonic() < end:
            for engine in self.fleet.engines:
                if engine.process.returncode is not None:
                    await asyncio.sleep(RESTART_SECONDS)
                    await self.fleet.start(engine)
            await asyncio.sleep(RESTART_POLL_SECONDS)

    async def crash_engine(self) -> None:
        """Crash the first engine, one of the fastest, and restart it later."""
        # It crashes without an answer.
        with contextlib.suppress(aiohttp.ClientError):
            await self.fleet.crash_engine(0)
        await self.fleet.engines[0].process.wait()
        await asyncio.sleep(FAULT_SECONDS)
        await self.fleet.start(self.fleet.engines[0])

    async def show_progress(self, start: float) -> None:
        """Print the progress every PROGRESS_INTERVAL seconds."""
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL)
            passed = time.monotonic() - start
            total = len(self.requests)
            print(
                f"  {passed:5.1f} s: {len(self.sent)} of {total} ended", file=sys.stderr
            )

    def measure_cores(
        self, before: dict[str, float], own: object, seconds: float
    ) -> None:
        """Compute the cores that each kind of process used while requests were sent."""
        now = psutil.Process().cpu_times()
        spent = now.user + now.system - own.user - own.system
        cores = {"callers": spent / seconds}
        for name, value in self.fleet.cpu_seconds().items():
            kind = name.partition("-")[0]
            used = max(0.0, value - before.get(name, 0.0)) / seconds
            cores[kind] = cores.get(kind, 0.0) + used
        self.machine = psutil.cpu_percent() / 100.0
        self.cores = {kind: round(value, 3) for kind, value in cores.items()}

    def evaluate(
        self, counts: list[fleet.engine.Counts], calls: list[dict[str, int]]
    ) -> Result:
        """Return the result from the callers' outcomes and the engines' counts."""
        window = score.Window(min(FAULT_START, self.run.seconds / 3), self.run.seconds)
        work, bound = score.work_and_bound(self.plan, self.sent, window)
        records = self.fleet.scheduler_records()
        refusals = self.refusal_times(records)
        tiers = sorted({s.tier for s in self.sent}, key=self.plan.tiers.index)
        by_tier = {t: [s for s in self.sent if s.tier == t] for t in tiers}
        lengths = {n: [s for s in self.sent if s.length is n] for n in self.plan.shapes}
        all_sent = [*self.sent, *self.sent_calls]
        prompts = [selected.prompts for selected in counts]
        return Result(
            run=self.run,
            goodput={t: score.goodput(selected) for t, selected in by_tier.items()},
            goodput_by_length={n.value: score.goodput(f) for n, f in lengths.items()},
            ends={t: score.outcome_counts(selected) for t, selected in by_tier.items()},
            work=work,
            bound=bound,
            prefill_tokens=sum(c.prefill_tokens for c in counts),
            prefill_wasted=sum(c.prefill_wasted for c in counts),
            second_dispatches=count_repeats(prompts) + count_repeats(calls),
            unanswered=sum(
                s.outcome in (callers.Outcome.TIMED_OUT, callers.Outcome.DISCONNECTED)
                for s in all_sent
            ),
            wrong=sum(s.outcome is callers.Outcome.WRONG for s in all_sent),
            sent_again=sum(s.attempts > 1 for s in all_sent),
            calls=score.goodput(self.sent_calls),
            call_ends=score.outcome_counts(self.sent_calls),
            latency={n.value: latency(selected) for n, selected in lengths.items()},
            refusal=quantiles(refusals),
            refusals=len(refusals),
            lag=score.percentile((s.lag for s in self.sent), 99),
            cores=self.cores,
            machine=self.machine,
            busy=self.busy,
            scheduler_call=scheduler_call_microseconds(records),
            complaints=self.fleet.warnings_and_errors()[:20],
            crashes=self.fleet.count_crashes(),
        )

    def refusal_times(self, records: list[tap.Record]) -> list[float]:
        """Return the seconds from each refusal or preemption to its answer."""
        decided = {
            record.request: record.at
            for record in records
            if isinstance(record, tap.Decision)
        }
        ended = (callers.Outcome.NOT_RUN, callers.Outcome.INTERRUPTED)
        return [
            s.answered - decided[s.request_id]
            for s in self.sent
            if s.request_id in decided and s.outcome in ended
        ]


def count_repeats(counts: list[dict[str, int]]) -> int:
    """Return the number of repeated arrivals, at the same server or another."""
    seen: dict[str, int] = {}
    for server_counts in counts:
        for name, times in server_counts.items():
            seen[name] = seen.get(name, 0) + times
    return sum(times - 1 for times in seen.values())


def latency(sent: list[callers.SentRequest]) -> list[float]:
    """Return p50 and p95 of the completed requests' times, or an empty list."""
    times = [s.seconds for s in sent if s.outcome is callers.Outcome.COMPLETED]
    return [score.percentile(times, percent) for percent in (50, 95) if times]


def quantiles(values: list[float]) -> list[float]:
    """Return p50, p95 and the maximum, or an empty list."""
    return [score.percentile(values, percent) for percent in (50, 95, 100) if values]


def scheduler_call_microseconds(records: list[tap.Record]) -> float:
    """Return the mean microseconds of a scheduler call."""
    costs = [record for record in records if isinstance(record, tap.Cost)]
    if not costs:
        return 0.0
    last = max(costs, key=lambda cost: cost.calls)
    return last.seconds / max(1, last.calls) * 1e6


@dataclasses.dataclass
class Arguments:
    """Run one load and write what came of it as JSON."""

    plan: Annotated[str, cappa.Arg(long=True)] = plans.ETIQUETTE_ARMOR.name
    policy: Annotated[str, cappa.Arg(long=True)] = "tealcove"
    load: Annotated[float, cappa.Arg(long=True)] = 1.0
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    seconds: Annotated[float, cappa.Arg(long=True)] = 14.0
    scenario: Annotated[str, cappa.Arg(long=True)] = Scenario.NONE.value
    alone: Annotated[bool, cappa.Arg(long=True)] = False
    short_share: Annotated[float | None, cappa.Arg(long=True)] = None
    # File for the result; standard output if empty.
    out: Annotated[str, cappa.Arg(long=True)] = ""


async def execute_run(run: Run, folder: pathlib.Path) -> Result:
    """Execute one run with all files in a folder."""
    return await LoadRun(run, folder).execute()


def main() -> None:
    """Execute the run and write its result as JSON."""
    arguments = cappa.parse(Arguments)
    run = Run(
        plan=arguments.plan,
        policy=arguments.policy,
        load=arguments.load,
        seed=arguments.seed,
        seconds=arguments.seconds,
        scenario=Scenario(arguments.scenario),
        alone=arguments.alone,
        short_share=arguments.short_share,
    )
    with tempfile.TemporaryDirectory() as folder:
        result = asyncio.run(execute_run(run, pathlib.Path(folder)))
    text = msgspec.json.format(msgspec.json.encode(result))
    if arguments.out:
        pathlib.Path(arguments.out).write_bytes(text)
    else:
        print(text.decode())


if __name__ == "__main__":
    main()
