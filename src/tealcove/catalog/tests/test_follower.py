"""How often the store is asked for changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tealcove import ids
from tealcove.catalog import copies, follower, messages
from tealcove.storage import feed

TABLE = "servers"
CHANGES = 30
BETWEEN = 0.01
GATHERED = 0.1


class Noted(copies.Copy):
    """A copy that notes which keys it has seen."""

    topic = messages.Topic.SERVERS

    def __init__(self) -> None:
        super().__init__()
        self.keys: list[str] = []

    def replace(self, page: feed.Page, now: ids.Instant) -> None:
        """Start anew."""
        self.keys = []
        self.apply(page, now)

    def apply(self, page: feed.Page, now: ids.Instant) -> None:
        """Note the keys."""
        self.keys.extend(entry.key for entry in page.entries)

    def content(self, now: ids.Instant) -> object:
        """Not used here."""

    def take(self, told: messages.Told, now: ids.Instant) -> None:
        """Not used here."""


class Changing(feed.Feed):
    """A table to which rows are added, one behind the other."""

    def __init__(self) -> None:
        self.version = 0
        self.changed = asyncio.Event()
        self.calls = 0

    async def change(self) -> None:
        """Add all rows."""
        for _ in range(CHANGES):
            self.version += 1
            self.changed.set()
            await asyncio.sleep(BETWEEN)

    async def read_all(self, table: str) -> feed.Page:
        """Return the rows so far."""
        return self.page(0)

    def page(self, version: int) -> feed.Page:
        """Return the rows after a version."""
        rows = range(version + 1, self.version + 1)
        entries = tuple(feed.Entry(str(row), b"", row) for row in rows)
        return feed.Page(entries, self.version)

    async def wait_for_changes(
        self,
        table: str,
        since: int,
        seconds: float,
        arriving: Callable[[], None] | None = None,
    ) -> feed.Page:
        """Return the rows after a version, once there is one."""
        self.calls += 1
        while self.version <= since:
            self.changed.clear()
            await self.changed.wait()
        return self.page(since)


async def followed(gathers: float) -> tuple[list[str], int]:
    """Return the keys that a follower has seen, and how often it asked."""
    source, copy = Changing(), Noted()
    one = follower.Follower(source, TABLE, copy, lambda: follower.Pace(25.0, gathers))
    task = asyncio.create_task(one.run())
    await source.change()
    await asyncio.sleep(2 * gathers)
    task.cancel()
    return copy.keys, source.calls


async def test_changes_that_come_in_groups_are_asked_for_once() -> None:
    """Each instance asks the store once for each backend server that starts.

    Symptom: calls to the store grow with instances times servers. Sequence: many
    servers start one behind the other. Cause: the next question follows each
    answer at once, so that each answer holds one change.
    """
    wanted = [str(row) for row in range(1, CHANGES + 1)]
    keys, calls = await followed(0.0)
    assert keys == wanted
    assert calls > CHANGES / 2
    keys, calls = await followed(GATHERED)
    assert keys == wanted
    # One at once, one each time that changes have gathered, and the open question.
    assert calls <= 2 + CHANGES * BETWEEN / GATHERED + 2
