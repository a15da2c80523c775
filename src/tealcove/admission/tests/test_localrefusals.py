"""Refusals by entries: what they may refuse, what they report, and what it costs."""

from __future__ import annotations

import pytest

from tealcove import ids
from tealcove.admission import localrefusals, policy
from tealcove.admission.tests import builders
from tealcove.dispatch import messages, notices
from tealcove.dispatch.tests import builders as dispatching

ENTRIES = 63
SECONDS = 10.0
# Bytes a second for each instance.
MAX_BYTES = 1000
DISPATCHER = ids.InstanceId("i-0")
ENTRY = ids.InstanceId("entry-0")


def play_starved_tier(low_load: float, entries: int, returns: int) -> builders.Play:
    """Play a lower tier for which a higher one leaves nothing."""
    found = dispatching.goal_scheduler(*builders.SERVERS)
    found.use_admission(policy.AdmitByGoal())
    play = builders.Play(found, returns, entries=entries)
    play.add_poisson(1.2 * builders.CAPACITY, 0.0, SECONDS, 1, tier=0)
    play.add_poisson(low_load * builders.CAPACITY, 0.0, SECONDS, 2, tier=1)
    play.run(SECONDS + builders.REMAINING_SECONDS)
    return play


@pytest.mark.parametrize("low_load", [1.0, 3.0])
def test_entries_refuse_what_is_refused_entirely_at_little_cost(
    low_load: float,
) -> None:
    """Guards against a dispatcher that is busy with requests it can only refuse.

    Guards too against notices that cost a link more than the requests themselves, and
    that lie: nothing is refused while there is a free slot.
    """
    play = play_starved_tier(low_load, ENTRIES, 1)
    low = [one for one in play.requests if one.tier == 1]
    refused = sum(len(one.refusals) for one in low)
    local = sum(len(one.local) for one in low)
    # An entry with one such request a second is often told too late or too early.
    assert local > 0.15 * refused
    assert not any(one.had_free_slot for one in play.requests)
    assert not any(one.local for one in play.requests if one.tier == 0)
    assert max(play.bytes_by_second.values()) < MAX_BYTES * ENTRIES
    assert play.messages["AdmissionNotice"] <= 4 * (SECONDS + 1) * ENTRIES


def test_local_refusals_take_nothing_from_the_higher_tier() -> None:
    """Guards against refusals that the dispatcher wouldn't have made."""
    by_entries = play_starved_tier(1.0, ENTRIES, 0)
    by_dispatcher = play_starved_tier(1.0, 0, 0)
    assert by_entries.in_time() >= 0.99 * by_dispatcher.in_time()


def test_a_promised_return_is_not_refused_by_any_entry() -> None:
    """Guards against a promise that one entry gave and another one breaks."""
    play = play_starved_tier(1.0, ENTRIES, 1)
    returned = [one for one in play.requests if one.promised_at and one.tier == 1]
    broken = [
        one
        for one in returned
        if any(at > one.refusals[0][0] for at in one.local)
        and abs(one.promised_at - one.local[-1]) < 0.01
    ]
    assert returned
    assert not broken


def entry(promised_ms: tuple[int, ...] = (), unpromised: int = 0, **changes: object):
    """Return an entry that got a notice at 0."""
    found = dispatching.goal_scheduler(1)
    found.use_admission(policy.AdmitByGoal())
    play = builders.Play(found, entries=1)
    flow = notices.RefusedFlow(
        tier_rank=1,
        urgency=0,
        account=ids.AccountId("a"),
        slot_ms=500,
        promised_ms=promised_ms,
        unpromised=unpromised,
        **changes,
    )
    notice = notices.AdmissionNotice(cell=dispatching.CELL, flows=(flow,))
    local = play.entries[ENTRY].local
    local.handle_notice(DISPATCHER, notice, dispatching.instant(0.0))
    return play, local


def arrival(**changes: object) -> localrefusals.Arrival:
    found = {
        "request_id": ids.RequestId("r"),
        "cell": dispatching.CELL,
        "tier_rank": 1,
        "urgency": 0,
        "account": ids.AccountId("a"),
        "digest": "dd",
        "prompt_tokens": 100,
        "output_tokens": 100,
        "goal": 0.6,
        "caller_remaining": 6.0,
    }
    return localrefusals.Arrival(**{**found, **changes})


def test_an_entry_refuses_within_its_return_times_only() -> None:
    """Guards against more refusals, and other times, than the dispatcher planned."""
    _, local = entry(promised_ms=(900, 1300), unpromised=1)
    now = dispatching.instant(0.1)
    waits = [local.refuse(arrival(digest=f"d{number}"), now) for number in range(4)]
    assert waits == [pytest.approx(0.8), pytest.approx(1.2), pytest.approx(2.0), None]


def test_an_entry_promises_no_return_before_others_know_of_it() -> None:
    """Guards against a return that the dispatcher or another entry takes for new.

    The promise reaches the dispatcher with the next report, and other entries with the
    notice after it.
    """
    _, local = entry(promised_ms=(150, 500, 900))
    now = dispatching.instant(0.1)
    assert local.refuse(arrival(), now) == pytest.approx(0.8)
    assert local.refuse(arrival(digest="ee"), now) is None


def test_a_dispatcher_promises_no_return_before_entries_know_of_it() -> None:
    """Guards against an entry that refuses a return by an earlier notice."""
    chosen = policy.AdmitByGoal()
    found = dispatching.goal_scheduler(*builders.SERVERS)
    found.use_admission(chosen)
    now = dispatching.instant(0.1)
    chosen.observe(builders.SLOTS, found.inflow, now)
    ticket = dispatching.ticket(
        entry=ENTRY, takes_notices=True, goal=0.6, caller_remaining=6.0, digest="dd"
    )
    for _ in range(10):
        chosen.noticing.flows.record_refusal(ticket, False, now)
    assert chosen.notices(False, now)[ENTRY]
    later = dispatching.instant(0.15)
    refused = found.wait(ticket, later)
    assert chosen.retry_after(refused, 0.1, later) >= 0.1 + 0.4 - 0.15
    assert refused.attempt.promised_at is not None


def test_callers_who_wait_for_a_moment_only_are_refused_by_the_dispatcher() -> None:
    """Guards against refusals without a promise while the plan has room.

    An entry can't promise a return that is due within half a second.
    """
    chosen = policy.AdmitByGoal()
    for _ in range(10):
        ticket = dispatching.ticket(entry=ENTRY, takes_notices=True)
        flow = chosen.noticing.flows.record_refusal(
            ticket, False, dispatching.instant(0)
        )
        flow.slot_seconds, flow.period = 0.5, 0.5
    assert chosen.notices(False, dispatching.instant(0.1)) == {}


def test_a_return_time_beyond_a_third_of_the_callers_time_is_not_used() -> None:
    """Guards against promises of times for which the caller doesn't wait."""
    _, local = entry(promised_ms=(3000,))
    assert local.refuse(arrival(), dispatching.instant(0.1)) is None


def test_an_entry_refuses_few_a_second() -> None:
    """Guards against reports that take more than the messages of admission may."""
    play, local = entry(unpromised=1000)
    notice = notices.AdmissionNotice(
        cell=dispatching.CELL,
        flows=(
            notices.RefusedFlow(
                tier_rank=1,
                urgency=0,
                account=ids.AccountId("a"),
                slot_ms=500,
                promised_ms=(),
                unpromised=1000,
            ),
        ),
    )
    refused = 0
    for step in range(1000):
        now = dispatching.instant(step / 100)
        play.now = step / 100
        local.handle_notice(DISPATCHER, notice, now)
        refused += local.refuse(arrival(digest=f"{step:032x}"), now) is not None
    most = 11.0 * localrefusals.MAX_RATE
    assert 0.9 * most <= refused <= most


def test_a_stale_or_absent_notice_admits() -> None:
    """Guards against refusals for an overload that is over."""
    _, local = entry(unpromised=10)
    assert local.refuse(arrival(), dispatching.instant(0.29)) is not None
    assert local.refuse(arrival(), dispatching.instant(0.31)) is None
    other = arrival(cell=ids.CellId("engines/1"))
    assert local.refuse(other, dispatching.instant(0.1)) is None


def test_the_age_of_a_notice_counts() -> None:
    """Guards against a decision that is older than its notice."""
    _, local = entry(unpromised=10)
    (flow,) = (
        notices.RefusedFlow(
            tier_rank=1,
            urgency=0,
            account=ids.AccountId("a"),
            slot_ms=500,
            promised_ms=(),
            unpromised=10,
        ),
    )
    aged = notices.AdmissionNotice(cell=dispatching.CELL, flows=(flow,), age_ms=200)
    local.handle_notice(DISPATCHER, aged, dispatching.instant(1.0))
    assert local.refuse(arrival(), dispatching.instant(1.15)) is None


@pytest.mark.parametrize(
    "changes",
    [
        {"tier_rank": 0},
        {"urgency": 1},
        {"account": ids.AccountId("b")},
        {"goal": 0.0},
        {"caller_remaining": 0.0},
        {"digest": ""},
        {"resumes_stream": True},
    ],
)
def test_other_requests_are_admitted(changes: dict[str, object]) -> None:
    """Guards against refusals of what the notice doesn't name, and of streams."""
    _, local = entry(unpromised=10)
    assert local.refuse(arrival(**changes), dispatching.instant(0.1)) is None


def test_a_returning_request_is_admitted() -> None:
    """Guards against entries that refuse a return which the dispatcher awaits."""
    mark = notices.mark_of("dd")
    _, local = entry(unpromised=10, returning=(mark,))
    assert local.refuse(arrival(), dispatching.instant(0.1)) is None
    assert local.refuse(arrival(digest="ee"), dispatching.instant(0.1)) is not None


def test_refusals_are_reported_in_time_and_their_promises_hold() -> None:
    """Guards against demand and promises that the dispatcher doesn't know of.

    It would see less load than there is, and take the return for a late request.
    """
    play, local = entry(promised_ms=(900,))
    assert local.refuse(arrival(), dispatching.instant(0.1)) is not None
    play.now = 0.1
    play.run(0.1 + 0.25)
    assert play.messages["LocalRefusals"] == 1
    found = play.scheduler
    assert found.inflow.load_above(2, dispatching.instant(0.35)) > 0.0
    returned = dispatching.ticket(
        tier_rank=1, digest="dd", goal=0.6, caller_remaining=5.2, remaining=5.2
    )
    assert found.wait(returned, dispatching.instant(0.9)).keeps_promise


def test_an_entry_of_an_older_release_gets_no_notices() -> None:
    """Guards against messages that an instance can't read, four times a second."""
    chosen = policy.AdmitByGoal()
    for takes_notices in (False, True):
        for _ in range(10):
            ticket = dispatching.ticket(
                entry=ids.InstanceId(f"reads-{takes_notices}"),
                takes_notices=takes_notices,
            )
            chosen.noticing.flows.record_refusal(ticket, False, dispatching.instant(0))
    told = chosen.notices(False, dispatching.instant(0.1))
    assert list(told) == ["reads-True"]


def test_a_free_slot_withdraws_the_notices() -> None:
    """Guards against refusals by a notice that has been overtaken."""
    chosen = policy.AdmitByGoal()
    for _ in range(10):
        ticket = dispatching.ticket(entry=ENTRY, takes_notices=True)
        chosen.noticing.flows.record_refusal(ticket, False, dispatching.instant(0))
    assert chosen.notices(False, dispatching.instant(0.1))[ENTRY]
    assert chosen.notices(True, dispatching.instant(0.15)) == {ENTRY: []}
    assert chosen.notices(True, dispatching.instant(0.2)) == {}


def test_messages_of_another_release_are_read() -> None:
    """Guards against instances of two releases that can't read each other's tickets."""
    codec = builders.message.Codec()
    codec.register(messages.Ticket)
    codec.register(messages.Refusal)
    refusal = messages.Refusal(
        ticket_id=ids.TicketId("t"),
        reason=messages.RefusalReason.OVERLOAD,
        retry_after=1.0,
        promised_seconds=0.5,
    )
    for sent in (dispatching.ticket(takes_notices=True), refusal):
        older = builders.msgspec.msgpack.decode(codec.encode(sent))[:-1]
        read = codec.decode(builders.msgspec.msgpack.encode(older))
        assert type(read) is type(sent)
