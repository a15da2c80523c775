"""`tealcove demo` from start to verdict: everything in this one process."""

from __future__ import annotations

import asyncio
import contextlib
import typing

from tealcove import clock, errors, logs
from tealcove.commands import output
from tealcove.demonstration import callers, mix, parts, report, table

PROGRESS_INTERVAL = 1.0

Tell = typing.Callable[[str], None]


class DemoError(errors.TealcoveError):
    """The run showed what must not happen."""


async def run(seed: int, seconds: float, as_json: bool) -> None:
    """Play the demo and print its report; raises DemoError for a bad run.

    Requests arrive for `seconds`; the last ones end a few seconds later.
    """
    found = await play(seed, seconds, output.progress)
    print(output.pretty(found) if as_json else table.render(found))
    if found.faults.any():
        raise DemoError(
            "A request was lost, doubled, mixed up or wrongly answered",
            "This is a fault of tealcove; report it with the seed and the table.",
        )


async def play(seed: int, seconds: float, tell: Tell) -> report.Report:
    """Start all parts, send the mix of requests, and return what became of it."""
    running = parts.Parts(seed)
    handler = logs.JsonHandler(parts.instance_settings(running))
    with handler.applicationbound():
        tell(f"Starting 1 instance, a platform, {len(mix.ENGINES)} engines, a service.")
        async with running:
            revision = await running.declare()
            tell(f"The declared resources are in force at revision {revision}.")
            sent = await send(running, mix.requests(seed, seconds), tell)
            return judge(running, sent, seed, seconds)


async def send(
    running: parts.Parts, requests: list[mix.Request], tell: Tell
) -> list[callers.CallResult]:
    """Send all requests and tell from time to time how far they are."""
    sending = callers.Callers(running.url, running.keys)
    telling = asyncio.create_task(tell_progress(sending, len(requests), tell))
    try:
        return await sending.send_all(requests)
    finally:
        telling.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await telling


async def tell_progress(sending: callers.Callers, total: int, tell: Tell) -> None:
    """Tell how many requests are sent and ended, until cancelled."""
    start = clock.now()
    while True:
        await asyncio.sleep(PROGRESS_INTERVAL)
        seconds = clock.now() - start
        ended = len(sending.results)
        tell(f"{seconds:4.0f} s: {sending.sent} of {total} sent, {ended} answered")


def judge(
    running: parts.Parts, sent: list[callers.CallResult], seed: int, seconds: float
) -> report.Report:
    """Compare what the callers saw with what the stand-ins counted."""
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
