"""An event loop with virtual time, in which waiting takes no real time."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

import pytest

from tealcove import clock, ids


class VirtualLoop(asyncio.SelectorEventLoop):
    """Advances the time to the next timer whenever no callback is ready."""

    def __init__(self) -> None:
        super().__init__()
        self.at = 1000.0

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.at

    def freeze(self, seconds: float) -> None:
        """Advance the time without running callbacks, as in a frozen process."""
        self.at += seconds

    def _run_once(self) -> None:
        """Run one iteration; see asyncio.BaseEventLoop."""
        if not self._ready and self._scheduled:
            self.at = max(self.at, self._scheduled[0].when())
        super()._run_once()


def run(patch: pytest.MonkeyPatch, main: Coroutine[None, None, None]) -> None:
    """Run a coroutine to its end with `clock.now` returning the loop's time."""
    loop = VirtualLoop()
    patch.setattr(clock, "now", lambda: ids.Instant(loop.time()))
    try:
        loop.run_until_complete(main)
    finally:
        loop.close()
