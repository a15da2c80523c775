"""The goal scheduler: rank, goals, refusals, failing servers, takeover."""

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
    """Under overload every request is late.

    Symptom: all first events come after the goal though half of them could be in
    time. Sequence: more requests come than fit; the oldest is served first, each a
    little late. Cause: requests whose goal is missed go on being first in line.
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
    """Let the one server be at its next start."""
    servers = builders.server("s0", 1, start=ids.ServerStart(2))
    return found.configure(builders.cell(servers), builders.instant(at))


def test_a_server_that_started_again_runs_nothing_of_before():
    """A server that was restarted under its name stays without work.

    Symptom: its slots are taken while it's idle. Sequence: it dies without closing
    its connections and starts again under the same name; the entries still wait for
    the answers of its old start, and go on telling of them. Cause: the name alone is
    taken for the server, so that its old runs hold slots of the new start.
    """
    found = opened()
    old, out = enqueue(found, remaining=60.0)
    (grant,) = builders.granted(out)
    waiting, _ = enqueue(found, 0.1, remaining=60.0)
    (next_one,) = builders.granted(restarted(found, 1))
    assert next_one.ticket_id == waiting.ticket_id
    assert (grant.start, next_one.start) == (0, 2)
    told = msgspec.structs.replace(old, running_on=grant.server)
    assert found.enqueue(told, builders.instant(1.1)) == []
    assert list(found.views.server_by_ticket) == [waiting.ticket_id]
    now = msgspec.structs.replace(
        waiting, running_on=grant.server, running_start=next_one.start
    )
    assert found.enqueue(now, builders.instant(1.2)) == []
    assert list(found.views.server_by_ticket) == [waiting.ticket_id]


def test_what_became_of_the_old_start_says_nothing_of_the_new_one():
    """A server that has just started again gets little work.

    Symptom: it counts as failing or out of reach from its start on. Sequence: it
    dies, and its entry with the new start reaches the dispatcher before the entries'
    word that their requests broke off. Cause: that word is put down to the new start.
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
    """The same, but the word that the requests broke off comes first."""
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


def test_a_goal_that_is_missed_here_and_met_elsewhere_is_waited_for():
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


def test_a_server_that_hangs_gets_nothing_more():
    found = opened("s0", slots=4)
    enqueue(found, remaining=60.0)
    assert granted_names(enqueue(found, 5.0, remaining=60.0)[1]) == []


def test_a_server_that_loses_single_answers_goes_on_getting_work():
    """Most servers stand idle while first events come five times later.

    Symptom: few requests are served by few servers. Sequence: a server loses three
    answers in ten and serves all others well. Cause: it gets nothing while any of
    its runs is overdue.
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


def test_slots_that_nobody_tells_of_are_free_after_a_takeover():
    """A successor serves a part of what could be served.

    Symptom: after a dispatcher's death two thirds of the work for many seconds.
    Sequence: entries tell the successor of running requests; some of these entries
    die too, or their requests end unseen. Cause: slots of requests that nobody
    tells of are kept for 8 s.
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


def test_a_prompt_that_is_read_at_once_does_not_end_all_decisions():
    """A dispatcher answers no ticket any more.

    Symptom: tickets to one dispatcher aren't answered, its log has divisions by zero.
    Sequence: an engine's first completion is of a short prompt, and takes less than
    the time taken for granted. Cause: 0 s for each prompt token was learnt.
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


def test_a_takeover_does_not_look_like_a_rush():
    """Requests of low ranks are refused after a dispatcher's death.

    Symptom: 503 for a second or two though there is room. Sequence: the next in rank
    gets all waiting tickets within a moment. Cause: they counted as arrivals, as if
    as many came in every moment.
    """
    found = opened(slots=4)
    for _ in range(40):
        enqueue(found, waited=0.5, remaining=60.0)
    assert found.inflow.load_above(2, builders.instant(0)) == 0.0
    enqueue(found, remaining=60.0)
    assert found.inflow.load_above(2, builders.instant(0)) > 0.0


def test_without_any_server_a_ticket_waits_until_its_time_is_over():
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


def test_entries_wait_longer_for_servers_of_which_nothing_is_known():
    """Prompts are read twice in the seconds after everything was killed.

    Symptom: requests are sent to a second server although the first works on them.
    Sequence: a new dispatcher grants a slot of a slow server; the first event doesn't
    come within four times what it told. Cause: that was a guess, made for fast servers.
    """
    found = opened(slots=2)
    grant = first_of(found, 0.0)
    run = found.views.server_by_ticket[grant.ticket_id].runs[grant.ticket_id]
    # An engine of a fifth of the speed that is guessed, with a prompt before this one.
    assert grant.first_seconds * exchange.SILENCE_FACTOR > 2 * 5 * run.first
    progress = messages.Progress(
        ticket_id=grant.ticket_id, cell=builders.CELL, first_token_seconds=run.first
    )
    found.progress(progress, builders.instant(run.first))
    known = first_of(found, 1.0)
    run = found.views.server_by_ticket[known.ticket_id].runs[known.ticket_id]
    assert known.first_seconds == run.first


def test_of_servers_alike_the_near_one_is_taken():
    """Prompts cross between data centres although engines beside them are free.

    Symptom: two thirds of all prompts and answers go to another data centre. Sequence:
    engines of three data centres are free and equally fast. Cause: the choice goes by
    time alone, and between equals by their order.
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


def test_a_far_server_is_taken_that_ends_much_sooner():
    found = goal.GoalScheduler()
    servers = [
        builders.server(f"s-{place}", data_centre=place) for place in ("dc-1", "dc-2")
    ]
    found.configure(builders.cell(*servers), builders.instant(0))
    found.views.servers[ids.BackendServerId("s-dc-1")].call_seconds = 0.5
    near = ids.DataCentreId("dc-1")
    _, outgoing = enqueue(found, data_centre=near, prompt_tokens=0)
    assert granted_names(outgoing) == ["s-dc-2"]
