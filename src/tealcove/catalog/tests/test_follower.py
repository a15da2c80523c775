"""How often the store is polled for changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from tealcove import clock, errors, ids
from tealcove.catalog import copies, follower, messages, serverlist
from tealcove.front import factories
from tealcove.platform import store
from tealcove.storage import feed
from tealcove.tests import virtual

TABLE = "servers"
CHANGES = 30
BETWEEN = 0.01
GATHERED = 0.1
# Seconds after the end of an outage within which an instance must be up to date.
UP_TO_DATE_SECONDS = 3.0


class RecordingCopy(copies.Copy):
    """A copy that records the keys it has seen."""

    topic = messages.Topic.SERVERS

    def __init__(self) -> None:
        super().__init__()
        self.keys: list[str] = []
        self.changed = asyncio.Event()

    def replace(self, page: feed.Page, now: ids.Instant) -> None:
        """Record the keys of a whole table."""
        self.keys = []
        self.apply(page, now)

    def apply(self, page: feed.Page, now: ids.Instant) -> None:
        """Record the keys."""
        self.keys.extend(entry.key for entry in page.entries)
        self.changed.set()

    def content(self, now: ids.Instant) -> object:
        """Not used here."""

    def adopt(self, told: messages.Told, now: ids.Instant) -> None:
        """Not used here."""


class ChangingFeed(feed.Feed):
    """A table to which rows are added one by one."""

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


class HangingFeed(ChangingFeed):
    """A store whose calls hang for some time and fail, until it is back."""

    def __init__(self, hangs: float, back_at: float) -> None:
        super().__init__()
        self.version = 1
        self.hangs = hangs
        self.back_at = back_at

    async def wait_for_changes(
        self,
        table: str,
        since: int,
        seconds: float,
        arriving: Callable[[], None] | None = None,
    ) -> feed.Page:
        """Fail after `hangs` seconds if called before the store is back."""
        if clock.now() >= self.back_at:
            return await super().wait_for_changes(table, since, seconds, arriving)
        await asyncio.sleep(self.hangs)
        raise errors.PlatformUnavailableError("no answer", "wait")


@pytest.mark.parametrize("hangs", [0.0, factories.CONNECT_SECONDS, store.PROBE_MARGIN])
def test_a_lapse_ends_before_its_instance_counts_as_up_to_date(
    hangs: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Servers that left during one instance's outage get requests from it."""

    async def noticed_after(back_after: float) -> float:
        source, copy = HangingFeed(hangs, clock.now() + back_after), RecordingCopy()
        copy.revision = ids.Revision(1)
        source.version = 2
        one = follower.Follower(source, TABLE, copy, follower.Pace(25.0))
        task = asyncio.create_task(one.run())
        await copy.changed.wait()
        task.cancel()
        return clock.now() - source.back_at

    async def main() -> None:
        slowest = max([await noticed_after(3.0 + 0.07 * n) for n in range(12)])
        assert slowest + serverlist.LAPSE_SECONDS < UP_TO_DATE_SECONDS

    virtual.run(monkeypatch, main())


async def followed(gathers: float) -> tuple[list[str], int]:
    """Return the keys that a follower has seen, and the number of its calls."""
    source, copy = ChangingFeed(), RecordingCopy()
    one = follower.Follower(source, TABLE, copy, follower.Pace(25.0, gathers))
    task = asyncio.create_task(one.run())
    await source.change()
    await asyncio.sleep(2 * gathers)
    task.cancel()
    return copy.keys, source.calls


async def test_changes_in_groups_take_one_call() -> None:
    """Each instance calls the store once for each backend server that starts.

    Symptom: calls to the store grow with instances times servers. Sequence: many
    servers start one after the other. Cause: the next call follows each answer at once,
    so that each answer holds one change.
    """
    wanted = [str(row) for row in range(1, CHANGES + 1)]
    keys, calls = await followed(0.0)
    assert keys == wanted
    assert calls > CHANGES / 2
    keys, calls = await followed(GATHERED)
    assert keys == wanted
    # One at once, one for each group of changes, and the open call.
    assert calls <= 2 + CHANGES * BETWEEN / GATHERED + 2


class ForgetfulFeed(ChangingFeed):
    """A table whose history is lost with each answer."""

    async def wait_for_changes(self, *arguments: object) -> feed.Page:
        """Raise HistoryLostError."""
        self.calls += 1
        raise feed.HistoryLostError("another era", "Read the whole table.")


def test_a_store_that_alternates_between_eras_is_not_called_without_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each answer of another era led to the next call at once."""
    source = ForgetfulFeed()

    async def main() -> None:
        following = asyncio.create_task(
            follower.Follower(source, TABLE, RecordingCopy(), follower.Pace(1.0)).run()
        )
        await asyncio.sleep(20.0)
        following.cancel()

    virtual.run(monkeypatch, main())
    assert source.calls < 2 * 20.0 / follower.FIRST_RETRY_SECONDS
