"""Choice between servers of the entry's data centre and of others."""

from __future__ import annotations

import msgspec
import pytest

from tealcove import ids
from tealcove.dispatch import budgets, crossing, goal, messages
from tealcove.dispatch.tests import builders, waves
from tealcove.peers import message

HERE, THERE = waves.CENTRES
# Bytes a second: plenty, and next to nothing.
AMPLE, SCARCE = 1e9, 1.0


def opened(rate: float, *slots: int, here: float = 1.0) -> goal.GoalScheduler:
    """Return a scheduler with a local and a remote server of known speeds.

    Requests take `here` times as long at the local one as at the remote one.
    """
    found = goal.GoalScheduler()
    found.use_crossing(crossing.BudgetedCrossing(budgets.Budgets(rate)))
    near, far = slots or (1, 1)
    servers = (
        builders.server("near", near, data_centre=HERE),
        builders.server("far", far, data_centre=THERE),
    )
    found.configure(builders.cell(*servers), builders.instant(0.0))
    for name, factor in (("near", here), ("far", 1.0)):
        view = found.views.servers[ids.BackendServerId(name)]
        view.token_seconds = 0.005 * factor
        view.prefill.rate = 1.0
        view.call_seconds = 0.1 * factor
        view.observations = 1
    return found


def spend_budget(found: goal.GoalScheduler) -> None:
    """Use up the budget of the pair."""
    spent = found.crossing.budgets
    now = builders.instant(0.0)
    spent.spend((HERE, THERE), spent.refilled((HERE, THERE), now).burst, now)


def call(found: goal.GoalScheduler, at: float = 0.0, **changes: object) -> str | None:
    """Send a short call and return the server that it is granted at once."""
    work = {"prompt_tokens": 0, "output_tokens": 0}
    changed = {**work, "data_centre": HERE, "goal": 0.5, **changes}
    ticket = builders.ticket(remaining=8.0, **changed)
    grants = builders.granted(found.enqueue(ticket, builders.instant(at)))
    return grants[0].server if grants else None


def server_at(found: goal.GoalScheduler, at: float) -> list[str]:
    """Return the servers that are granted when the line is reviewed."""
    granted = builders.granted(found.tick(builders.instant(at)))
    return [grant.server for grant in granted]


def test_a_local_server_that_meets_the_goal_is_used_before_a_faster_one() -> None:
    """Guards against bytes between data centres for some hundredths of a second."""
    assert call(opened(AMPLE, here=1.4)) == "near"


def test_a_much_faster_remote_server_is_used_within_the_budget() -> None:
    """Guards against slow local servers that are filled while fast ones are idle."""
    assert call(opened(AMPLE, here=4.0)) == "far"
    found = opened(SCARCE, here=4.0)
    spend_budget(found)
    assert call(found) == "near"


@pytest.mark.parametrize("rate", [AMPLE, SCARCE])
def test_no_goal_is_missed_at_a_local_server(rate: float) -> None:
    """Guards against slow local servers: some take four times as long as others."""
    found = opened(rate, here=6.0)
    spend_budget(found)
    assert call(found) == "far"


@pytest.mark.parametrize("rate", [AMPLE, SCARCE])
def test_no_deadline_is_missed_at_a_local_server(rate: float) -> None:
    """Guards against streams that begin in time and end too late."""
    found = opened(rate, here=4.0)
    spend_budget(found)
    stream = {"prompt_tokens": 1, "output_tokens": 1000, "goal": 0.6}
    assert call(found, **stream) == "far"


def test_a_remote_server_that_saves_wait_is_used_within_the_budget() -> None:
    """Guards against callers who wait while other data centres are idle."""
    found = opened(AMPLE)
    assert [call(found), call(found)] == ["near", "far"]


def test_beyond_the_budget_a_ticket_waits_for_a_local_slot() -> None:
    """Guards against unbounded traffic between data centres."""
    found = opened(SCARCE)
    spend_budget(found)
    assert [call(found), call(found)] == ["near", None]
    ended = builders.done(first_grant(found, "near"), total_seconds=0.1)
    granted = builders.granted(found.done(ended, builders.instant(0.1)))
    assert [grant.server for grant in granted] == ["near"]


def first_grant(found: goal.GoalScheduler, name: str) -> messages.Grant:
    """Return the grant of a server's only run."""
    view = found.views.servers[ids.BackendServerId(name)]
    (run,) = view.runs.values()
    return found.grant_message(run.ticket, view).message


def test_beyond_the_budget_a_missed_goal_is_prevented() -> None:
    """Guards against goals that are missed to save bytes."""
    found = opened(SCARCE)
    spend_budget(found)
    assert [call(found), call(found, goal=0.25)] == ["near", "far"]


def test_only_so_many_wait_for_local_slots_as_become_free_in_time() -> None:
    """Guards against a local line that is longer than its slots can serve."""
    found = opened(SCARCE, 1, 8)
    spend_budget(found)
    found_at = [call(found) for _ in range(4)]
    assert found_at == ["near", None, "far", "far"]


def test_a_local_slot_that_is_late_is_not_waited_for() -> None:
    """Guards against goals missed because of a prediction that was wrong."""
    found = opened(SCARCE)
    spend_budget(found)
    assert [call(found), call(found)] == ["near", None]
    # The run should have ended at 0.1 s.
    granted = [name for at in (0.1, 0.2, 0.3) for name in server_at(found, at)]
    assert granted == ["far"]


def test_a_failing_local_server_is_not_preferred() -> None:
    """Guards against a data centre whose servers fail while others work."""
    found = opened(SCARCE)
    spend_budget(found)
    found.views.servers[ids.BackendServerId("near")].failures = 0.5
    assert call(found) == "far"


def test_a_local_server_is_used_if_no_remote_one_can_serve() -> None:
    found = opened(AMPLE, 1, 0)
    found.views.servers[ids.BackendServerId("near")].failures = 0.5
    assert call(found) == "near"


def test_late_requests_stay_in_their_data_centre() -> None:
    """Guards against bytes for requests that have missed their goal anyway."""
    found = opened(SCARCE)
    spend_budget(found)
    assert call(found, goal=0.01) == "near"
    assert call(found, goal=0.01) is None


def test_an_entry_without_a_data_centre_has_no_budget() -> None:
    found = opened(SCARCE)
    spend_budget(found)
    nowhere = ids.DataCentreId("")
    assert {call(found, data_centre=nowhere) for _ in range(2)} == {"near", "far"}


def test_requests_are_counted_with_their_bodies() -> None:
    """Guards against long prompts that count as much as short ones."""
    long = builders.ticket(body_bytes=50_000, prompt_tokens=0, expected_tokens=10)
    older = builders.ticket(prompt_tokens=10_000, expected_tokens=10)
    assert budgets.size_of(long) > 50_000
    assert budgets.size_of(older) > 40_000


def test_a_ticket_of_the_release_before_is_understood() -> None:
    """Guards against requests that are lost while instances are updated."""
    codec = message.Codec()
    codec.register(messages.Ticket)
    ticket = builders.ticket(body_bytes=50_000)
    fields = msgspec.msgpack.decode(codec.encode(ticket))
    # What the release before doesn't send: the tag stands before the fields.
    names = messages.Ticket.__struct_fields__
    new_fields = names[names.index("takes_notices") :]
    assert new_fields == (
        "takes_notices",
        "gap",
        "body_bytes",
        "event_tokens",
        "weight",
        "wants_copy",
        "copy_at",
    )
    older = codec.decode(msgspec.msgpack.encode(fields[: -len(new_fields)]))
    assert older == msgspec.structs.replace(ticket, body_bytes=0)
    # One more field, as the release after this one may send.
    newer = codec.decode(msgspec.msgpack.encode([*fields, 1]))
    assert newer == ticket


def test_a_budget_is_refilled_and_its_debt_is_bounded() -> None:
    """Guards against needed crossings that forbid useful ones for minutes."""
    pair = (HERE, THERE)
    found = budgets.Budgets(1000.0)
    now = builders.instant(0.0)
    assert found.allows(pair, 600.0, now)
    found.spend(pair, 600.0, now)
    assert not found.allows(pair, 600.0, now)
    assert found.allows((THERE, HERE), 600.0, now)
    for _ in range(100):
        found.spend(pair, 600.0, now)
    assert found.left(pair, now) == 0.0
    assert found.beyond == 100
    assert found.left(pair, builders.instant(1.5)) == pytest.approx(0.5)
    # Larger than a full bucket.
    assert not found.allows(pair, 5000.0, builders.instant(1.5))
    assert found.allows(pair, 5000.0, builders.instant(2.0))


@pytest.mark.parametrize("seed", range(3))
def test_opposite_waves_share_servers_with_few_bytes(seed: int) -> None:
    """Guards against missed goals in one data centre while another is idle.

    Demand is 0.85 of all servers, and 1.3 times those of a data centre at its peak. A
    constant penalty serves all in time as well, but at twice the bytes.
    """
    local = waves.Waves(waves.OnlyLocal(), seed).run()
    constant = waves.Waves(crossing.ConstantPenalty(), seed).run()
    shared = budgets.Budgets(50_000.0)
    found = waves.Waves(crossing.BudgetedCrossing(shared), seed).run()
    assert found.requests == local.requests == constant.requests
    assert found.in_time >= 1.05 * local.in_time
    assert found.in_time >= 0.995 * constant.in_time
    assert found.crossed_bytes <= 0.6 * constant.crossed_bytes
    assert found.crossed_bytes == pytest.approx(shared.bytes)
