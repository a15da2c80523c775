"""Runs of requests that may crash their server, by the goal scheduler."""

from __future__ import annotations

from tealcove import ids
from tealcove.dispatch import exposure, goal, messages, suspicion
from tealcove.dispatch.tests import builders

BAD, COMMON = ids.PartId("bad"), ids.PartId("common")
START = builders.instant(0.0)


class ListedSuspicion(suspicion.NoSuspicion):
    """Suspects the parts that it is told."""

    def __init__(self) -> None:
        self.suspected: set[str] = set()
        self.isolated: set[str] = set()
        self.quarantined: set[str] = set()
        self.undecided: set[str] = set()
        self.answers: list[messages.Ticket] = []

    def suspects(self, ticket: messages.Ticket, now: ids.Instant) -> suspicion.Suspects:
        keys = tuple(p for p in ticket.parts if p in self.suspected | self.isolated)
        must_wait = not self.undecided.isdisjoint(ticket.parts)
        is_isolated = not self.isolated.isdisjoint(keys)
        return suspicion.Suspects(keys, is_isolated, must_wait)

    def answered(
        self, ticket: messages.Ticket, began: ids.Instant, now: ids.Instant
    ) -> None:
        self.answers.append(ticket)

    def is_quarantined(self, ticket: messages.Ticket, now: ids.Instant) -> bool:
        return not self.quarantined.isdisjoint(ticket.parts)

    def judge(self, ticket: messages.Ticket, now: ids.Instant) -> bool:
        return self.is_quarantined(ticket, now)


def opened(*slots: int) -> tuple[goal.GoalScheduler, ListedSuspicion]:
    """Return a scheduler with servers of these slots, and what it suspects."""
    found = builders.goal_scheduler(*slots)
    listed = ListedSuspicion()
    found.use_suspicion(listed)
    return found, listed


def enqueue(
    found: goal.GoalScheduler, *parts: ids.PartId, now: ids.Instant = START
) -> list[messages.Grant]:
    """Queue a ticket with some parts; return what is granted."""
    ticket = builders.ticket(parts=parts, remaining=60.0)
    return builders.granted(found.enqueue(ticket, now))


def end(
    found: goal.GoalScheduler, grant: messages.Grant, seconds: float = 0.5
) -> list[messages.Grant]:
    """End a granted ticket; return what is granted then."""
    done = builders.done(grant, is_success=True)
    return builders.granted(found.done(done, builders.instant(seconds)))


def test_requests_with_a_suspected_part_run_one_after_the_other() -> None:
    """Guards against many crashes before the first one tells anything."""
    found, listed = opened(4, 4)
    listed.suspected.add(BAD)
    (first,) = enqueue(found, BAD)
    assert enqueue(found, BAD) == []
    assert len(enqueue(found, COMMON)) == 1
    assert len(end(found, first)) == 1


def test_a_request_that_is_being_answered_lets_the_next_one_run() -> None:
    """Guards against a route that waits for one long answer after another."""
    found, listed = opened(4)
    listed.suspected.add(COMMON)
    (first,) = enqueue(found, COMMON)
    assert enqueue(found, COMMON) == []
    progress = messages.Progress(
        ticket_id=first.ticket_id, cell=builders.CELL, first_token_seconds=0.1
    )
    found.progress(progress, builders.instant(0.1))
    assert builders.granted(found.tick(builders.instant(0.3))) == []
    later = builders.instant(2 * suspicion.WRITING_SECONDS)
    assert len(builders.granted(found.tick(later))) == 1


def test_requests_with_fewer_suspected_parts_run_first() -> None:
    """Guards against crashes that accuse the same parts again and again."""
    found, listed = opened(4)
    (blocker,) = enqueue(found, COMMON)
    listed.suspected.update((BAD, COMMON))
    enqueue(found, COMMON, BAD)
    enqueue(found, COMMON)
    (granted,) = end(found, blocker)
    run = found.views.servers["s0"].runs[granted.ticket_id]
    assert run.ticket.parts == (COMMON,)


def test_a_strongly_suspected_request_runs_alone() -> None:
    """Guards against sound requests that are lost with a suspected one."""
    found, listed = opened(2, 2)
    busy = [enqueue(found, COMMON)[0] for _ in range(2)]
    listed.isolated.add(BAD)
    assert enqueue(found, BAD) == []
    kept = found.suspect_runs.reserved.name
    shared = [*enqueue(found, COMMON), *enqueue(found, COMMON)]
    assert kept not in {grant.server for grant in shared}
    assert enqueue(found, COMMON) == []
    granted = [one for grant in busy for one in end(found, grant)]
    (alone,) = [grant for grant in granted if grant.server == kept]
    assert alone.alone
    assert len(found.views.servers[kept].runs) == 1
    assert any(grant.server == kept for grant in end(found, alone, 1.0))


def test_a_server_is_not_kept_for_a_request_that_is_gone() -> None:
    """Guards against a server that stays idle for good."""
    found, listed = opened(2)
    (busy,) = enqueue(found, COMMON)
    listed.isolated.add(BAD)
    ticket = builders.ticket(parts=(BAD,), remaining=60.0)
    found.enqueue(ticket, START)
    assert enqueue(found, COMMON) == []
    found.withdraw(ticket.ticket_id, START)
    assert len(found.views.servers["s0"].runs) == 2
    assert end(found, busy) == []


def test_a_server_that_is_gone_is_not_kept() -> None:
    found, listed = opened(2, 2)
    for _ in range(2):
        enqueue(found, COMMON)
    listed.isolated.add(BAD)
    enqueue(found, BAD)
    kept = found.suspect_runs.reserved.name
    left = [s.spec for s in found.views.servers.values() if s.name != kept]
    found.configure(builders.cell(*left), builders.instant(0.1))
    assert found.suspect_runs.reserved is None or (
        found.suspect_runs.reserved.name != kept
    )


def test_waiting_requests_are_refused_as_soon_as_their_part_is_convicted() -> None:
    """Guards against crashes by requests that were queued before the conviction."""
    found, listed = opened(1)
    enqueue(found, COMMON)
    enqueue(found, BAD)
    kept = builders.ticket(parts=(COMMON,), remaining=60.0)
    found.enqueue(kept, START)
    listed.quarantined.add(BAD)
    listed.version += 1
    refused = builders.refused(found.tick(builders.instant(0.1)))
    assert [one.reason for one in refused] == [messages.RefusalReason.QUARANTINED]
    assert list(found.line) == [kept.ticket_id]


def test_an_undecided_request_waits_and_others_pass_it() -> None:
    """Guards against one more crash while answers of others are about to decide."""
    found, listed = opened(2)
    listed.undecided.add(BAD)
    assert enqueue(found, BAD) == []
    assert len(enqueue(found, COMMON)) == 1
    listed.undecided.clear()
    assert len(builders.granted(found.tick(builders.instant(0.1)))) == 1


def test_an_answer_that_is_being_written_acquits_before_its_end() -> None:
    """Guards against sound requests that wait for the ends of long answers."""
    found, listed = opened(2)
    (grant,) = enqueue(found, COMMON)
    progress = messages.Progress(
        ticket_id=grant.ticket_id, cell=builders.CELL, first_token_seconds=0.1
    )
    found.progress(progress, builders.instant(0.1))
    found.tick(builders.instant(0.3))
    assert listed.answers == []
    for seconds in (0.7, 0.9):
        found.tick(builders.instant(seconds))
    assert [ticket.parts for ticket in listed.answers] == [(COMMON,)]


class RecordingExposure(exposure.AnyVersion):
    """Counts the ends of requests that it is told."""

    def __init__(self) -> None:
        self.ends = 0

    def record_end(self, *arguments: object) -> None:
        self.ends += 1


def test_crashes_by_a_convicted_part_say_nothing_of_a_version() -> None:
    """Guards against rolling a version back for requests that crash any server."""
    found, listed = opened(4)
    told = RecordingExposure()
    found.use_exposure(told)
    grants = [*enqueue(found, BAD), *enqueue(found, COMMON)]
    listed.quarantined.add(BAD)
    for grant in grants:
        crashed = builders.done(grant, outcome=messages.Outcome.CRASHED)
        found.done(crashed, builders.instant(0.5))
    assert told.ends == 1


def test_a_grant_that_is_sent_again_is_the_same() -> None:
    found, listed = opened(1)
    listed.isolated.add(BAD)
    ticket = builders.ticket(parts=(BAD,), remaining=60.0)
    (first,) = builders.granted(found.enqueue(ticket, START))
    (again,) = builders.granted(found.enqueue(ticket, builders.instant(0.1)))
    assert first.alone
    assert again == first
