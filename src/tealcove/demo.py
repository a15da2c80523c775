"""The run of `tealcove demo`, with all components in this process."""

from __future__ import annotations

import asyncio
import contextlib
import typing

from tealcove import clock, errors, logs
from tealcove.commands import output
from tealcove.demonstration import callers, mix, parts, report, table

PROGRESS_INTERVAL = 1.0

ProgressWriter = typing.Callable[[str], None]


class DemoError(errors.TealcoveError):
    """The run revealed a fault of tealcove."""


async def run(seed: int, seconds: float, as_json: bool) -> None:
    """Run the demo and print its report; raises DemoError if it shows a fault.

    Requests arrive for `seconds`; the last ones end a few seconds later.
    """
    found = await play(seed, seconds, output.progress)
    print(output.pretty(found) if as_json else table.render(found))
    if found.faults.any():
        raise DemoError(
            "A request was lost, doubled, mixed up or wrongly answered",
            "This is a fault of tealcove; report it with the seed and the table.",
        )


async def play(seed: int, seconds: float, write: ProgressWriter) -> report.Report:
    """Start all components, send the mix of requests and return the report."""
    running = parts.Parts(seed)
    handler = logs.JsonHandler(parts.instance_settings(running))
    with handler.applicationbound():
        write(
            f"Starting 1 instance, a platform, {len(mix.ENGINES)} engines, a service."
        )
        async with running:
            revision = await running.declare()
            write(f"The declared resources are in force at revision {revision}.")
            sent = await send(running, mix.requests(seed, seconds), write)
            return build_report(running, sent, seed, seconds)


async def send(
    running: parts.Parts, requests: list[mix.Request], write: ProgressWriter
) -> list[callers.CallResult]:
    """Send all requests and report progress periodically."""
    sending = callers.Callers(running.url, running.keys)
    reporting = asyncio.create_task(report_progress(sending, len(requests), write))
    try:
        return await sending.send_all(requests)
    finally:
        reporting.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await reporting


async def report_progress(
    sending: callers.Callers, total: int, write: ProgressWriter
) -> None:
    """Report how many requests were sent and ended, until cancelled."""
    start = clock.now()
    while True:
        await asyncio.sleep(PROGRESS_INTERVAL)
        seconds = clock.now() - start
        ended = len(sending.results)
        write(f"{seconds:4.0f} s: {sending.sent} of {total} sent, {ended} answered")


def build_report(
    running: parts.Parts, sent: list[callers.CallResult], seed: int, seconds: float
) -> report.Report:
    """Return a report that compares the callers' results with the stand-ins' counts."""
    counts = [standin.counts for standin in running.engines]
    engines = tuple(map(report.engine_row, mix.ENGINES, counts))
    return report.Report(
        seed=seed,
        arrival_seconds=seconds,
        load=mix.LOAD,
        rows=report.rows(sent),
        engines=engines,
        wasted_prefill=report.wasted_share(engines),
        faults=report.find_faults(sent, counts, running.service.counts),
    )
