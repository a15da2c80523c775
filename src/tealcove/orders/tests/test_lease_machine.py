"""Two participants of one lease under pauses, lost replies and outages."""

from __future__ import annotations

import contextlib
import enum
from collections.abc import Coroutine, Generator, Sequence
from typing import Any

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tealcove import errors
from tealcove.orders import lease
from tealcove.orders.tests import builders
from tealcove.storage import faults, memory, table

PARTICIPANTS = range(2)
# Offset and rate of each participant's clock.
CLOCK_OFFSETS = (1000.0, -50.0)
CLOCK_RATES = (0.75, 1.3)
# Covers both rates: 5 s of the slow clock end before 10 s of the fast one.
MARGIN = 5.0
WAITS = st.sampled_from((0.0, 2.0, 8.0))
CHOICES = st.integers(0, 5)
LOST = errors.OutcomeUnknownError("lost", "Read the row.")
REFUSED = errors.PlatformUnavailableError("refused", "Wait.")


class Turn(enum.Enum):
    """Fate of one participant's step, started now or paused before.

    A value holds the number of hops that succeed, and the error of all later ones;
    None pauses the step there.
    """

    SKIPPED = "skipped"
    # Killed and restarted; a write in flight may still arrive.
    REPLACED = "replaced"
    # Releases the lease, unless a step is paused.
    RELEASED = (7, None)
    WHOLE = (6, None)
    PAUSED_ON_THE_WAY = (0, None)
    PAUSED_ON_THE_WAY_BACK = (1, None)
    LOST_ON_THE_WAY = (0, LOST)
    LOST_ON_THE_WAY_BACK = (1, LOST)
    REFUSED = (0, REFUSED)


# Weighted towards the turns that lead to changes of holder.
TURNS = st.sampled_from((*Turn, *[Turn.WHOLE] * 7, *[Turn.SKIPPED] * 5))


class Hop:
    """Suspend a call until the state machine resumes it."""

    def __await__(self) -> Generator[None, None, None]:
        yield


class HoppingTable(memory.MemoryTableService):
    """A table whose calls are suspended before and after they're applied.

    A PlatformUnavailableError raised in a hop simulates a refused call, an
    OutcomeUnknownError a lost one.
    """

    def __init__(self, gate: faults.Gate) -> None:
        super().__init__(gate)
        # Writes in flight whose callers have already failed.
        self.late: list[table.Transaction] = []

    async def commit(self, transaction: table.Transaction) -> table.Committed:
        try:
            await Hop()
        except errors.OutcomeUnknownError:
            self.late.append(transaction)
            raise
        try:
            return await super().commit(transaction)
        finally:
            await self.return_write()

    async def return_write(self) -> None:
        try:
            await Hop()
        except errors.PlatformUnavailableError as error:
            raise LOST from error

    async def read(self, table: str, key: str) -> table.Row | None:
        try:
            await Hop()
            row = await super().read(table, key)
            await Hop()
        except errors.OutcomeUnknownError as error:
            raise REFUSED from error
        return row

    async def arrive(self, transaction: table.Transaction) -> None:
        with contextlib.suppress(table.ConditionFailedError):
            await super().commit(transaction)


def run(coroutine: Coroutine[Any, Any, Any], error: Exception | None = None) -> bool:
    """Run to the next hop, or raise an error in this one; tell whether it ended."""
    try:
        if error is None:
            coroutine.send(None)
        else:
            coroutine.throw(error)
    except StopIteration:
        return True
    return False


def pick(items: Sequence[Any], choice: int) -> Any:
    """Return one of the items; the choice is taken modulo their number."""
    return items[choice % len(items)]


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Run events in any order and check the holders at the true time."""

    def __init__(self) -> None:
        super().__init__()
        self.platform = memory.MemoryPlatform()
        self.table = HoppingTable(self.platform.gate)
        self.platform.table = self.table
        self.now = 0.0
        self.runs = 0
        self.leases: dict[int, lease.Lease] = {}
        self.steps: dict[int, Coroutine[Any, Any, None]] = {}
        # The last holder of the lease, and its number.
        self.last_holder = ""
        self.last_number = 0
        for number in PARTICIPANTS:
            self.start(number)

    def start(self, number: int) -> None:
        self.runs += 1
        self.leases[number] = builders.participant(
            self.platform, f"run {self.runs}", MARGIN
        )

    def local_time(self, number: int) -> float:
        return CLOCK_OFFSETS[number] + CLOCK_RATES[number] * self.now

    def begin(self, number: int, turn: Turn) -> None:
        side = self.leases[number]
        act = side.release if turn is Turn.RELEASED else side.step
        self.steps[number] = act(self.local_time(number))
        self.advance(number)

    def advance(self, number: int, error: Exception | None = None) -> None:
        if number in self.steps and run(self.steps[number], error):
            del self.steps[number]

    @stateful.rule(wait=WAITS, first=CHOICES, turns=st.tuples(TURNS, TURNS))
    def go_on(self, wait: float, first: int, turns: tuple[Turn, Turn]) -> None:
        self.now += wait
        for offset, turn in enumerate(turns):
            self.take_turn(pick(PARTICIPANTS, first + offset), turn)
            self.one_holder_under_a_higher_number()

    def take_turn(self, number: int, turn: Turn) -> None:
        if turn is Turn.SKIPPED:
            return
        if turn is Turn.REPLACED:
            self.replace(number)
            return
        if number not in self.steps:
            self.begin(number, turn)
        hops, error = turn.value
        for _ in range(hops):
            self.advance(number)
        while error is not None and number in self.steps:
            self.advance(number, error)

    @stateful.precondition(lambda self: self.table.late)
    @stateful.rule(choice=CHOICES)
    def arrive_late(self, choice: int) -> None:
        transaction = pick(self.table.late, choice)
        self.table.late.remove(transaction)
        assert run(self.table.arrive(transaction))

    def replace(self, number: int) -> None:
        self.advance(number, LOST)
        self.stop(number)
        self.start(number)

    def stop(self, number: int) -> None:
        if number in self.steps:
            self.steps.pop(number).close()

    @stateful.invariant()
    def one_holder_under_a_higher_number(self) -> None:
        holders = [
            side
            for number, side in self.leases.items()
            if side.held(self.local_time(number))
        ]
        assert len(holders) <= 1
        for side in holders:
            if side.holder != self.last_holder:
                assert side.number > self.last_number
            assert side.number >= self.last_number
            self.last_holder = side.holder
            self.last_number = side.number

    def teardown(self) -> None:
        for number in PARTICIPANTS:
            self.stop(number)


LeaseMachine.TestCase.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=50, deadline=None, derandomize=True
)
TestLease = LeaseMachine.TestCase
