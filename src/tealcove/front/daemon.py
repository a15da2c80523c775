"""The process of an instance: from its settings file to its end by a signal."""

from __future__ import annotations

import asyncio
import signal

from tealcove import logs
from tealcove.front import instance, settings


async def serve(path: str) -> None:
    """Run an instance until SIGTERM or SIGINT, then let it leave gracefully."""
    found = settings.load(path)
    logs.install(found)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, stopping.set)
    running = await instance.start(found)
    await stopping.wait()
    await running.leave()
    await running.stop()
