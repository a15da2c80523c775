"""Background tasks whose failures are seen."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterable

import logbook

LOG = logbook.Logger("tasks")


def start(work: Coroutine[object, object, None], name: str) -> asyncio.Task[None]:
    """Run work in the background and log the exception that ends it, if any.

    A task that dies of an exception nobody awaits is silent: heartbeats to one
    peer would stop, say, and the peer would take this instance for dead.
    """
    task = asyncio.create_task(work, name=name)
    task.add_done_callback(report)
    return task


def report(task: asyncio.Task[None]) -> None:
    """Log how a task failed."""
    if task.cancelled() or task.exception() is None:
        return
    LOG.error("task {} failed: {!r}", task.get_name(), task.exception())


async def stop(tasks: Iterable[asyncio.Task[None]]) -> None:
    """Cancel tasks and wait until they have ended."""
    ending = tuple(tasks)
    for task in ending:
        task.cancel()
    await asyncio.gather(*ending, return_exceptions=True)
