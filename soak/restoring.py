"""Brings the store back from copies, with what was written since lost."""

from __future__ import annotations

import asyncio
import contextlib
import random

import msgspec

from soak import deployment, disturbances
from tealcove import clock, ids, tasks
from tealcove.storage import memory

# Maximum changes of servers' rows right before an absence, all of them lost.
MAX_LOST_CHANGES = 40
# The share of returns after which the configuration changes.
CHANGE_SHARE = 0.7
# Seconds between two copies, and the range of the age of the one that is used.
COPY_INTERVAL = 0.25
MIN_AGE_SECONDS, MAX_AGE_SECONDS = 0.5, 6.0
# Range of the seconds from one return to the next absence, and of an absence.
MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS = 0.5, 8.0
MIN_AWAY_SECONDS, MAX_AWAY_SECONDS = 0.1, 2.0


class Copy(msgspec.Struct, frozen=True):
    """A copy of the store and the time it was made."""

    made_at: ids.Instant
    saved: memory.SavedTable


class Return(msgspec.Struct, frozen=True):
    """An absence of the store, until all that was lost was written again."""

    away_since: ids.Instant
    over_at: ids.Instant


class RestoreInjector:
    """Takes the store away and brings it back from a copy, again and again."""

    def __init__(
        self,
        running: deployment.Deployment,
        seed: int,
        log: disturbances.DisturbanceLog,
        done: list[str],
    ) -> None:
        self.running = running
        self.random = random.Random(f"returns of {seed}")
        self.disturbances = log
        self.done = done
        self.copies: list[Copy] = []
        self.returns: list[Return] = []
        self.stopping = asyncio.Event()

    async def run(self) -> None:
        """Restore the store until stopped; an absence that has begun is finished."""
        copying = tasks.start(self.copy(), "copies of the store")
        while not self.stopping.is_set():
            pause = self.random.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.stopping.wait(), pause)
                break
            await self.restore()
        await tasks.stop([copying])

    async def copy(self) -> None:
        """Copy the store periodically until cancelled."""
        while True:
            now = clock.now()
            self.copies = [
                one for one in self.copies if now - one.made_at <= MAX_AGE_SECONDS
            ]
            self.copies.append(Copy(now, self.running.store.memory.table.save()))
            await asyncio.sleep(COPY_INTERVAL)

    async def restore(self) -> None:
        """Take the store away, return it from a copy, and write again what was lost."""
        since = clock.now()
        old = [one for one in self.copies if since - one.made_at >= MIN_AGE_SECONDS]
        chosen = self.random.choice(old or self.copies)
        await self.running.change_rows(self.random.randrange(MAX_LOST_CHANGES))
        seconds = self.random.uniform(MIN_AWAY_SECONDS, MAX_AWAY_SECONDS)
        age = since - chosen.made_at
        self.done.append(f"store away for {seconds:.1f} s, restored by {age:.1f} s")
        with self.disturbances.disturbed(disturbances.STORE):
            async with self.running.store_away(chosen.saved):
                await asyncio.sleep(seconds)
            await self.running.write_again(self.random)
        if self.random.random() < CHANGE_SHARE:
            key = await self.running.declare_key()
            self.done.append(f"configuration with {key} after the return")
        self.copies = []
        self.copies.append(Copy(clock.now(), self.running.store.memory.table.save()))
        self.returns.append(Return(since, clock.now()))
