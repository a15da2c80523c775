"""Ordered weights under lost messages, restarts and a store that fails."""

from __future__ import annotations

import asyncio
import contextlib

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tealcove import errors
from tealcove.accounts import orders, persistence
from tealcove.accounts.tests import builders
from tealcove.storage import faults

NUMBERS = (0, 1, 2)
ACCOUNTS = (builders.BAKERY, builders.FLORIST)
WEIGHTS = (None, 0.5, 2.0, 1000.0)


class WeightsMachine(stateful.RuleBasedStateMachine):
    """Check that all instances come to the newest order and never leave it."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.table = builders.FailingTable(builders.new_table())
        self.network, _ = builders.new_group(len(NUMBERS), self.table)
        # The newest order for each account that an operator was told to be in force.
        self.accepted: dict[str, orders.WeightOrder] = {}
        # The newest revision that each incarnation has had in force.
        self.seen: dict[tuple[int, str], int] = {}

    def teardown(self) -> None:
        self.settle()
        self.loop.close()

    def run(self, step: object) -> object:
        return self.loop.run_until_complete(step)

    def instance(self, number: int) -> builders.Instance:
        return self.network.instances[number]

    @stateful.rule(
        number=st.sampled_from(NUMBERS),
        account=st.sampled_from(ACCOUNTS),
        weight=st.sampled_from(WEIGHTS),
        lost=st.lists(st.booleans(), max_size=4),
    )
    def order(
        self, number: int, account: str, weight: float | None, lost: list[bool]
    ) -> None:
        self.table.lost = lost
        with contextlib.suppress(errors.PlatformError):
            order = self.run(self.instance(number).weights.order(account, weight))
            self.accept(order)
        self.table.lost = []

    @stateful.rule(
        numbers=st.permutations(NUMBERS),
        account=st.sampled_from(ACCOUNTS),
        weights=st.tuples(st.sampled_from(WEIGHTS), st.sampled_from(WEIGHTS)),
    )
    def order_at_two_instances_at_once(
        self,
        numbers: list[int],
        account: str,
        weights: tuple[float | None, float | None],
    ) -> None:
        """Let the second order come between the read and the write of the first."""

        async def order_elsewhere() -> None:
            self.accept(await second.order(account, weights[1]))

        first, second = (self.instance(number).weights for number in numbers[:2])
        self.table.before = order_elsewhere
        with contextlib.suppress(errors.PlatformUnavailableError):
            self.accept(self.run(first.order(account, weights[0])))
        self.table.before = None

    def accept(self, order: orders.WeightOrder) -> None:
        """Note an order whose operator is told that it is in force.

        Two orders of the same weight at the same time may be carried out as one.
        """
        before = self.accepted.get(order.account)
        is_newer = before is None or order.revision > before.revision
        assert is_newer or order == before
        self.accepted[order.account] = order

    @stateful.precondition(lambda self: self.network.underway)
    @stateful.rule(index=st.integers(0, 30), keeps=st.booleans())
    def deliver(self, index: int, keeps: bool) -> None:
        self.network.deliver(index, keeps)

    @stateful.precondition(lambda self: self.network.underway)
    @stateful.rule(index=st.integers(0, 30))
    def lose(self, index: int) -> None:
        del self.network.underway[index % len(self.network.underway)]

    @stateful.rule(numbers=st.permutations(NUMBERS))
    def hear(self, numbers: list[int]) -> None:
        self.instance(numbers[0]).hear(self.instance(numbers[1]))

    @stateful.rule(number=st.sampled_from(NUMBERS))
    def load(self, number: int) -> None:
        with contextlib.suppress(errors.PlatformUnavailableError):
            self.run(self.instance(number).weights.load(builders.NOW))

    @stateful.rule(is_down=st.booleans())
    def change_store(self, is_down: bool) -> None:
        self.table.inner.gate.faults = faults.Faults(down=is_down)

    @stateful.rule(account=st.sampled_from(ACCOUNTS))
    def damage_row(self, account: str) -> None:
        """Write what can't be read, while all instances have the order."""
        self.settle_messages()
        newest = self.accepted.get(account)
        instances = self.network.instances.values()
        if newest is None or any(
            one.weights.orders.revision(account) < newest.revision for one in instances
        ):
            # The row is all there is of an order that no instance has.
            return
        put = persistence.table.Put(persistence.TABLE, account, b'{"weight":0}')
        written = persistence.table.Transaction((), (put,))
        with contextlib.suppress(errors.PlatformUnavailableError):
            self.run(self.table.inner.commit(written))

    @stateful.rule(number=st.sampled_from(NUMBERS))
    def restart(self, number: int) -> None:
        """Replace an instance; others may hold messages for its address."""
        if self.is_last_copy(number):
            return
        for account in ACCOUNTS:
            self.seen.pop((number, account), None)
        builders.Instance(self.network, number, self.table)
        with contextlib.suppress(errors.PlatformUnavailableError):
            self.run(self.instance(number).weights.load(builders.NOW))
        for other in NUMBERS:
            if other != number:
                self.instance(number).hear(self.instance(other))
                self.instance(other).hear(self.instance(number))

    def is_last_copy(self, number: int) -> bool:
        """Tell whether an order is on one instance only, since its row is damaged."""
        rows = self.table.inner.rows
        for account, newest in self.accepted.items():
            row = rows.get((persistence.TABLE, account))
            if row is not None and persistence.stored_revision(row) >= newest.revision:
                continue
            others = [
                one.weights.orders.revision(account) >= newest.revision
                for other, one in self.network.instances.items()
                if other != number
            ]
            if not any(others):
                return True
        return False

    @stateful.invariant()
    def no_instance_returns_to_an_older_order(self) -> None:
        for number, one in self.network.instances.items():
            for account in ACCOUNTS:
                found = one.weights.orders.revision(account)
                assert found >= self.seen.get((number, account), 0)
                self.seen[number, account] = found

    def settle_messages(self) -> None:
        """Let all instances hear each other until none has news."""
        for _ in range(2 * len(NUMBERS)):
            builders.greet(list(self.network.instances.values()))
            self.network.deliver_all()

    def settle(self) -> None:
        """End all faults, and check that all instances have the newest orders."""
        self.table.inner.gate.faults = faults.Faults()
        for one in self.network.instances.values():
            self.run(one.weights.load(builders.NOW))
        self.settle_messages()
        for account in ACCOUNTS:
            found = {
                (
                    one.weights.orders.revision(account),
                    one.weights.orders.weight(account),
                )
                for one in self.network.instances.values()
            }
            assert len(found) == 1, found
            revision, weight = found.pop()
            accepted = self.accepted.get(account)
            if accepted is None:
                continue
            assert revision >= accepted.revision
            if revision == accepted.revision:
                assert weight == accepted.weight
        checksums = {one.members.own.weights for one in self.network.instances.values()}
        assert len(checksums) == 1
        sent = self.network.sent
        builders.greet(list(self.network.instances.values()))
        assert self.network.sent == sent


WeightsMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
TestWeights = WeightsMachine.TestCase
