"""The process of an instance: from its settings file to its end by a signal."""

from __future__ import annotations

import asyncio
import os
import signal

import logbook

from tealcove import errors, logs, tasks
from tealcove.front import instance, settings

log = logbook.Logger("front")

# Seconds between two looks at the settings file, which may change without a signal.
POLL_INTERVAL = 1.0


class Reloader:
    """Brings a running instance to its settings file."""

    def __init__(
        self, path: str, running: instance.Instance, handler: logs.JsonHandler
    ) -> None:
        self.path = path
        self.running = running
        self.handler = handler
        self.requested = asyncio.Event()
        self.signature = file_signature(path)

    async def run(self) -> None:
        """Reload at a signal or a change of the file, until cancelled."""
        while True:
            try:
                async with asyncio.timeout(POLL_INTERVAL):
                    await self.requested.wait()
            except TimeoutError:
                if file_signature(self.path) == self.signature:
                    continue
            self.requested.clear()
            self.reload()

    def reload(self) -> None:
        """Read the file and put in force what can change while running.

        A file that can't be used changes nothing: the instance serves on as it did.
        """
        self.signature = file_signature(self.path)
        try:
            found = settings.load(self.path)
        except errors.SettingsError as error:
            log.error("the settings stay as they were: {}", error)
            return
        self.running.reload(found)
        self.handler.lowest = logs.LEVELS[found.log.level]
        self.handler.debug = frozenset(found.log.debug)


def file_signature(path: str) -> tuple[int, int] | None:
    """Return what shows that a file has changed; None: it can't be looked at."""
    try:
        found = os.stat(path)
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size


async def serve(path: str) -> None:
    """Run an instance until SIGTERM or SIGINT, then let it leave gracefully."""
    found = settings.load(path)
    handler = logs.install_rate_limited(found, found.log.most_lines_per_second)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, stopping.set)
    running = await instance.start(found)
    running.register_dropped_lines(lambda: handler.dropped)
    reloader = Reloader(path, running, handler)
    loop.add_signal_handler(signal.SIGHUP, reloader.requested.set)
    reloading = tasks.start(reloader.run(), "settings")
    await stopping.wait()
    await running.leave()
    await tasks.stop([reloading])
    await running.stop()
