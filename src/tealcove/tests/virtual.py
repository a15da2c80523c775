"""An event loop in which waiting takes no time."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

import pytest

from tealcove import clock, ids


class VirtualLoop(asyncio.SelectorEventLoop):
    """Jumps to the next timer whenever nothing else is to be done."""

    def __init__(self) -> None:
        super().__init__()
        self.at = 1000.0

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.at

    def stand_still(self, seconds: float) -> None:
        """Let some seconds go by in which nothing is done, as in a frozen process."""
        self.at += seconds

    def _run_once(self) -> None:
        """Take one turn; see asyncio.BaseEventLoop."""
        if not self._ready and self._scheduled:
            self.at = max(self.at, self._scheduled[0].when())
        super()._run_once()


def run(patch: pytest.MonkeyPatch, main: Coroutine[None, None, None]) -> None:
    """Run a coroutine to its end, the product's clock being the loop's."""
    loop = VirtualLoop()
    patch.setattr(clock, "now", lambda: ids.Instant(loop.time()))
    try:
        loop.run_until_complete(main)
    finally:
        loop.close()
