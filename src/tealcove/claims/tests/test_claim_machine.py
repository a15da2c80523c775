"""Claims under lost replies, outages, partitions, duplicate messages and crashes."""

from __future__ import annotations

import asyncio
import collections
import contextlib

import hypothesis
import msgspec
from hypothesis import stateful
from hypothesis import strategies as st

from tealcove import clock, ids
from tealcove.claims import claim, claimer
from tealcove.claims.tests import builders
from tealcove.storage import faults

INSTANCES = (1, 2, 3)
KEYS = tuple(f"a/{number}" for number in range(5))
SHORT = (0.001, 0.021, 0.2)
LONG = (0.8, 3.0, 12.0)
RARELY = (False, False, False, True)
ENDINGS = ("complete", "refused", "unknown")


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Check that each key is dispatched at most once and its row is never lost."""

    def __init__(self) -> None:
        super().__init__()
        self.resources = contextlib.ExitStack()
        self.loop = self.resources.enter_context(builders.virtual_time())
        self.platform = builders.platform_in(self.loop)
        self.rows = builders.LateTable(self.platform.table)
        self.bus = builders.Bus()
        self.dispatches: collections.Counter[str] = collections.Counter()
        # Whether a claim was ever mistaken for another request's after a lost reply.
        self.mistook_own_claim = False
        for number in INSTANCES:
            self.start(number)
        self.wait(1.0)

    def start(self, number: int) -> None:
        async def create() -> None:
            builders.Instance(self.bus, number, self.rows)

        self.loop.run_until_complete(create())

    def wait(self, seconds: float) -> None:
        self.loop.run_until_complete(builders.pass_time(self.bus, seconds))

    async def request(
        self, instance: builders.Instance, key: str, ending: str, seconds: float
    ) -> None:
        """Run a request as its entry does."""
        wanted = builders.claim_of(instance)
        deadline = ids.Instant(clock.now() + builders.DEADLINE)
        try:
            held = await instance.claimer.claim(key, wanted, deadline)
        except claimer.TakenError as error:
            self.mistook_own_claim |= error.found.nonce == wanted.nonce
            return
        except claimer.UnavailableError:
            return
        if ending == "refused":
            await instance.claimer.release(held)
            return
        self.dispatches[key] += 1
        await asyncio.sleep(seconds)
        state = claim.State.COMPLETED if ending == "complete" else claim.State.UNKNOWN
        await instance.claimer.record(
            held, msgspec.structs.replace(held.claim, state=state)
        )

    @stateful.rule(
        numbers=st.lists(st.sampled_from(INSTANCES), min_size=1, max_size=3),
        key=st.sampled_from(KEYS),
        ending=st.sampled_from(ENDINGS),
        runs_for=st.sampled_from([0.0, 0.3, 2.0]),
        seconds=st.sampled_from(SHORT),
    )
    def send(
        self,
        numbers: list[int],
        key: str,
        ending: str,
        runs_for: float,
        seconds: float,
    ) -> None:
        """Send one key to some entries at the same moment."""

        async def begin() -> None:
            for number in numbers:
                instance = self.bus.instances[number]
                instance.run(self.request(instance, key, ending, runs_for))

        self.loop.run_until_complete(begin())
        self.wait(seconds)

    @stateful.rule(seconds=st.sampled_from(LONG))
    def pass_time(self, seconds: float) -> None:
        self.wait(seconds)

    @stateful.rule(
        down=st.sampled_from(RARELY),
        slow=st.sampled_from([0.0, 0.0, 0.1, 2.5]),
        lost=st.integers(0, 4),
    )
    def disturb_platform(self, down: bool, slow: float, lost: int) -> None:
        self.platform.faults = faults.Faults(down=down, slow=slow, lose_replies=lost)

    @stateful.rule(
        duplicating=st.booleans(),
        delay=st.sampled_from([builders.DELAY, builders.DELAY, 0.3, 0.6]),
        cut=st.sampled_from([None, None, *INSTANCES]),
    )
    def disturb_messages(
        self, duplicating: bool, delay: float, cut: int | None
    ) -> None:
        self.bus.duplicating = duplicating
        self.bus.delay = delay
        self.bus.cut = set() if cut is None else {cut}

    @stateful.rule()
    def heal(self) -> None:
        self.bus.cut = set()
        self.bus.delay = builders.DELAY
        self.platform.faults = faults.Faults()

    @stateful.rule(number=st.sampled_from(INSTANCES))
    def replace(self, number: int) -> None:
        """Kill an instance and start a new incarnation with the same name."""
        self.bus.instances[number].kill()
        self.start(number)

    @stateful.invariant()
    def dispatched_once_and_remembered(self) -> None:
        for key, count in self.dispatches.items():
            assert count == 1
            assert (claim.TABLE, key) in self.platform.table.rows
        assert not self.mistook_own_claim

    def teardown(self) -> None:
        """Check that no claim is active any more once all faults are over."""
        with self.resources:
            self.heal()
            self.wait(30.0)
            self.dispatched_once_and_remembered()
            for instance in self.bus.instances.values():
                assert not instance.claimer.active


ClaimMachine.TestCase.settings = hypothesis.settings(
    max_examples=120,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    # An example runs in milliseconds, but shrinking one takes thousands of runs.
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
)
TestClaims = ClaimMachine.TestCase
