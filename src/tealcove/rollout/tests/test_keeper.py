"""Orders that come, are replaced and withdrawn, and dispatchers that take over."""

from __future__ import annotations

import asyncio

import pytest

from tealcove.rollout import keeper, order
from tealcove.rollout.tests import builders
from tealcove.tests import virtual


class Deciding:
    """An instance that decides for one service."""

    def __init__(self, rows: builders.Rows) -> None:
        self.old, self.new = builders.views(builders.OLD), []
        self.decides = True
        self.keeper = keeper.Keeper(rows, self.decided)
        self.exposure = self.keeper.of_pool(builders.SERVICE)

    def decided(self):
        """Return what the dispatcher would."""
        return {builders.SERVICE: [*self.old, *self.new]} if self.decides else {}

    def takes_new(self) -> int:
        """Return how many of the new servers may get a request."""
        return sum(self.exposure.may_receive(one.spec) for one in self.new)


@pytest.fixture
def play(monkeypatch: pytest.MonkeyPatch):
    """Return what runs a coroutine in virtual time."""
    return lambda main: virtual.run(monkeypatch, main)


def test_an_order_is_carried_out_and_told(play) -> None:
    async def main() -> None:
        rows = builders.Rows()
        one = Deciding(rows)
        one.keeper.start()
        await asyncio.sleep(1.0)
        assert rows.reads == 1
        rows.order = builders.ordered()
        # Its servers are started: that is when the orders are read at once.
        one.new = builders.views(builders.NEW)
        await asyncio.sleep(0.5)
        assert rows.told == [order.State.RUNNING]
        assert 0 < one.takes_new() < len(one.new)
        rows.seconds += 6.0
        await asyncio.sleep(builders.PERIOD - 1.0)
        assert rows.told == [order.State.RUNNING, order.State.DONE]
        assert one.takes_new() == len(one.new)
        assert rows.status.to == builders.NEW
        await one.keeper.stop()

    play(main())


async def under_way(**changes: object) -> tuple[builders.Rows, Deciding]:
    """Return the store, and who decides, a second after an order."""
    rows = builders.Rows()
    rows.order = builders.ordered(**changes)
    one = Deciding(rows)
    one.new = builders.views(builders.NEW)
    one.keeper.start()
    await asyncio.sleep(1.0)
    return rows, one


def fail_all(one: Deciding) -> None:
    """Let the new version's answers fail."""
    for server in one.new * 3:
        done = builders.done(server.name, has_failed=True)
        one.exposure.record_end(server.spec, "a", done)


def test_whoever_takes_over_goes_on_from_what_stands_in_the_store(play) -> None:
    """A bad version is tried again and again.

    Symptom: it gets requests after it was rolled back. Sequence: the instance that
    decided dies; the next in rank decides. Cause: it takes the order for a new one.
    """

    async def main() -> None:
        rows = builders.Rows()
        rows.order = builders.ordered()
        first, second = Deciding(rows), Deciding(rows)
        second.decides = False
        for one in (first, second):
            one.new = builders.views(builders.NEW)
            one.keeper.start()
        await asyncio.sleep(1.0)
        fail_all(first)
        await asyncio.sleep(1.0)
        assert rows.told[-1] is order.State.ROLLED_BACK
        await first.keeper.stop()
        second.decides = True
        await asyncio.sleep(1.0)
        assert second.takes_new() == 0
        assert rows.told.count(order.State.ROLLED_BACK) == 1
        await second.keeper.stop()

    play(main())


def test_of_two_that_decide_the_first_word_holds(play) -> None:
    async def main() -> None:
        rows = builders.Rows()
        rows.order = builders.ordered()
        pair = [Deciding(rows), Deciding(rows)]
        for one in pair:
            one.new = builders.views(builders.NEW)
            one.keeper.start()
        await asyncio.sleep(1.0)
        fail_all(pair[0])
        await asyncio.sleep(builders.PERIOD)
        assert rows.status.state is order.State.ROLLED_BACK
        assert [one.takes_new() for one in pair] == [0, 0]
        for one in pair:
            await one.keeper.stop()

    play(main())


def test_a_store_that_is_away_changes_nothing_and_is_told_later(play) -> None:
    async def main() -> None:
        rows, one = await under_way()
        rows.is_down = True
        fail_all(one)
        await asyncio.sleep(1.0)
        # It gets nothing any more although nobody could be told.
        assert one.takes_new() == 0
        assert rows.told == [order.State.RUNNING]
        rows.is_down = False
        await asyncio.sleep(2.5)
        assert rows.told == [order.State.RUNNING, order.State.ROLLED_BACK]
        await one.keeper.stop()

    play(main())


def test_an_order_that_is_withdrawn_limits_nothing(play) -> None:
    async def main() -> None:
        rows, one = await under_way()
        rows.order = None
        await asyncio.sleep(2.0)
        assert one.takes_new() == len(one.new)
        await one.keeper.stop()

    play(main())


def test_an_order_that_replaces_one_begins_anew(play) -> None:
    async def main() -> None:
        rows, one = await under_way()
        fail_all(one)
        await asyncio.sleep(1.0)
        assert rows.status.state is order.State.ROLLED_BACK
        rows.order = builders.ordered(revision=2, to="v3")
        one.new = builders.views("v3")
        await asyncio.sleep(1.0)
        assert (rows.status.state, rows.status.to) == (order.State.RUNNING, "v3")
        assert one.takes_new() > 0
        await one.keeper.stop()

    play(main())


@pytest.mark.parametrize("changes", [{"to": ""}, {"period": 0.0}, {"period": -1.0}])
def test_an_order_that_cannot_be_carried_out_limits_nothing(play, changes) -> None:
    async def main() -> None:
        rows, one = await under_way(**changes)
        assert one.takes_new() == len(one.new)
        assert rows.told == []
        await one.keeper.stop()

    play(main())
