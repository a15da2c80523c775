"""Roll-outs when the store was restored from a copy."""

from __future__ import annotations

import msgspec
import pytest

from tealcove import ids
from tealcove.rollout import controller, order
from tealcove.rollout.tests import builders
from tealcove.storage import revisions

instant = builders.instant


def at(era: int, number: int) -> ids.Revision:
    return ids.Revision(revisions.revision_of(ids.Era(era), number))


def snapshot(
    found: order.Order | None, status: order.Status | None, newest: ids.Revision
) -> order.Snapshot:
    return order.Snapshot(found, status, None, 500.0, newest)


def status_of(found: order.Order, state: order.State) -> order.Status:
    return order.Status(found.to, state, found.revision, 400.0)


class Ended:
    """A controller whose roll-out has ended, in the first era."""

    def __init__(self, state: order.State = order.State.ROLLED_BACK) -> None:
        self.controller = controller.Controller(builders.Rows(), dict)
        self.service = controller.ServiceState()
        self.order = builders.ordered(at(1, 9))
        self.status = status_of(self.order, state)
        self.apply(self.order, self.status, at(1, 9), 0.0)

    def apply(
        self,
        found: order.Order | None,
        status: order.Status | None,
        newest: ids.Revision,
        seconds: float,
    ) -> None:
        """Apply what was read from the store."""
        read = snapshot(found, status, newest)
        self.controller.apply(self.service, read, instant(seconds))

    @property
    def state(self) -> order.State:
        """The state of the roll-out here."""
        return self.service.rollout.state


@pytest.mark.parametrize("number", [4, 9, 12])
def test_an_order_that_is_written_again_does_not_begin_anew(number: int):
    """A version that was rolled back got requests again."""
    one = Ended()
    again = builders.ordered(at(2, number))
    one.apply(again, one.status, at(2, number), 20.0)
    assert one.state is order.State.ROLLED_BACK
    assert one.service.rollout.order == again


def test_a_status_is_written_again_under_the_new_revision():
    """An order that repeats a rolled-back one in the new era was ignored."""
    one = Ended()
    one.apply(builders.ordered(at(2, 4)), one.status, at(2, 4), 20.0)
    assert one.service.stored_state is None
    renumbered = msgspec.structs.replace(one.status, revision=at(2, 4))
    one.apply(builders.ordered(at(2, 4)), renumbered, at(2, 5), 21.0)
    assert one.service.stored_state is order.State.ROLLED_BACK
    one.apply(builders.ordered(at(2, 7)), renumbered, at(2, 7), 22.0)
    assert one.state is order.State.RUNNING


def test_a_lost_status_is_written_again():
    one = Ended(order.State.DONE)
    one.apply(builders.ordered(at(2, 9)), None, at(2, 9), 20.0)
    assert one.state is order.State.DONE
    assert one.service.stored_state is None


@pytest.mark.parametrize("before", [None, "v0"])
def test_an_order_that_the_copy_lacks_goes_on_until_it_is_written_again(
    before: str | None,
):
    one = Ended()
    found = None if before is None else builders.ordered(at(2, 3), to=before)
    one.apply(found, None, at(2, 5), 20.0)
    one.apply(found, None, at(2, 6), 20.0 + controller.RESTORED_SECONDS - 1.0)
    assert one.state is order.State.ROLLED_BACK
    one.apply(found, None, at(2, 7), 20.0 + controller.RESTORED_SECONDS)
    assert one.service.rollout is None or one.service.rollout.order == found


def test_an_order_that_is_withdrawn_ends_at_once():
    one = Ended()
    one.apply(None, None, at(1, 12), 20.0)
    assert one.service.rollout is None


def test_a_new_order_of_the_new_era_begins():
    one = Ended()
    new = builders.ordered(at(2, 30), to="v3")
    one.apply(new, one.status, at(2, 30), 20.0)
    assert one.service.rollout.order == new
    assert one.state is order.State.RUNNING


def test_an_order_of_the_same_era_that_repeats_one_begins_anew():
    one = Ended()
    again = msgspec.structs.replace(one.order, revision=at(1, 12))
    one.apply(again, one.status, at(1, 12), 20.0)
    assert one.state is order.State.RUNNING
