"""Faults that can be injected into the running in-memory platform."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import msgspec

from tealcove import errors


class RateLimitedError(errors.PlatformUnavailableError):
    """The call was refused because it exceeds the rate limit of this second."""


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """The faults injected at present; by default there are none."""

    # Every call is refused.
    down: bool = False
    # Delay in seconds before each call has any effect.
    slow: float = 0.0
    # Number of next writes that are applied but whose replies are lost.
    lose_replies: int = 0
    # Calls beyond these rates are refused; None: no limit.
    writes_per_second: float | None = None
    reads_per_second: float | None = None
    # IP addresses of callers that are refused while others are served.
    refused_callers: tuple[str, ...] = ()
    # Seconds by which the instance list lags.
    list_lag: float = 0.0


class RateLimiter:
    """Counts the calls of one kind and refuses those above a rate."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.count = 0
        self.second = 0
        self.used = 0

    def acquire(self, rate: float | None) -> None:
        """Count one call; raises RateLimitedError above `rate` calls a second."""
        second = int(self.clock())
        if second != self.second:
            self.second = second
            self.used = 0
        if rate is not None and self.used >= rate:
            raise RateLimitedError(
                f"the platform takes {rate:g} calls a second of this kind",
                "Try again in the next second.",
            )
        self.used += 1
        self.count += 1


class Gate:
    """Applies the faults to every call of the in-memory platform."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.faults = Faults()
        self.reads = RateLimiter(clock)
        self.writes = RateLimiter(clock)

    async def admit_read(self) -> None:
        """Admit a read; raises PlatformUnavailableError."""
        self.refuse_when_down()
        self.reads.acquire(self.faults.reads_per_second)
        await self.delay()

    async def admit_write(self) -> None:
        """Admit a write before it has any effect; raises PlatformUnavailableError."""
        self.refuse_when_down()
        self.writes.acquire(self.faults.writes_per_second)
        await self.delay()

    def confirm_write(self) -> None:
        """Confirm an applied write; raises OutcomeUnknownError if its reply is lost."""
        if self.faults.lose_replies < 1:
            return
        self.faults.lose_replies -= 1
        raise errors.OutcomeUnknownError(
            "the platform's reply was lost after the write",
            "Read the row to find out.",
        )

    async def delay(self) -> None:
        """Delay a call; raises PlatformUnavailableError if the platform went down."""
        if self.faults.slow > 0:
            await asyncio.sleep(self.faults.slow)
            self.refuse_when_down()

    def refuse_when_down(self) -> None:
        """Raise PlatformUnavailableError while the platform is down."""
        if self.faults.down:
            raise errors.PlatformUnavailableError(
                "the platform is down", "Try again when it's up."
            )
