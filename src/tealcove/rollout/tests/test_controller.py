"""New, replaced and withdrawn orders, and dispatchers that take over."""

from __future__ import annotations

import asyncio

import pytest

from tealcove.rollout import controller, order
from tealcove.rollout.tests import builders
from tealcove.tests import virtual


class Dispatcher:
    """An instance that may dispatch one service."""

    def __init__(self, rows: builders.Rows) -> None:
        self.old, self.new = builders.views(builders.OLD), []
        self.is_dispatching = True
        self.controller = controller.Controller(rows, self.dispatched)
        self.exposure = self.controller.of_pool(builders.SERVICE)

    def dispatched(self):
        """Return the dispatched servers by service."""
        return {builders.SERVICE: [*self.old, *self.new]} if self.is_dispatching else {}

    def exposed_servers(self) -> int:
        """Return the number of new servers that may get a request."""
        return sum(self.exposure.may_receive(one.spec) for one in self.new)


@pytest.fixture
def play(monkeypatch: pytest.MonkeyPatch):
    """Return a function that runs a coroutine in virtual time."""
    return lambda main: virtual.run(monkeypatch, main)


def test_order_is_carried_out_and_its_status_written(play) -> None:
    async def main() -> None:
        rows = builders.Rows()
        one = Dispatcher(rows)
        one.controller.start()
        await asyncio.sleep(1.0)
        assert rows.reads == 1
        rows.order = builders.ordered()
        # New servers make the controller read the order at once.
        one.new = builders.views(builders.NEW)
        await asyncio.sleep(0.5)
        assert rows.written == [order.State.RUNNING]
        assert 0 < one.exposed_servers() < len(one.new)
        rows.seconds += 6.0
        await asyncio.sleep(builders.PERIOD - 1.0)
        assert rows.written == [order.State.RUNNING, order.State.DONE]
        assert one.exposed_servers() == len(one.new)
        assert rows.status.to == builders.NEW
        await one.controller.stop()

    play(main())


async def started(**changes: object) -> tuple[builders.Rows, Dispatcher]:
    """Return the store and a dispatcher, one second after an order."""
    rows = builders.Rows()
    rows.order = builders.ordered(**changes)
    one = Dispatcher(rows)
    one.new = builders.views(builders.NEW)
    one.controller.start()
    await asyncio.sleep(1.0)
    return rows, one


def fail_all(one: Dispatcher) -> None:
    """Record failed answers of the new version."""
    for server in one.new * 3:
        done = builders.done(server.name, has_failed=True)
        one.exposure.record_end(server.spec, "a", done)


def test_successor_continues_from_the_stored_status(play) -> None:
    """A dispatcher that takes over continues from the stored status.

    Guards against a successor that takes a known order for a new one when its
    predecessor dies: a bad version would get requests again after its rollback.
    """

    async def main() -> None:
        rows = builders.Rows()
        rows.order = builders.ordered()
        first, second = Dispatcher(rows), Dispatcher(rows)
        second.is_dispatching = False
        for one in (first, second):
            one.new = builders.views(builders.NEW)
            one.controller.start()
        await asyncio.sleep(1.0)
        fail_all(first)
        await asyncio.sleep(1.0)
        assert rows.written[-1] is order.State.ROLLED_BACK
        await first.controller.stop()
        second.is_dispatching = True
        await asyncio.sleep(1.0)
        assert second.exposed_servers() == 0
        assert rows.written.count(order.State.ROLLED_BACK) == 1
        await second.controller.stop()

    play(main())


def test_first_status_written_by_two_dispatchers_applies(play) -> None:
    async def main() -> None:
        rows = builders.Rows()
        rows.order = builders.ordered()
        pair = [Dispatcher(rows), Dispatcher(rows)]
        for one in pair:
            one.new = builders.views(builders.NEW)
            one.controller.start()
        await asyncio.sleep(1.0)
        fail_all(pair[0])
        await asyncio.sleep(builders.PERIOD)
        assert rows.status.state is order.State.ROLLED_BACK
        assert [one.exposed_servers() for one in pair] == [0, 0]
        for one in pair:
            await one.controller.stop()

    play(main())


def test_rollback_during_a_store_outage_is_written_afterwards(play) -> None:
    async def main() -> None:
        rows, one = await started()
        rows.is_down = True
        fail_all(one)
        await asyncio.sleep(1.0)
        # The new version gets no requests although the status couldn't be written.
        assert one.exposed_servers() == 0
        assert rows.written == [order.State.RUNNING]
        rows.is_down = False
        await asyncio.sleep(2.5)
        assert rows.written == [order.State.RUNNING, order.State.ROLLED_BACK]
        await one.controller.stop()

    play(main())


def test_withdrawn_order_limits_nothing(play) -> None:
    async def main() -> None:
        rows, one = await started()
        rows.order = None
        await asyncio.sleep(2.0)
        assert one.exposed_servers() == len(one.new)
        await one.controller.stop()

    play(main())


def test_replacing_order_starts_a_new_rollout(play) -> None:
    async def main() -> None:
        rows, one = await started()
        fail_all(one)
        await asyncio.sleep(1.0)
        assert rows.status.state is order.State.ROLLED_BACK
        rows.order = builders.ordered(revision=2, to="v3")
        one.new = builders.views("v3")
        await asyncio.sleep(1.0)
        assert (rows.status.state, rows.status.to) == (order.State.RUNNING, "v3")
        assert one.exposed_servers() > 0
        await one.controller.stop()

    play(main())


@pytest.mark.parametrize("changes", [{"to": ""}, {"period": 0.0}, {"period": -1.0}])
def test_invalid_order_limits_nothing(play, changes) -> None:
    async def main() -> None:
        rows, one = await started(**changes)
        assert one.exposed_servers() == len(one.new)
        assert rows.written == []
        await one.controller.stop()

    play(main())
