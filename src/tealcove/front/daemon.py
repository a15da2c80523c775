"""Run an instance from its settings file until a signal stops it."""

from __future__ import annotations

import asyncio
import os
import signal

import logbook

from tealcove import errors, logs, tasks
from tealcove.front import instance, settings

log = logbook.Logger("front")

# Seconds between checks of the settings file, which may change without a signal.
POLL_INTERVAL = 1.0


class Reloader:
    """Applies changes of the settings file to a running instance."""

    def __init__(
        self,
        path: str,
        running: instance.Instance,
        handler: logs.JsonHandler,
        requested: asyncio.Event,
    ) -> None:
        self.path = path
        self.running = running
        self.handler = handler
        # Set to reload even if the file seems unchanged.
        self.requested = requested
        self.signature = file_signature(path)

    async def run(self) -> None:
        """Reload on a signal or when the file changes, until cancelled."""
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
        """Read the file and apply the settings that can change at run time.

        An invalid file changes nothing: the instance keeps its current settings.
        """
        self.signature = file_signature(self.path)
        try:
            found = settings.load(self.path)
        except errors.SettingsError as error:
            log.error(
                "settings not reloaded, the current ones stay in force: {}", error
            )
            return
        self.running.reload(found)
        self.handler.lowest = logs.LEVELS[found.log.level]
        self.handler.debug = frozenset(found.log.debug)


def file_signature(path: str) -> tuple[int, int] | None:
    """Return a file's modification time and size; None if it can't be read."""
    try:
        found = os.stat(path)
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size


async def serve(path: str) -> None:
    """Run an instance until SIGTERM or SIGINT, then shut it down gracefully."""
    loop = asyncio.get_running_loop()
    # Before the file is read: a change that comes with the signal isn't missed.
    hung_up = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, hung_up.set)
    found = settings.load(path)
    handler = logs.install_rate_limited(found, found.log.most_lines_per_second)
    stopping = asyncio.Event()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, stopping.set)
    running = await instance.start(found)
    running.register_dropped_lines(lambda: handler.dropped)
    reloader = Reloader(path, running, handler, hung_up)
    reloading = tasks.start_loop(reloader.run, "settings")
    await stopping.wait()
    await running.leave()
    await tasks.stop([reloading])
    await running.stop()
