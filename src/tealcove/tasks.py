"""Background tasks whose failures are logged, and loops that go on after one."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Iterable

import logbook

from tealcove import clock

LOG = logbook.Logger("tasks")

# Seconds until a failed loop is started again; doubled while it goes on failing, so
# that it costs little, up to the longest pause.
FIRST_PAUSE = 0.1
LONGEST_PAUSE = 5.0
# Seconds after which a loop that fails once more counts as having recovered.
RECOVERED_SECONDS = 10.0


class Restarts:
    """Counts the restarts of failed loops in this process, for the metrics."""

    def __init__(self) -> None:
        self.count = 0


RESTARTS = Restarts()


def start(work: Coroutine[object, object, None], name: str) -> asyncio.Task[None]:
    """Run a coroutine in the background and log the exception that ends it, if any.

    The exception of a task that nobody awaits would go unnoticed.
    """
    task = asyncio.create_task(work, name=name)
    task.add_done_callback(report)
    return task


def start_loop(run: Callable[[], Awaitable[None]], name: str) -> asyncio.Task[None]:
    """Run a loop in the background, and start it again whenever an exception ends it.

    An instance whose loop had ended would go on serving without it: for example, its
    list of backend servers would never change again.
    """
    return start(keep_running(run, name), name)


async def keep_running(run: Callable[[], Awaitable[None]], name: str) -> None:
    """Run a loop until it returns; log each exception and start it again."""
    pause = FIRST_PAUSE
    while True:
        began = clock.now()
        try:
            await run()
            return
        except Exception:
            if clock.now() - began >= RECOVERED_SECONDS:
                pause = FIRST_PAUSE
            RESTARTS.count += 1
            LOG.exception("{} failed and starts again in {:.1f} s", name, pause)
        await asyncio.sleep(pause)
        pause = min(LONGEST_PAUSE, 2 * pause)


def report(task: asyncio.Task[None]) -> None:
    """Log the exception of a failed task."""
    if task.cancelled() or task.exception() is None:
        return
    LOG.error("task {} failed: {!r}", task.get_name(), task.exception())


async def stop(tasks: Iterable[asyncio.Task[None]]) -> None:
    """Cancel tasks and wait until they have ended."""
    ending = tuple(tasks)
    for task in ending:
        task.cancel()
    await asyncio.gather(*ending, return_exceptions=True)
