"""The store's client against any order of lost, slow and refused answers."""

from __future__ import annotations

import asyncio

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tealcove import errors
from tealcove.platform import services
from tealcove.platform import store as store_client
from tealcove.standins import platform
from tealcove.storage import feed, table

TABLE = "rows"
KEYS = st.sampled_from(("a", "b", "c"))
# Seconds that the client waits for an answer, and a store that is slower.
PATIENCE = 0.15
TOO_SLOW = 0.3


class StoreMachine(stateful.RuleBasedStateMachine):
    """Writes, reads and follows while the store fails; the store itself is the truth.

    What a caller may rely on: a write that failed for certain changed nothing; one
    whose end is unknown changed all or nothing; what was read stood there; whoever
    follows the changes ends up with what the store holds, and never goes back.
    """

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner()
        self.standin = platform.PlatformStandin()
        self.runner.run(self.start())
        self.rows = services.StoreTable(self.client)
        # What the client has read last of each key, and what it has followed.
        self.known: dict[str, table.Row | None] = {}
        self.followed: dict[str, bytes] = {}
        self.version: int | None = None
        self.written = 0

    async def start(self) -> None:
        """Start the stand-in and the client."""
        await self.standin.start()
        url = f"http://127.0.0.1:{self.standin.port}"
        timeouts = store_client.Timeouts(connect=PATIENCE, total=PATIENCE)
        self.client = store_client.StoreClient(url, timeouts)

    def teardown(self) -> None:
        """Stop both."""
        self.runner.run(self.client.close())
        self.runner.run(self.standin.stop())
        self.runner.close()

    def truth(self) -> dict[str, bytes]:
        """Return what the store holds."""
        found = self.standin.memory.table.rows_of_table(TABLE)
        return {row.key: row.value for row in found}

    @stateful.rule(down=st.booleans(), lost=st.integers(0, 2), slow=st.booleans())
    def change_faults(self, down: bool, lost: int, slow: bool) -> None:
        """Let other things go wrong from now on."""
        faults = self.standin.memory.faults
        faults.down = down
        faults.lose_replies = lost
        faults.slow = TOO_SLOW if slow else 0.0

    @stateful.rule()
    def mend(self) -> None:
        """Let nothing go wrong."""
        self.change_faults(down=False, lost=0, slow=False)

    @stateful.rule()
    def turn_away(self) -> None:
        """Turn the client away, or serve it again."""
        faults = self.standin.memory.faults
        faults.refused_callers = () if faults.refused_callers else ("127.0.0.1",)

    @stateful.rule(key=KEYS, drops=st.booleans())
    def change_by_others(self, key: str, drops: bool) -> None:
        """Let the operator write or drop a row."""
        self.written += 1
        value = None if drops else b"other %d" % self.written
        if drops and key not in self.truth():
            return
        self.runner.run(self.standin.put_row(TABLE, key, value))

    @stateful.rule()
    def forget_history(self) -> None:
        """Let the store forget its changes."""
        self.runner.run(self.standin.memory.table.discard_history())

    @stateful.rule(key=KEYS)
    def read(self, key: str) -> None:
        """Read a row."""
        try:
            found = self.runner.run(self.rows.read(TABLE, key))
        except errors.PlatformUnavailableError:
            return
        self.known[key] = found
        assert (None if found is None else found.value) == self.truth().get(key)

    @stateful.rule(key=KEYS)
    def replace(self, key: str) -> None:
        """Write a row on condition that it's as it was read."""
        self.written += 1
        value = b"own %d" % self.written
        before = self.truth()
        known = self.known.get(key)
        work = table.replace(self.rows, known, TABLE, key, value)
        try:
            self.known[key] = self.runner.run(work)
        except table.ConditionFailedError as error:
            (conflict,) = error.conflicts
            self.known[key] = conflict.row
            standing = None if conflict.row is None else conflict.row.value
            assert standing == before.get(key)
            assert self.truth() == before
        except errors.OutcomeUnknownError:
            # A store that is slow may still apply it.
            self.runner.run(asyncio.sleep(self.standin.memory.faults.slow))
            assert self.truth() in (before, {**before, key: value})
        except errors.PlatformUnavailableError:
            assert self.truth() == before
        else:
            assert self.truth() == {**before, key: value}

    @stateful.rule()
    def follow(self) -> None:
        """Take in what has changed."""
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
        assert self.followed == self.truth()

    async def next_page(self) -> feed.Page:
        """Return the whole table at first, then its changes."""
        if self.version is None:
            return await self.client.read_all(TABLE)
        return await self.client.wait_for_changes(TABLE, self.version, 0.0)


StoreMachine.TestCase.settings = hypothesis.settings(
    max_examples=25, stateful_step_count=25, deadline=None
)
test_store_client = StoreMachine.TestCase
