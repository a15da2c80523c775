"""Stateful test of the store's client with lost, slow and refused replies."""

from __future__ import annotations

import asyncio

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tealcove import errors
from tealcove.platform import store as store_client
from tealcove.platform import storeadapter
from tealcove.standins import platform
from tealcove.storage import feed, table

TABLE = "rows"
KEYS = st.sampled_from(("a", "b", "c"))
# Seconds: the client's timeout, and the delay of a slow store, which is longer.
TIMEOUT = 0.15
SLOW_DELAY = 0.3


class StoreMachine(stateful.RuleBasedStateMachine):
    """Writes, reads and follows changes while the store fails.

    The stand-in's content is the reference. Guarantees: a write that certainly failed
    changed nothing; one with unknown outcome changed all or nothing; a read returns
    what is stored; a follower of the changes converges to the store's content, and its
    version never goes back.
    """

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner()
        self.standin = platform.PlatformStandin()
        self.runner.run(self.start())
        self.rows = storeadapter.StoreTable(self.client)
        # The last row read per key, and the copy built from the feed.
        self.known: dict[str, table.Row | None] = {}
        self.followed: dict[str, bytes] = {}
        self.version: int | None = None
        self.written = 0

    async def start(self) -> None:
        """Start the stand-in and the client."""
        await self.standin.start()
        url = f"http://127.0.0.1:{self.standin.port}"
        timeouts = store_client.Timeouts(connect=TIMEOUT, total=TIMEOUT)
        self.client = store_client.StoreClient(url, timeouts)

    def teardown(self) -> None:
        """Stop the client and the stand-in."""
        self.runner.run(self.client.close())
        self.runner.run(self.standin.stop())
        self.runner.close()

    def store_content(self) -> dict[str, bytes]:
        """Return the store's content."""
        found = self.standin.memory.table.rows_of_table(TABLE)
        return {row.key: row.value for row in found}

    @stateful.rule(down=st.booleans(), lost=st.integers(0, 2), slow=st.booleans())
    def change_faults(self, down: bool, lost: int, slow: bool) -> None:
        """Inject other faults from now on."""
        faults = self.standin.memory.faults
        faults.down = down
        faults.lose_replies = lost
        faults.slow = SLOW_DELAY if slow else 0.0

    @stateful.rule()
    def remove_faults(self) -> None:
        """Remove the injected faults."""
        self.change_faults(down=False, lost=0, slow=False)

    @stateful.rule()
    def toggle_refusal(self) -> None:
        """Refuse the client, or serve it again."""
        faults = self.standin.memory.faults
        faults.refused_callers = () if faults.refused_callers else ("127.0.0.1",)

    @stateful.rule(key=KEYS, drops=st.booleans())
    def change_by_others(self, key: str, drops: bool) -> None:
        """Write or delete a row as the operator."""
        self.written += 1
        value = None if drops else b"other %d" % self.written
        if drops and key not in self.store_content():
            return
        self.runner.run(self.standin.put_row(TABLE, key, value))

    @stateful.rule()
    def forget_history(self) -> None:
        """Discard the store's change history."""
        self.runner.run(self.standin.memory.table.discard_history())

    @stateful.rule(key=KEYS)
    def read(self, key: str) -> None:
        """Read a row."""
        try:
            found = self.runner.run(self.rows.read(TABLE, key))
        except errors.PlatformUnavailableError:
            return
        self.known[key] = found
        assert (None if found is None else found.value) == self.store_content().get(key)

    @stateful.rule(key=KEYS)
    def replace(self, key: str) -> None:
        """Write a row on condition that it hasn't changed since it was read."""
        self.written += 1
        value = b"own %d" % self.written
        before = self.store_content()
        known = self.known.get(key)
        work = table.replace(self.rows, known, TABLE, key, value)
        try:
            self.known[key] = self.runner.run(work)
        except table.ConditionFailedError as error:
            (conflict,) = error.conflicts
            self.known[key] = conflict.row
            current = None if conflict.row is None else conflict.row.value
            assert current == before.get(key)
            assert self.store_content() == before
        except errors.OutcomeUnknownError:
            # A slow store may still apply it.
            self.runner.run(asyncio.sleep(self.standin.memory.faults.slow))
            assert self.store_content() in (before, {**before, key: value})
        except errors.PlatformUnavailableError:
            assert self.store_content() == before
        else:
            assert self.store_content() == {**before, key: value}

    @stateful.rule()
    def follow(self) -> None:
        """Apply the changes from the feed."""
        try:
            page = self.runner.run(self.next_page())
        except feed.HistoryLostError:
            self.version = None
            return
        except errors.PlatformUnavailableError:
            return
        if self.version is None:
            self.followed = {}
        assert self.version is None or page.version >= self.version
        self.version = page.version
        for entry in page.entries:
            if entry.value is None:
                self.followed.pop(entry.key, None)
            else:
                self.followed[entry.key] = entry.value
        assert self.followed == self.store_content()

    async def next_page(self) -> feed.Page:
        """Return the whole table at first, then its changes."""
        if self.version is None:
            return await self.client.read_all(TABLE)
        return await self.client.wait_for_changes(TABLE, self.version, 0.0)


StoreMachine.TestCase.settings = hypothesis.settings(
    max_examples=25, stateful_step_count=25, deadline=None
)
test_store_client = StoreMachine.TestCase
