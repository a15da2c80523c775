"""A stateful test of the scheduler's invariants under any sequence of events."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tealcove import ids
from tealcove.dispatch import messages, scheduler, servers
from tealcove.dispatch.tests import builders

RANKS = (0, 1, 2)
# Slack in seconds from which there is time to free a slot for a ticket.
SLACK = 1.0
LONGEST = 10.0


class SchedulerMachine(stateful.RuleBasedStateMachine):
    """Compares the scheduler to a model built from its messages to the entries."""

    @stateful.initialize(slots=st.lists(st.integers(1, 4), min_size=1, max_size=3))
    def open(self, slots: list[int]) -> None:
        self.now = builders.instant(1.0)
        self.specs = [builders.server(f"s{n}", slots=s) for n, s in enumerate(slots)]
        self.scheduler = builders.opened(*self.specs)
        self.slots = {spec.name: spec.slots for spec in self.specs}
        self.tickets: dict[ids.TicketId, messages.Ticket] = {}
        self.waiting: set[ids.TicketId] = set()
        self.running: dict[ids.TicketId, messages.Grant] = {}
        self.unreachable: set[str] = set()
        self.preempted: set[ids.TicketId] = set()
        self.ended: set[ids.TicketId] = set()

    def apply(self, outgoing: list[scheduler.Outgoing]) -> None:
        for out in outgoing:
            message = out.message
            if isinstance(message, messages.Grant):
                self.apply_grant(message)
            elif isinstance(message, messages.Refusal):
                self.apply_refusal(message)
            elif isinstance(message, messages.Preempt):
                self.apply_preempt(message)

    def apply_grant(self, grant: messages.Grant) -> None:
        assert grant.ticket_id in self.waiting, "granted twice, or after its end"
        self.waiting.remove(grant.ticket_id)
        self.running[grant.ticket_id] = grant
        held = [g for g in self.running.values() if g.server == grant.server]
        assert len(held) <= self.slots[grant.server]

    def apply_refusal(self, refusal: messages.Refusal) -> None:
        assert refusal.ticket_id in self.waiting
        self.waiting.remove(refusal.ticket_id)
        self.ended.add(refusal.ticket_id)
        assert refusal.retry_after > 0
        if refusal.reason is messages.RefusalReason.OVERLOAD:
            rank = self.tickets[refusal.ticket_id].tier_rank
            live = [*self.waiting, *self.running]
            assert all(self.tickets[t].tier_rank <= rank for t in live)
        if refusal.reason is messages.RefusalReason.DEADLINE:
            self.check_nothing_to_preempt(self.tickets[refusal.ticket_id])

    def check_nothing_to_preempt(self, ticket: messages.Ticket) -> None:
        """Assert that no preemptible request of a lower tier still runs."""
        may_preempt = ticket.idempotent or ticket.tier_rank == 0
        if ticket.remaining < SLACK + ticket.output_tokens * 0.013 or not may_preempt:
            return
        states = self.scheduler.state.fleet.servers
        for ticket_id, grant in self.running.items():
            lower = self.tickets[ticket_id]
            if states[grant.server].pace is not servers.Pace.NORMAL:
                # Late requests show that the server is too slow for the ticket.
                continue
            if lower.tier_rank > ticket.tier_rank and lower.idempotent:
                assert ticket_id in self.preempted or grant.server in self.unreachable

    def apply_preempt(self, preempt: messages.Preempt) -> None:
        assert preempt.ticket_id in self.running
        assert preempt.ticket_id not in self.preempted
        victim = self.tickets[preempt.ticket_id]
        assert victim.idempotent
        assert any(self.tickets[t].tier_rank < victim.tier_rank for t in self.waiting)
        self.preempted.add(preempt.ticket_id)

    @stateful.rule(
        rank=st.sampled_from(RANKS),
        account=st.integers(0, 2),
        idempotent=st.booleans(),
        output=st.sampled_from((1, 20, 100, 1000)),
        remaining=st.floats(0.0, LONGEST),
    )
    def enqueue(
        self, rank: int, account: int, idempotent: bool, output: int, remaining: float
    ) -> None:
        # Deterministic ids, so that hypothesis can draw the same ones in a replay.
        number = len(self.tickets)
        ticket = builders.ticket(
            ticket_id=ids.TicketId(f"tkt-{number:04}"),
            tier_rank=rank,
            account=f"account-{account}",
            idempotent=idempotent,
            output_tokens=output,
            remaining=remaining,
        )
        self.tickets[ticket.ticket_id] = ticket
        self.waiting.add(ticket.ticket_id)
        told = self.scheduler.enqueue(ticket, self.now)
        # Without an answer the entry would consider the dispatcher lost.
        assert ticket.ticket_id in [out.message.ticket_id for out in told]
        self.apply(told)

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(data=st.data())
    def withdraw(self, data: st.DataObject) -> None:
        ticket_id = data.draw(st.sampled_from(sorted(self.waiting)))
        self.waiting.remove(ticket_id)
        self.ended.add(ticket_id)
        self.apply(self.scheduler.withdraw(ticket_id, self.now))

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=st.data(), outcome=st.sampled_from(messages.Outcome))
    def end(self, data: st.DataObject, outcome: messages.Outcome) -> None:
        ticket_id = data.draw(st.sampled_from(sorted(self.running)))
        self.finish(ticket_id, outcome)

    def finish(self, ticket_id: ids.TicketId, outcome: messages.Outcome) -> None:
        grant = self.running.pop(ticket_id)
        self.preempted.discard(ticket_id)
        self.ended.add(ticket_id)
        if outcome in (messages.Outcome.NOT_SENT, messages.Outcome.CRASHED):
            self.unreachable.add(grant.server)
        done = builders.done(grant, outcome=outcome)
        self.apply(self.scheduler.done(done, self.now))

    @stateful.rule(seconds=st.sampled_from((0.01, 0.1, 0.3, 2.0)))
    def pass_time(self, seconds: float) -> None:
        """Advance time in ticks; entries cancel the requests that are preempted."""
        for _ in range(int(seconds / 0.05) + 1):
            self.now = ids.Instant(self.now + 0.05)
            self.repeat_tickets()
            self.apply(self.scheduler.tick(self.now))
            for ticket_id in sorted(self.preempted):
                self.finish(ticket_id, messages.Outcome.CANCELLED)

    def repeat_tickets(self) -> None:
        """Send all tickets again, as entries do; the answers must be the same."""
        for ticket_id, grant in self.running.items():
            repeated = self.scheduler.enqueue(self.tickets[ticket_id], self.now)
            assert [o.message for o in repeated] == [grant]
        for ticket_id in self.waiting:
            repeated = self.scheduler.enqueue(self.tickets[ticket_id], self.now)
            assert [type(o.message) for o in repeated] == [messages.Queued]

    @stateful.rule(index=st.integers(0, 2), reachable=st.booleans())
    def report(self, index: int, reachable: bool) -> None:
        name = self.specs[index % len(self.specs)].name
        load = builders.load(0) if reachable else None
        self.unreachable.discard(name)
        if not reachable:
            self.unreachable.add(name)
        self.apply(self.scheduler.report(name, load, self.now))

    @stateful.invariant()
    def model_agrees_with_scheduler(self) -> None:
        state = self.scheduler.state
        assert set(state.queue.tickets) == self.waiting
        assert set(state.fleet.server_of_ticket) == set(self.running)
        assert not self.waiting & self.ended

    def teardown(self) -> None:
        """Assert that every ticket ends even if no slot becomes free any more."""
        if not hasattr(self, "now"):
            return
        self.pass_time(LONGEST + SLACK)
        assert not self.waiting


TestScheduler = SchedulerMachine.TestCase
TestScheduler.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=40, deadline=None, derandomize=True
)
