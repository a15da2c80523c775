"""Background tasks whose failures are logged."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterable

import logbook

LOG = logbook.Logger("tasks")


def start(work: Coroutine[object, object, None], name: str) -> asyncio.Task[None]:
    """Run a coroutine in the background and log the exception that ends it, if any.

    The exception of a task that nobody awaits would go unnoticed: for example,
    heartbeats to one peer would stop, and the peer would consider this instance dead.
    """
    task = asyncio.create_task(work, name=name)
    task.add_done_callback(report)
    return task


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
