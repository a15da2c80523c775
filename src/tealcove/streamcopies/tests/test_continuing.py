"""Tests of grants to streams that go on from their copy."""

from __future__ import annotations

import pytest

from tealcove import ids
from tealcove.dispatch import goal, messages, suspicion
from tealcove.dispatch.tests import builders
from tealcove.streamcopies.tests import builders as copies

NOW = builders.instant(0.0)
COPY_AT = ids.BackendServerId("s1")


class Suspecting(suspicion.NoSuspicion):
    """Suspects all requests alike."""

    def __init__(self, found: suspicion.Suspects) -> None:
        self.found = found

    def suspects(self, ticket: messages.Ticket, now: ids.Instant) -> suspicion.Suspects:
        """See Suspicion."""
        return self.found


def full(slots: int = 1) -> goal.GoalScheduler:
    """Return a scheduler whose two servers have no free slot, and a line."""
    found = copies.scheduler(*(builders.server(f"s{n}", slots) for n in range(2)))
    for _ in range(2 * slots):
        assert copies.granted(found, copies.stream()) is not None
    assert copies.granted(found, copies.stream()) is None
    return found


def continuing(**changes: object) -> messages.Ticket:
    """Return the ticket of a stream whose copy is at s1."""
    return copies.stream(wants_copy=False, copy_at=COPY_AT, **changes)


def test_the_server_with_the_copy_is_granted_though_it_is_full() -> None:
    """Guards against callers that wait for a slot longer than a pause may take."""
    found = full()
    grant = copies.granted(found, continuing())
    assert (grant.server, grant.copy_server) == (COPY_AT, None)
    assert copies.view(found, "s1").free_slots(NOW) < 0


def test_no_slot_is_free_until_the_stream_has_ended_too() -> None:
    """Guards against servers that are filled beyond their slots for good."""
    found = full()
    grant = copies.granted(found, continuing())
    ended = found.done(builders.done(grant), builders.instant(0.1))
    assert builders.granted(ended) == []


def test_a_new_dispatcher_grants_it_before_it_knows_the_running_requests() -> None:
    """Guards against streams that are late since their dispatcher has died."""
    found = copies.scheduler(*(builders.server(f"s{n}") for n in range(2)))
    found.gather(builders.instant(1.0))
    assert copies.granted(found, copies.stream()) is None
    assert copies.granted(found, continuing()).server == COPY_AT


def test_no_other_server_is_granted() -> None:
    """Guards against a second run of a request that may run only once."""
    found = copies.scheduler(builders.server("s0"), builders.server("s2"))
    outgoing = found.enqueue(continuing(), NOW)
    assert builders.granted(outgoing) == []
    (refusal,) = builders.refused(outgoing)
    assert refusal.reason is messages.RefusalReason.NO_BACKEND_SERVER
    assert found.line == {}


def test_a_suspected_request_does_not_go_on() -> None:
    """Guards against a request that crashes the server with its copy as well."""
    found = copies.scheduler(*(builders.server(f"s{n}") for n in range(2)))
    found.use_suspicion(Suspecting(suspicion.Suspects(("part",), must_run_alone=True)))
    outgoing = found.enqueue(continuing(), NOW)
    assert builders.granted(outgoing) == []
    assert len(builders.refused(outgoing)) == 1


def test_a_request_whose_suspicion_is_undecided_waits() -> None:
    """Guards against many crashes by requests with one part."""
    found = copies.scheduler(*(builders.server(f"s{n}") for n in range(2)))
    found.use_suspicion(Suspecting(suspicion.Suspects(("part",), must_wait=True)))
    ticket = continuing()
    assert copies.granted(found, ticket) is None
    found.use_suspicion(suspicion.NoSuspicion())
    (grant,) = builders.granted(found.tick(builders.instant(0.2)))
    assert (grant.ticket_id, grant.server) == (ticket.ticket_id, COPY_AT)


@pytest.mark.parametrize("seconds", [0.001, 5.0])
def test_its_times_teach_nothing_of_the_server(seconds: float) -> None:
    """Guards against predictions by runs that read no prompt."""
    found = copies.scheduler(*(builders.server(f"s{n}") for n in range(2)))
    grant = copies.granted(found, continuing())
    view = copies.view(found, "s1")
    before = (view.prefill.rate, view.token_seconds)
    progress = messages.Progress(
        ticket_id=grant.ticket_id, cell=grant.cell, first_token_seconds=seconds
    )
    found.progress(progress, builders.instant(seconds))
    found.done(builders.done(grant), builders.instant(10.0))
    assert (view.prefill.rate, view.token_seconds) == before
