"""Tests of the goal scheduler: rank, goals, refusals, failing servers, takeover."""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.dispatch import goal, messages, retry, scheduler, waitingline
from tealcove.dispatch.tests import builders
from tealcove.ingress import exchange


def opened(*names: str, slots: int = 1) -> goal.GoalScheduler:
    found = goal.GoalScheduler()
    servers = [builders.server(name, slots) for name in names or ("s0",)]
    found.configure(builders.cell(*servers), builders.instant(0))
    return found


def enqueue(
    found: goal.GoalScheduler, at: float = 0.0, **changes: object
) -> tuple[messages.Ticket, list]:
    ticket = builders.ticket(**changes)
    return ticket, found.enqueue(ticket, builders.instant(at))


def granted_names(outgoing: list) -> list[str]:
    return [grant.server for grant in builders.granted(outgoing)]


def test_a_higher_rank_goes_first_whenever_it_came():
    found = opened()
    _, first = enqueue(found)
    low, _ = enqueue(found, 0.1, tier_rank=2, remaining=60.0)
    high, _ = enqueue(found, 0.2, tier_rank=0, remaining=60.0)
    (grant,) = builders.granted(first)
    (next_one,) = builders.granted(
        found.done(builders.done(grant), builders.instant(1))
    )
    assert next_one.ticket_id == high.ticket_id
    assert low.ticket_id in found.line


def test_goals_in_reach_go_before_late_ones_of_the_same_rank():
    """Guards against every request being late under overload.

    Served oldest first, each request is a little late, although half of them could meet
    their goal. Requests whose goal is missed must not stay first in line.
    """
    found = opened()
    _, first = enqueue(found, remaining=60.0)
    late, _ = enqueue(found, 0.0, goal=0.3, remaining=60.0)
    fresh, _ = enqueue(found, 1.0, goal=0.9, remaining=60.0)
    (grant,) = builders.granted(first)
    (next_one,) = builders.granted(
        found.done(builders.done(grant), builders.instant(1.2))
    )
    assert next_one.ticket_id == fresh.ticket_id
    assert late.ticket_id in found.line


def restarted(found: goal.GoalScheduler, at: float) -> list:
    """Restart the only server."""
    servers = builders.server("s0", 1, start=ids.ServerStart(2))
    return found.configure(builders.cell(servers), builders.instant(at))


def test_a_restarted_server_keeps_no_earlier_runs():
    """Guards against a restarted server staying idle with all slots taken.

    A server dies without closing its connections and restarts under the same name; the
    entries still wait for answers of its old start, and refresh their tickets. If
    servers are identified by name alone, the old runs hold slots of the new start.
    """
    found = opened()
    old, out = enqueue(found, remaining=60.0)
    (grant,) = builders.granted(out)
    waiting, _ = enqueue(found, 0.1, remaining=60.0)
    (next_one,) = builders.granted(restarted(found, 1))
    assert next_one.ticket_id == waiting.ticket_id
    assert (grant.start, next_one.start) == (0, 2)
    refreshed = msgspec.structs.replace(old, running_on=grant.server)
    assert found.enqueue(refreshed, builders.instant(1.1)) == []
    assert list(found.views.server_by_ticket) == [waiting.ticket_id]
    now = msgspec.structs.replace(
        waiting, running_on=grant.server, running_start=next_one.start
    )
    assert found.enqueue(now, builders.instant(1.2)) == []
    assert list(found.views.server_by_ticket) == [waiting.ticket_id]


def test_outcomes_of_the_old_start_do_not_count_for_the_new_one():
    """Guards against a restarted server counting as failing from its start.

    The list with the new start reaches the dispatcher before the entries' reports of
    requests that broke off. Those reports must not be attributed to the new start.
    """
    found = opened()
    _, out = enqueue(found, remaining=60.0)
    (grant,) = builders.granted(out)
    restarted(found, 1)
    crashed = builders.done(grant, outcome=messages.Outcome.CRASHED)
    found.done(crashed, builders.instant(1.1))
    (view,) = found.views.servers.values()
    assert view.free_slots(builders.instant(1.1)) == 1
    assert (view.failures, view.observations) == (0.0, 0)


def test_the_failures_of_the_old_start_are_forgotten_with_it():
    """As above, but the reports of broken requests arrive first."""
    found = opened()
    _, out = enqueue(found, remaining=60.0)
    (grant,) = builders.granted(out)
    crashed = builders.done(grant, outcome=messages.Outcome.CRASHED)
    found.done(crashed, builders.instant(0.9))
    assert found.views.servers["s0"].free_slots(builders.instant(0.95)) == 0
    restarted(found, 1)
    assert found.views.servers["s0"].free_slots(builders.instant(1.0)) == 1
    assert found.views.servers["s0"].failures == 0.0


def test_what_would_start_after_its_caller_has_left_is_refused_at_once():
    found = opened()
    enqueue(found, prompt_tokens=50_000, remaining=60.0)
    for _ in range(3):
        enqueue(found, prompt_tokens=50_000, remaining=60.0, patience=30.0)
    _, outgoing = enqueue(found, remaining=60.0, tier_rank=5, patience=0.5)
    (refusal,) = builders.refused(outgoing)
    assert refusal.reason is messages.RefusalReason.OVERLOAD
    assert retry.MIN_SECONDS <= refusal.retry_after <= retry.MAX_SECONDS


def test_a_ticket_goes_where_it_ends_soonest():
    found = opened("slow", "fast", slots=2)
    found.views.servers["slow"].prefill.rate = 1e-3
    found.views.servers["slow"].token_seconds = 0.05
    assert granted_names(enqueue(found)[1]) == ["fast"]
    assert granted_names(enqueue(found, prompt_tokens=10)[1]) == ["fast"]
    assert granted_names(enqueue(found)[1]) == ["slow"]


def test_a_ticket_waits_for_a_server_that_meets_its_goal():
    found = opened("slow", "fast")
    found.views.servers["slow"].prefill.rate = 1e-2
    (first,) = builders.granted(enqueue(found)[1])
    assert first.server == "fast"
    waiting, outgoing = enqueue(found, 0.01, goal=0.5)
    assert builders.granted(outgoing) == []
    done = builders.done(first, total_seconds=0.1, output_tokens=0)
    assert granted_names(found.done(done, builders.instant(0.1))) == ["fast"]
    assert waiting.ticket_id in found.views.server_by_ticket


def test_an_unreachable_server_gets_nothing_for_a_while():
    found = opened("s0", "s1")
    (grant,) = builders.granted(enqueue(found)[1])
    lost = builders.done(grant, outcome=messages.Outcome.NOT_SENT)
    found.done(lost, builders.instant(0.1))
    other = "s1" if grant.server == "s0" else "s0"
    assert granted_names(enqueue(found, 0.2)[1]) == [other]
    assert granted_names(enqueue(found, 0.2)[1]) == []
    assert granted_names(found.tick(builders.instant(0.6))) == [grant.server]


def test_a_server_that_hangs_gets_no_more_requests():
    found = opened("s0", slots=4)
    enqueue(found, remaining=60.0)
    assert granted_names(enqueue(found, 5.0, remaining=60.0)[1]) == []


def test_a_server_that_loses_single_answers_goes_on_getting_work():
    """Guards against idle servers while first events come five times later.

    A server loses three answers in ten and serves all others well. It must get
    requests although one of its runs is overdue.
    """
    found = opened("s0", slots=4)
    enqueue(found, remaining=60.0)
    (other,) = builders.granted(enqueue(found, 0.1, remaining=60.0)[1])
    found.done(builders.done(other), builders.instant(0.8))
    assert granted_names(enqueue(found, 5.0, remaining=60.0)[1]) == ["s0"]


def test_a_ticket_that_excludes_every_server_still_runs():
    found = opened("s0")
    names = (ids.BackendServerId("s0"),)
    assert granted_names(enqueue(found, excluded=names)[1]) == ["s0"]


def test_stale_slots_are_released_after_a_takeover():
    """Guards against a successor serving only two thirds of the work for seconds.

    Entries report their running requests to the successor; some of these entries die
    too, or the ends of their requests are lost. Slots that are no longer refreshed
    must not be kept for as long as 8 s.
    """
    found = opened("s0")
    running = builders.ticket(running_on=ids.BackendServerId("s0"))
    found.enqueue(running, builders.instant(0))
    waiting, outgoing = enqueue(found, 0.1, remaining=60.0)
    assert granted_names(outgoing) == []
    for second in (1, 2, 3):
        found.enqueue(waiting, builders.instant(second))
    freed = found.tick(builders.instant(scheduler.REFRESH_TIMEOUT + 0.1))
    assert granted_names(freed) == ["s0"]


def test_a_lost_entrys_slots_are_free_at_once():
    found = opened("s0")
    enqueue(found, entry=ids.InstanceId("lost"))
    enqueue(found, entry=ids.InstanceId("lost"), remaining=60.0)
    kept, _ = enqueue(found, remaining=60.0)
    freed = found.lose_entry(ids.InstanceId("lost"), builders.instant(0.1))
    assert [g.ticket_id for g in builders.granted(freed)] == [kept.ticket_id]


def test_speeds_are_learnt_from_the_first_completion():
    found = opened("s0", slots=4)
    (grant,) = builders.granted(enqueue(found, prompt_tokens=4000)[1])
    progress = messages.Progress(
        ticket_id=grant.ticket_id, cell=builders.CELL, first_token_seconds=0.43
    )
    found.progress(progress, builders.instant(0.43))
    view = found.views.servers["s0"]
    assert (
        abs(view.first_seconds(builders.ticket(prompt_tokens=4000), 0.0) - 0.43) < 1e-3
    )


def test_a_very_fast_prefill_does_not_break_predictions():
    """Guards against divisions by zero, after which no ticket is answered.

    An engine's first completion is of a short prompt and takes less than the base
    time, from which a rate of 0 s per prompt token must not be learnt.
    """
    found = opened(slots=2)
    first, outgoing = enqueue(found, prompt_tokens=300)
    progress = messages.Progress(
        ticket_id=first.ticket_id, cell=builders.CELL, first_token_seconds=0.01
    )
    found.progress(progress, builders.instant(0.01))
    found.done(builders.done(builders.granted(outgoing)[0]), builders.instant(0.1))
    enqueue(found, 0.2, prompt_tokens=1000)
    _, outgoing = enqueue(found, 0.3, prompt_tokens=1000)
    assert granted_names(outgoing) == ["s0"]


def test_a_takeover_does_not_count_as_arrivals():
    """Guards against refusals of low ranks after a dispatcher's death.

    The next in rank receives all waiting tickets at once. If they counted as arrivals,
    a high arrival rate would be assumed, and requests would get 503 for a second or two
    though slots are free.
    """
    found = opened(slots=4)
    for _ in range(40):
        enqueue(found, waited=0.5, remaining=60.0)
    assert found.inflow.load_above(2, builders.instant(0)) == 0.0
    enqueue(found, remaining=60.0)
    assert found.inflow.load_above(2, builders.instant(0)) > 0.0


def test_without_any_server_a_ticket_waits_until_its_deadline():
    found = goal.GoalScheduler()
    found.configure(builders.cell(), builders.instant(0))
    _, outgoing = enqueue(found, remaining=1.0)
    assert builders.refused(outgoing) == []
    over = found.tick(builders.instant(1.0 - waitingline.MARGIN / 2))
    assert len(builders.refused(over)) == 1


def first_of(found: goal.GoalScheduler, at: float) -> messages.Grant:
    """Return the grant of a long prompt's ticket."""
    _, outgoing = enqueue(found, at, prompt_tokens=4000, goal=5.0)
    (grant,) = builders.granted(outgoing)
    return grant


def test_entries_wait_longer_for_unmeasured_servers():
    """Guards against duplicate prefill in the seconds after all instances were killed.

    A new dispatcher grants a slot of a slow server, whose first event takes more than
    four times the initial estimate, which is that of a fast server. The entry must not
    resend the request to a second server in that time.
    """
    found = opened(slots=2)
    grant = first_of(found, 0.0)
    run = found.views.server_by_ticket[grant.ticket_id].runs[grant.ticket_id]
    # An engine of a fifth of the initial speed, with a prompt before this one.
    assert grant.first_seconds * exchange.SILENCE_FACTOR > 2 * 5 * run.first
    progress = messages.Progress(
        ticket_id=grant.ticket_id, cell=builders.CELL, first_token_seconds=run.first
    )
    found.progress(progress, builders.instant(run.first))
    known = first_of(found, 1.0)
    run = found.views.server_by_ticket[known.ticket_id].runs[known.ticket_id]
    assert known.first_seconds == run.first


def test_among_equal_servers_the_near_one_is_chosen():
    """Guards against needless traffic between data centres.

    With free and equally fast engines in three data centres, a choice by time alone
    sends two thirds of all prompts to another data centre.
    """
    found = goal.GoalScheduler()
    servers = [
        builders.server(f"s-{place}", slots=2, data_centre=place)
        for place in ("dc-1", "dc-2", "dc-3")
    ]
    found.configure(builders.cell(*servers), builders.instant(0))
    for place in ("dc-3", "dc-2", "dc-1", "dc-2"):
        near = ids.DataCentreId(place)
        _, outgoing = enqueue(found, data_centre=near, prompt_tokens=0)
        assert granted_names(outgoing) == [f"s-{place}"]


def test_a_remote_server_is_chosen_if_it_ends_much_sooner():
    found = goal.GoalScheduler()
    servers = [
        builders.server(f"s-{place}", data_centre=place) for place in ("dc-1", "dc-2")
    ]
    found.configure(builders.cell(*servers), builders.instant(0))
    found.views.servers[ids.BackendServerId("s-dc-1")].call_seconds = 0.5
    near = ids.DataCentreId("dc-1")
    _, outgoing = enqueue(found, data_centre=near, prompt_tokens=0)
    assert granted_names(outgoing) == ["s-dc-2"]
