"""Marks between instances, and what a scheduler does by them."""

from __future__ import annotations

from tealcove import clock, ids
from tealcove.dispatch import fair, messages
from tealcove.dispatch.tests import builders as dispatch_builders
from tealcove.membership import members
from tealcove.membership import messages as membership_messages
from tealcove.quarantine import marks, role
from tealcove.quarantine import messages as quarantine_messages
from tealcove.quarantine.tests import builders

D = builders.DIGEST
QUARANTINED = messages.RefusalReason.QUARANTINED
# The roles read the clock themselves, so the tests start from it.
EARLY = clock.now()


class Beating:
    """Stands in for the heart: takes listeners."""

    def __init__(self) -> None:
        self.listeners: list[object] = []


class Sent:
    """Stands in for a mesh: keeps what is sent."""

    def __init__(self) -> None:
        self.messages: list[quarantine_messages.MarksChanged] = []

    def send(self, peer: object, sent: quarantine_messages.MarksChanged) -> bool:
        """Keep a message."""
        self.messages.append(sent)
        return True


def new_quarantine(name: str) -> tuple[role.Quarantine, Sent]:
    own = membership_messages.Heartbeat(
        instance=ids.InstanceId(name),
        incarnation=ids.Incarnation(name),
        lifecycle=membership_messages.Lifecycle.SERVING,
        data_centre=ids.DataCentreId("dc"),
        host="127.0.0.1",
        http_port=1,
        peer_host="127.0.0.1",
        peer_port=2,
        revision=ids.Revision(1),
    )
    sent = Sent()
    known = members.Members(own, suspect_after=1.0, forget_after=10.0)
    found = role.Quarantine(sent, known, Beating(), None, builders.SECONDS)
    return found, sent


def test_an_instance_that_missed_every_message_learns_by_heartbeat() -> None:
    """An instance that runs what all others refuse.

    Symptom: a quarantined request runs at one entry. Sequence: that entry was
    frozen or started later, and got none of the messages about the crashes.
    Cause: marks are told only when they change.
    """
    one, sent = new_quarantine("one")
    two, _ = new_quarantine("two")
    for number in range(2):
        ticket = dispatch_builders.ticket(digest=D)
        server = ids.BackendServerId(f"s{number}")
        one.lost(ticket, server, False, EARLY)
    one.sharer.compare(two.sharer.members.own)
    assert len(sent.messages) == 1
    two.sharer.take(ids.InstanceId("one"), sent.messages[0])
    assert two.marks.verdict(D, EARLY) is marks.Verdict.QUARANTINED
    one.sharer.next_sync = ids.Instant(0.0)
    one.sharer.compare(two.sharer.members.own)
    assert len(sent.messages) == 1


def test_a_whole_run_alone_clears_and_one_beside_others_does_not() -> None:
    found, _ = new_quarantine("one")
    ticket = dispatch_builders.ticket(digest=D)
    found.lost(ticket, ids.BackendServerId("s1"), False, EARLY)
    again = dispatch_builders.ticket(digest=D)
    done = messages.Done(
        ticket_id=again.ticket_id,
        cell=again.cell,
        server=ids.BackendServerId("s2"),
        outcome=messages.Outcome.COMPLETED,
        prompt_tokens=1,
        cached_tokens=0,
        output_tokens=1,
        first_token_seconds=0.1,
        total_seconds=0.1,
    )
    found.ended(again, done, False, EARLY)
    assert found.marks.verdict(D, EARLY) is marks.Verdict.SUSPECT
    found.ended(again, done, True, EARLY)
    assert found.marks.verdict(D, EARLY) is marks.Verdict.CLEAR


def busy_scheduler() -> tuple[fair.FairScheduler, role.Quarantine]:
    """Return a cell of one full server, with a quarantine."""
    found, _ = new_quarantine("one")
    scheduler = fair.FairScheduler()
    scheduler.use_suspicion(found)
    server = dispatch_builders.server("s1", slots=1)
    scheduler.configure(dispatch_builders.cell(server, short_share=0.0), EARLY)
    scheduler.report(server.name, dispatch_builders.load(), EARLY)
    return scheduler, found


def test_copies_in_the_queue_are_refused_after_the_second_crash() -> None:
    """A third server lost.

    Symptom: a request that crashed two servers crashes a third. Sequence: copies
    of it wait in the queue while the first two run. Cause: a ticket is judged
    only when it comes.
    """
    scheduler, found = busy_scheduler()
    scheduler.enqueue(dispatch_builders.ticket(), EARLY)
    waiting = dispatch_builders.ticket(digest=D)
    scheduler.enqueue(waiting, EARLY)
    for number in range(2):
        lost = dispatch_builders.ticket(digest=D)
        found.lost(lost, ids.BackendServerId(f"x{number}"), False, EARLY)
    refused = dispatch_builders.messages_of(scheduler.tick(EARLY), messages.Refusal)
    assert [(r.ticket_id, r.reason) for r in refused] == [
        (waiting.ticket_id, QUARANTINED)
    ]


def test_a_crash_is_noticed_although_the_entry_died_with_it() -> None:
    """A request that kills its server and leaves no witness.

    Symptom: more than two servers die of one request. Sequence: its entry is
    killed while the server crashes, and the caller sends it elsewhere. Cause:
    nobody is left who saw the connection break.
    """
    scheduler, found = busy_scheduler()
    scheduler.enqueue(dispatch_builders.ticket(digest=D), EARLY)
    scheduler.lose_entry(dispatch_builders.ENTRY, EARLY)
    scheduler.report(ids.BackendServerId("s1"), None, EARLY)
    scheduler.tick(ids.Instant(EARLY + 0.5))
    assert found.marks.verdict(D, EARLY) is marks.Verdict.SUSPECT
