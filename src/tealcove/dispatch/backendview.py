"""The goal scheduler's state of a backend server: slots, runs, speed, failures."""

from __future__ import annotations

import logbook
import msgspec

from tealcove import ids
from tealcove.dispatch import (
    messages,
    pauses,
    prefill,
    rejections,
    restrictions,
    serverload,
    warmup,
)
from tealcove.resources import kinds

log = logbook.Logger("dispatch")

# A server's speed before its first completions, in seconds: that of a fast engine,
# since a speed that is too slow would refuse work it could serve.
INITIAL_TOKEN_SECONDS = 0.006
INITIAL_CALL_SECONDS = 0.08
# Factor on the initial estimates that are sent to entries, since an unmeasured server
# may be so many times slower. With plain estimates, after all instances have ended at
# once, entries would resend requests that are still in prefill.
INITIAL_MARGIN = 4.0
# The weight of a new observation: two of them count for more than all before, so that
# a slowdown is noticed after two completions.
OBSERVATION_WEIGHT = 0.4
# Shorter outputs aren't used to learn the time per token.
MIN_OUTPUT_TOKENS = 8
# Weight of a new outcome in a server's failure rate.
FAILURE_WEIGHT = 0.15
# Seconds for which an unreachable server gets no requests; doubled up to the maximum
# while it stays unreachable. It's dropped from the list after some seconds anyway.
MIN_PAUSE = 0.3
MAX_PAUSE = 2.0
# A run is overdue after its predicted time times this factor, plus the grace period in
# seconds.
OVERDUE_FACTOR = 3.0
OVERDUE_GRACE = 0.4
# Consecutive failures after which a server only gets one request at a time.
FAILURES_TO_PROBE = 4
# Recent failure rate above which a server isn't waited for, preferred, or given copies.
MAX_FAILURES = 0.25


class Run(msgspec.Struct):
    """A ticket that holds a slot."""

    ticket: messages.Ticket
    started: ids.Instant
    # When its entry last sent its ticket.
    refreshed_at: ids.Instant
    # Prefill work before its first token, including other prompts; see
    # prefill.QuadraticCost.
    work: float = 0.0
    # Predicted seconds to the first token and to the end.
    first: float = 0.0
    total: float = 0.0
    # The same at the server's usual speed, and the seconds to the first token by the
    # load that the server states, whether or not it is trusted.
    usual_first: float = 0.0
    usual_total: float = 0.0
    stated_first: float = 0.0
    # Predicted seconds from the first token to the end, at the learned speed.
    stream_seconds: float = 0.0
    # See serverload.Load.work_at, at its start.
    work_at_start: float = 0.0
    # See serverload.Load.batch_area and progress_at, at the first token.
    area_at_first: float = 0.0
    progress_at_first: float | None = None
    has_first_token: bool = False
    # When it was received; None: not known here.
    first_token_at: ids.Instant | None = None
    # Whether the answer was noted as being written for a while.
    is_noted: bool = False
    # Granted by another dispatcher, or goes on from a copy: its timing isn't used for
    # learning.
    is_adopted: bool = False
    # The server that keeps a copy of it; None: there is none.
    copy_at: ids.BackendServerId | None = None

    def is_overdue(self, now: ids.Instant) -> bool:
        """Tell whether the run has far exceeded its predicted time."""
        expected = self.total if self.has_first_token else self.first
        return now - self.started > expected * OVERDUE_FACTOR + OVERDUE_GRACE


class BackendView:
    """State and speed estimates of one backend server."""

    def __init__(
        self,
        spec: kinds.BackendServerSpec,
        quadratic: prefill.QuadraticCost,
        load: serverload.Load = serverload.UNSTATED,
    ) -> None:
        self.name = ids.BackendServerId(spec.name)
        self.spec = spec
        self.runs: dict[ids.TicketId, Run] = {}
        self.prefill = prefill.Prefill(quadratic)
        # Seconds for each output token, and for a call.
        self.token_seconds = INITIAL_TOKEN_SECONDS
        self.call_seconds = INITIAL_CALL_SECONDS
        self.observations = 0
        # Recent failure rate of its requests.
        self.failures = 0.0
        self.failed_in_row = 0
        # When a run last produced a first token or completed.
        self.last_activity = ids.Instant(0.0)
        # Requests that have ended without an answer, while it was brittle.
        self.abandoned: list[Run] = []
        # When each entry last reported on one of its runs here.
        self.reported_at: dict[ids.InstanceId, ids.Instant] = {}
        self.pause = pauses.Pause(MIN_PAUSE, MAX_PAUSE)
        self.warmup = warmup.Warmup()
        # What its answers have stated.
        self.restrictions = restrictions.Restrictions(self.name)
        self.load = load

    def announced_first_seconds(self, run: Run) -> float:
        """Return the seconds to a run's first event that are sent to its entry."""
        return run.first if self.is_measured() else INITIAL_MARGIN * run.first

    @property
    def is_serving(self) -> bool:
        """Whether it takes requests, by the list of servers and its own answers."""
        return (
            self.spec.state is kinds.ServerState.SERVING
            and not self.restrictions.is_leaving
        )

    @property
    def is_leaving_unlisted(self) -> bool:
        """Whether it leaves by its own answers only."""
        is_listed = self.spec.state is kinds.ServerState.SERVING
        return is_listed and self.restrictions.is_leaving

    def is_measured(self) -> bool:
        """Tell whether its own speed was observed."""
        return self.observations > 0 or self.prefill.works > 0.0

    def is_available(self, now: ids.Instant) -> bool:
        """Tell whether it serves, and gets requests at present."""
        return self.is_serving and not self.pause.is_active(now)

    @property
    def is_failing(self) -> bool:
        """Whether many requests failed on it lately."""
        return self.failures > MAX_FAILURES

    @property
    def is_probed(self) -> bool:
        """Whether it gets one request at a time, after failures."""
        return self.failed_in_row >= FAILURES_TO_PROBE

    def free_slots(self, now: ids.Instant) -> int:
        """Return how many more requests it may receive now."""
        if not self.is_available(now):
            return 0
        slots = 1 if self.is_probed else self.open_slots(now)
        free = slots - len(self.runs)
        if free > 0 and self.restrictions.rate is not None:
            free = min(free, self.restrictions.rate.available(now))
        if free > 0:
            free = int(min(free, self.bearable(now), self.warmup.available(now)))
        # Checked last, since most servers are full when this is called most often.
        return 0 if free > 0 and self.hangs(now) else free

    def update(self, spec: kinds.BackendServerSpec, now: ids.Instant) -> None:
        """Apply its new entry in the list of servers."""
        if spec.cold_seconds != self.spec.cold_seconds:
            self.warmup.update(spec, now)
        self.spec = spec

    def record_grant(self, now: ids.Instant) -> None:
        """Count a granted request against its limits."""
        self.restrictions.record_grant(now)
        self.warmup.record_grant(now)

    def bearable(self, now: ids.Instant) -> float:
        """Return how many requests it may get that it would perhaps reject."""
        found = self.restrictions.rejections
        # Without a limit they needn't be counted.
        return found.bearable(0 if found.limit is None else self.unanswered(now), now)

    def unanswered(self, now: ids.Instant) -> int:
        """Return how many requests it may reject, and count, in its current window."""
        # A rejection of these won't be known any more, whatever the server answers.
        self.abandoned = [r for r in self.abandoned if not self.is_window_over(r, now)]
        running = sum(self.may_be_rejected(run, now) for run in self.runs.values())
        return running + len(self.abandoned)

    def may_be_rejected(self, run: Run, now: ids.Instant) -> bool:
        """Tell whether a request may add to the rejections that the server counts.

        It doesn't once it has a first token, once its server and its entry were both
        heard of long enough after its start, or once the server's window is over.
        Silence alone doesn't show that it runs: its rejection may be late.
        """
        if run.has_first_token and not run.is_adopted:
            return False
        if self.is_window_over(run, now):
            return False
        answer_seconds = self.restrictions.rejections.answer_seconds
        reported_at = self.reported_at.get(run.ticket.entry, run.started)
        heard_at = min(self.last_activity, reported_at)
        return heard_at < run.started + answer_seconds

    def is_window_over(self, run: Run, now: ids.Instant) -> bool:
        """Tell whether a brittle server has forgotten a request, if it rejected it."""
        answer_seconds = self.restrictions.rejections.answer_seconds
        return now - run.started > rejections.WINDOW + answer_seconds

    def abandon(self, run: Run) -> None:
        """Keep a request in mind that ended here without an answer of the server."""
        is_brittle = self.restrictions.rejections.limit is not None
        if is_brittle and not run.has_first_token:
            self.abandoned.append(run)

    def refresh(self, run: Run, now: ids.Instant) -> None:
        """Record that a run's entry has sent its ticket again."""
        run.refreshed_at = now
        self.reported_at[run.ticket.entry] = now

    @property
    def tried_at(self) -> ids.Instant:
        """When it gets requests again, if it has slots."""
        return max(self.pause.until, self.restrictions.rejections.pause.until)

    def accepts(self, entry: ids.InstanceId, now: ids.Instant) -> bool:
        """Tell whether it takes requests from an entry now."""
        return self.is_serving and self.restrictions.rest_until(entry) <= now

    def open_slots(self, now: ids.Instant) -> int:
        """Return how many requests it may run at once; one if it may reject them."""
        may_reject = self.restrictions.may_reject(now)
        room = 1 if may_reject else self.restrictions.rejections.room_at(now)
        return int(min(room, max(0, self.spec.slots - self.load.occupied(now))))

    def slot_available_at(self, place: int, at: ids.Instant, now: ids.Instant) -> float:
        """Return when a slot that is released at `at` can be granted.

        `place` is its number, from 0, in the order in which the slots are released:
        each grant before uses up one request of the limit.
        """
        if self.restrictions.rate is None:
            return at
        return max(at, self.restrictions.rate.available_at(place + 1, now))

    def slot_seconds(self, ticket: messages.Ticket, batch: int) -> float:
        """Return the seconds from a grant of one of its slots until the next of it.

        So many requests run then, that one included.
        """
        stream = stream_seconds(ticket, self) * self.load.batch_factor(batch)
        seconds = self.first_seconds(ticket, 0.0) + stream
        if self.restrictions.rate is None:
            return seconds
        return max(seconds, self.spec.slots / self.restrictions.rate.rate)

    def hangs(self, now: ids.Instant) -> bool:
        """Tell whether it is stalled, and shouldn't be tried by another request.

        A brittle server gets so few requests at once that long calls look like a hang.
        """
        if not self.is_stalled(now):
            return False
        is_brittle = self.restrictions.rejections.limit is not None
        return not is_brittle or not all(
            self.is_window_over(run, now)
            for run in self.runs.values()
            if run.is_overdue(now)
        )

    def is_stalled(self, now: ids.Instant) -> bool:
        """Tell whether it hangs: a run is overdue, and no later activity was seen.

        A server may lose single answers and serve all others well. If one overdue run
        were enough, most servers would be idle whenever some of them lose answers.
        """
        return any(
            run.is_overdue(now) and self.last_activity <= run.started
            for run in self.runs.values()
        )

    def pending(self, now: ids.Instant) -> float:
        """Return the remaining prefill work; see prefill.QuadraticCost."""
        factor = self.load.factor(now)
        return sum(
            self.prefill.remaining_work(
                run.ticket.prompt_tokens, (now - run.started) / factor
            )
            for run in self.runs.values()
            if not run.has_first_token
        )

    def first_seconds(self, ticket: messages.Ticket, pending: float) -> float:
        """Return the seconds to a ticket's first token, or to a call's answer."""
        if ticket.prompt_tokens == 0:
            return self.call_seconds
        return self.prefill.first_seconds(self.work(ticket, pending))

    def work(self, ticket: messages.Ticket, pending: float) -> float:
        """Return the prefill work before a ticket's first token."""
        return pending + self.prefill.quadratic.work(ticket.prompt_tokens)

    def total_seconds(self, ticket: messages.Ticket, pending: float) -> float:
        """Return the seconds to a ticket's end."""
        return self.first_seconds(ticket, pending) + stream_seconds(ticket, self)

    def predict(
        self, ticket: messages.Ticket, pending: float, now: ids.Instant
    ) -> serverload.Predicted:
        """Return the seconds to a ticket's first token and end, if it starts now."""
        first = self.first_seconds(ticket, pending)
        total = first + self.batch_stream_seconds(ticket)
        return self.load.predict(first, total, now)

    def batch_stream_seconds(self, ticket: messages.Ticket) -> float:
        """Return the seconds from a ticket's first token to its end, if it starts now.

        They are those in a batch with the requests that run now.
        """
        factor = self.load.batch_factor(len(self.runs) + 1)
        return stream_seconds(ticket, self) * factor

    def start(self, ticket: messages.Ticket, now: ids.Instant) -> Run:
        """Give a slot to a ticket."""
        pending = self.pending(now)
        usual_first = self.first_seconds(ticket, pending)
        usual_total = usual_first + self.batch_stream_seconds(ticket)
        predicted = self.load.predict(usual_first, usual_total, now)
        run = Run(
            ticket=ticket,
            started=now,
            refreshed_at=now,
            work=self.work(ticket, pending),
            first=predicted.first,
            total=predicted.total,
            usual_first=usual_first,
            usual_total=usual_total,
            stated_first=self.load.stated_seconds(usual_first, now),
            stream_seconds=stream_seconds(ticket, self),
            work_at_start=self.load.work_at(now),
        )
        self.runs[ticket.ticket_id] = run
        self.load.record_start(len(self.runs), now)
        return run

    def learn_first_token(self, run: Run, seconds: float, now: ids.Instant) -> None:
        """Learn from the time to a first token that was received now."""
        run.area_at_first = self.load.batch_area(now)
        run.progress_at_first = self.load.progress_at(now)
        if run.is_adopted:
            return
        self.load.record_first(run.usual_first, run.stated_first, seconds)
        usual = self.load.usual_seconds(seconds, now)
        self.prefill.learn(run.ticket.prompt_tokens, run.work, usual)

    def learn_completion(self, run: Run, done: messages.Done, now: ids.Instant) -> None:
        """Learn from a request that completed now."""
        if run.is_adopted:
            return
        weight = self.weight()
        if run.ticket.prompt_tokens == 0:
            seconds = done.total_seconds
            self.load.record_first(run.usual_first, run.stated_first, seconds)
            usual = self.load.usual_seconds(seconds, now)
            weight *= confidence(usual, seconds)
            self.call_seconds += weight * (usual - self.call_seconds)
        elif done.output_tokens >= MIN_OUTPUT_TOKENS:
            streamed = self.load.usual_seconds(done.writing_seconds, now)
            weight *= confidence(streamed, done.writing_seconds)
            seen = streamed / done.output_tokens
            self.learn_batch(run, seen, weight, now)
            self.token_seconds += weight * (seen - self.token_seconds)
        self.observations += 1

    def learn_batch(
        self, run: Run, seen: float, weight: float, now: ids.Instant
    ) -> None:
        """Learn how the time per token depends on the number of requests."""
        if run.first_token_at is None or now <= run.first_token_at:
            return
        area = self.load.batch_area(now) - run.area_at_first
        batch = area / (now - run.first_token_at)
        self.load.learn_batch(batch, seen / self.token_seconds, weight)

    def weight(self) -> float:
        """Return the weight of a new observation; 1 for the first."""
        return OBSERVATION_WEIGHT if self.observations else 1.0

    def record_success(self) -> None:
        """Update the failure rate after a completed request."""
        self.failures -= FAILURE_WEIGHT * self.failures
        self.failed_in_row = 0
        self.pause.reset()

    def record_failure(self) -> None:
        """Update the failure rate after a failed request."""
        self.failures += FAILURE_WEIGHT * (1.0 - self.failures)
        self.failed_in_row += 1

    def end_pause(self, now: ids.Instant) -> None:
        """Use the server again, since an instance has reached it."""
        self.pause.end(now)
        self.failed_in_row = 0


def confidence(usual: float, measured: float) -> float:
    """Return the weight of a time that was measured in a slow moment, up to 1.

    When the moment began and ended within the time isn't known exactly.
    """
    return min(1.0, usual / measured) ** 2 if measured > 0.0 else 1.0


def expected_tokens(ticket: messages.Ticket) -> int:
    """Return the expected output tokens of a ticket, or else its upper bound."""
    return ticket.expected_tokens or ticket.output_tokens


def stream_seconds(ticket: messages.Ticket, server: BackendView) -> float:
    """Return the seconds from a ticket's first token to its end on a server."""
    return expected_tokens(ticket) * server.token_seconds
