"""How long this process stood still, so that it doesn't blame others for its pauses.

After a pause, timers are due before what has arrived meanwhile is read. Whoever judges
another process by its silence measures that by the running time, or with a timeout of
this module.
"""

from __future__ import annotations

import asyncio
import math
import types
import typing
from collections.abc import Callable

import logbook

from tealcove import clock, ids

log = logbook.Logger("stalls")

# Seconds between two ticks. A pause is measured to this precision.
TICK_SECONDS = 0.05
# Seconds by which a tick may be late without a stall, as on any busy machine. If they
# counted, silence would be noticed later than callers can wait.
USUAL_DELAY_SECONDS = 0.05
# Seconds from which on a stall is logged.
LOGGED_SECONDS = 0.2


class Stalls:
    """Measures the time in which this process didn't run, though it was to.

    It may have been stopped, starved of processor time, or busy with one long step.
    Must be started in the event loop that is measured; reports no stall before.
    """

    def __init__(self) -> None:
        # Seconds up to the last tick.
        self.total = 0.0
        # When the next tick should be; what is later is a stall.
        self.due = ids.Instant(math.inf)
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start to measure."""
        self.schedule(clock.now())

    def stop(self) -> None:
        """Stop to measure."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.due = ids.Instant(math.inf)

    def schedule(self, now: ids.Instant) -> None:
        """Schedule the next tick."""
        self.due = ids.Instant(now + TICK_SECONDS)
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(TICK_SECONDS, self.tick)

    def tick(self) -> None:
        """Add the time by which this tick is late."""
        now = clock.now()
        late = now - self.due
        if late >= LOGGED_SECONDS:
            log.info("stood still for {:.2f} s", late)
        self.total = self.stalled_seconds(now)
        self.schedule(now)

    def stalled_seconds(self, now: ids.Instant) -> float:
        """Return the seconds for which this process stood still since its start."""
        return self.total + max(0.0, now - self.due - USUAL_DELAY_SECONDS)

    def running(self, now: ids.Instant) -> ids.Instant:
        """Return the running time: an instant that doesn't advance during a stall.

        Only instants of this kind may be compared with each other.
        """
        return ids.Instant(now - self.stalled_seconds(now))

    def call_later(self, seconds: float, callback: Callable[[], object]) -> Timer:
        """Call a function after so many seconds of running time."""
        timer = Timer(self, callback)
        timer.start(seconds)
        return timer

    def timeout(self, seconds: float | None) -> Timeout:
        """Return a timeout, like asyncio.timeout, in seconds of running time."""
        return Timeout(self, seconds)


class Timer:
    """Calls a function at an instant of the running time, unless it is cancelled."""

    def __init__(self, stalls: Stalls, callback: Callable[[], object]) -> None:
        self.stalls = stalls
        self.callback = callback
        self.ends_at = ids.Instant(0.0)
        self.handle: asyncio.Handle | None = None

    def start(self, seconds: float) -> None:
        """Start anew."""
        self.cancel()
        self.ends_at = ids.Instant(self.stalls.running(clock.now()) + seconds)
        self.wait(seconds)

    def cancel(self) -> None:
        """End without a call."""
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None

    def wait(self, seconds: float) -> None:
        """Check again after so many seconds."""
        loop = asyncio.get_running_loop()
        self.handle = loop.call_later(seconds, self.check)

    def check(self) -> None:
        """Call the function if its time has come, or wait for what a stall has cost."""
        remaining = self.ends_at - self.stalls.running(clock.now())
        if remaining > 0.0:
            self.wait(remaining)
            return
        # Tasks that were woken in this turn of the event loop go first.
        self.handle = asyncio.get_running_loop().call_soon(self.callback)


class Timeout:
    """A timeout in running time; its context raises TimeoutError when it expires."""

    def __init__(self, stalls: Stalls, seconds: float | None) -> None:
        self.stalls = stalls
        self.seconds = seconds
        self.limit = asyncio.timeout(None)
        self.timer = Timer(stalls, self.expire)

    async def __aenter__(self) -> typing.Self:
        """Start the timeout."""
        await self.limit.__aenter__()
        if self.seconds is not None:
            self.timer.start(self.seconds)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> bool | None:
        """End the timeout."""
        self.timer.cancel()
        return await self.limit.__aexit__(kind, error, trace)

    def reschedule(self, when: float | None) -> None:
        """Set when it expires, by the event loop's clock; None: never."""
        self.timer.cancel()
        if when is not None:
            now = asyncio.get_running_loop().time()
            self.timer.start(max(0.0, when - now))

    def expire(self) -> None:
        """Expire now."""
        self.limit.reschedule(asyncio.get_running_loop().time())
