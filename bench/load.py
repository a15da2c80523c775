"""Runs an open-loop load on a plan's deployment and evaluates the outcomes."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import sys
import tempfile
import time
from typing import Annotated

import aiohttp
import cappa
import msgspec

from bench import (
    arrivals,
    callers,
    engine,
    evaluation,
    faults,
    fleet,
    plans,
    runs,
    usage,
)

# Callers of each account in each data centre.
CALLERS_PER_DATA_CENTRE = 2
PROGRESS_INTERVAL = 5.0


class LoadRun:
    """A run in progress."""

    def __init__(self, run: runs.Run, folder: pathlib.Path) -> None:
        self.run = run
        self.plan = run.deployed_plan()
        self.fleet = fleet.Fleet(folder, self.plan, run.policy)
        if run.short_share is not None:
            self.fleet.short_share = run.short_share
        self.requests = faults.sent_requests(run, self.plan)
        self.sent: list[callers.SentRequest] = []
        # Calls of the plain service.
        self.sent_calls: list[callers.SentRequest] = []
        self.used: usage.Usage | None = None

    async def execute(self) -> runs.Result:
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
        meter = usage.UsageMeter(self.fleet)
        start = time.monotonic() + 0.2
        inject_faults = asyncio.create_task(self.inject_faults(start))
        progress = asyncio.create_task(self.show_progress(start))
        tasks = []
        for number, request in enumerate(self.requests):
            await asyncio.sleep(max(0.0, start + request.at - time.monotonic()))
            group = callers_by_origin[request.account, request.data_centre]
            sending = self.send(group[number % len(group)], request, start)
            tasks.append(asyncio.create_task(sending))
        self.used = await meter.read(start)
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
        await faults.inject(self.fleet, self.run, start)

    async def show_progress(self, start: float) -> None:
        """Print the progress every PROGRESS_INTERVAL seconds."""
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL)
            passed = time.monotonic() - start
            total = len(self.requests)
            print(
                f"  {passed:5.1f} s: {len(self.sent)} of {total} ended", file=sys.stderr
            )

    def evaluate(
        self, counts: list[engine.Counts], calls: list[dict[str, int]]
    ) -> runs.Result:
        """Return the result from the callers' outcomes and the engines' counts."""
        observed = evaluation.Observations(
            run=self.run,
            plan=self.plan,
            sent=self.sent,
            sent_calls=self.sent_calls,
            call_counts=calls,
            engine_counts=counts,
            records=self.fleet.scheduler_records(),
            used=self.used,
            complaints=self.fleet.warnings_and_errors(),
            crashes=self.fleet.count_crashes(),
        )
        return evaluation.evaluate(observed)


@dataclasses.dataclass
class Arguments:
    """Run one load and write what came of it as JSON."""

    plan: Annotated[str, cappa.Arg(long=True)] = plans.ETIQUETTE_ARMOR.name
    policy: Annotated[str, cappa.Arg(long=True)] = "tealcove"
    load: Annotated[float, cappa.Arg(long=True)] = 1.0
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    seconds: Annotated[float, cappa.Arg(long=True)] = 14.0
    scenario: Annotated[str, cappa.Arg(long=True)] = runs.Scenario.NONE.value
    alone: Annotated[bool, cappa.Arg(long=True)] = False
    short_share: Annotated[float | None, cappa.Arg(long=True)] = None
    # File for the result; standard output if empty.
    out: Annotated[str, cappa.Arg(long=True)] = ""


async def execute_run(run: runs.Run, folder: pathlib.Path) -> runs.Result:
    """Execute one run with all files in a folder."""
    return await LoadRun(run, folder).execute()


def main() -> None:
    """Execute the run and write its result as JSON."""
    arguments = cappa.parse(Arguments)
    run = runs.Run(
        plan=arguments.plan,
        policy=arguments.policy,
        load=arguments.load,
        seed=arguments.seed,
        seconds=arguments.seconds,
        scenario=runs.Scenario(arguments.scenario),
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
