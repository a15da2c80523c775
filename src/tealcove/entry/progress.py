"""Requests in progress, which are ended early when their instance stops."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator


class Progress:
    """One request in progress, and the time limit of its current step."""

    def __init__(self) -> None:
        # Whether the request was told to end.
        self.is_ended = False
        self.limit: asyncio.Timeout | None = None

    @contextlib.asynccontextmanager
    async def step(self, seconds: float | None) -> AsyncIterator[None]:
        """Limit a step; raises TimeoutError after it, or when `end` is called."""
        async with asyncio.timeout(seconds) as limit:
            self.limit = limit
            if self.is_ended:
                self.expire()
            try:
                yield
            finally:
                self.limit = None

    def end(self) -> None:
        """Let the current step, and any later one, time out at once."""
        self.is_ended = True
        if self.limit is not None:
            self.expire()

    def expire(self) -> None:
        """Let the current step time out."""
        self.limit.reschedule(asyncio.get_running_loop().time())
