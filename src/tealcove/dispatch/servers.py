"""A backend server as its dispatcher sees it: slots, running work, speed."""

from __future__ import annotations

import collections
import enum
import math

import msgspec

from tealcove import ids
from tealcove.backends import engine, prefixes
from tealcove.dispatch import messages, prefixindex, speeds
from tealcove.resources import kinds

# A report of more work than was granted counts once it has lasted so long in
# seconds, beyond the lag of load reports and the way of a grant to the server.
FOREIGN_AFTER = 2.0
# A report that hasn't changed for so long is taken for stuck and not believed.
STUCK_AFTER = 10.0


class Pace(enum.Enum):
    """How a server does against what is expected of it."""

    NORMAL = "normal"
    # Gets less work, by as much as it is slower, and probes.
    SLOW = "slow"
    # Gets one short request now and then, to see whether it has recovered.
    PROBED = "probed"


class Running(msgspec.Struct):
    """A ticket that holds a slot."""

    ticket: messages.Ticket
    started: ids.Instant
    deadline: ids.Instant
    is_short: bool
    # Prompt tokens that the server was expected to compute.
    uncached: float = 0.0
    # Seconds to the first and to the last token, predicted for a full batch;
    # infinite when the server's speed wasn't known.
    expected_first: float = math.inf
    expected_total: float = math.inf
    # Tokens charged to the client account.
    charged: float = 0.0
    has_first_token: bool = False
    # Whether it tries out a server that was too slow.
    is_probe: bool = False
    # The server's batch integral at the start; see ServerState.
    batch_at_start: float = 0.0
    # When the entry was asked to stop it, and for which ticket.
    preempted_at: ids.Instant | None = None
    preempted_for: ids.TicketId | None = None
    # When its entry last told of it.
    refreshed_at: ids.Instant = ids.Instant(0.0)
    # Set when the entry is gone, and with it the word of the request's end.
    orphaned_until: ids.Instant | None = None

    def refresh(self, ticket: messages.Ticket, now: ids.Instant) -> None:
        """Learn that the request still runs, maybe for another entry by now.

        An entry that takes a lost one's run over keeps its ticket. Orders to stop
        it must reach that entry, and the slot isn't free when the old one is missed.
        """
        self.refreshed_at = now
        if ticket.entry != self.ticket.entry:
            self.ticket = ticket
            self.orphaned_until = None

    def prefill_spent(self, now: ids.Instant) -> float:
        """Return the prompt tokens computed so far, as far as it is known."""
        if self.has_first_token or self.expected_first == math.inf:
            return self.uncached
        part = (now - self.started) / max(self.expected_first, 1e-6)
        return self.uncached * min(1.0, part)


class ServerState:
    """What is known of one backend server."""

    def __init__(self, spec: kinds.BackendServerSpec) -> None:
        self.name = ids.BackendServerId(spec.name)
        self.spec = spec
        self.running: dict[ids.TicketId, Running] = {}
        self.long_running = 0
        # Slots that long work may not take.
        self.reserved_short = 0
        self.reachable = True
        self.leaving = False
        # Set while a suspect runs alone or the server empties for it.
        self.isolated_ticket: ids.TicketId | None = None
        self.index = prefixindex.PrefixIndex()
        # Its own observations, and the slower average of the same.
        self.speed = speeds.default()
        self.long_term_speed = speeds.default()
        self.learned_at = ids.Instant(0.0)
        # What speeds are predicted from while it has no observations.
        self.prior: speeds.Speed | None = None
        self.pace = Pace.NORMAL
        # How many times slower than expected it is at present.
        self.slowness = 1.0
        self.probe_at = ids.Instant(0.0)
        self.probe_interval = 0.0
        # Requests of other dispatchers that hold its slots.
        self.foreign_running = 0
        self.excess_since: ids.Instant | None = None
        self.last_report: engine.LoadReport | None = None
        self.report_changed = ids.Instant(0.0)
        # Own running requests over the last FOREIGN_AFTER seconds.
        self.counts: collections.deque[tuple[ids.Instant, int]] = collections.deque()
        # Requests running, integrated over time: a difference of two values,
        # divided by the seconds between, is the mean batch size.
        self.batch_integral = 0.0
        self.integrated_to = ids.Instant(0.0)

    @property
    def is_usable(self) -> bool:
        """Whether the server may get work at all."""
        wanted = self.spec.state is kinds.ServerState.SERVING
        return wanted and self.reachable and not self.leaving

    @property
    def is_known(self) -> bool:
        """Whether anything is known of its speed."""
        return self.speed.observations > 0 or self.prior is not None

    @property
    def model(self) -> speeds.Speed:
        """What its speed is predicted from."""
        if self.speed.observations == 0 and self.prior is not None:
            return self.prior
        return self.speed

    @property
    def baseline(self) -> speeds.Speed:
        """What its speed is held against."""
        return self.prior or self.long_term_speed

    def allowed_slots(self) -> int:
        """Return the slots that it may use at its present pace."""
        if self.pace is Pace.PROBED:
            return 1
        if self.pace is Pace.SLOW:
            return max(1, int(self.spec.slots / self.slowness))
        return self.spec.slots

    def free_slots(self) -> int:
        """Return the slots that may be granted now."""
        if len(self.running) >= self.spec.slots:
            # By far the most frequent case under load, and asked for each ticket.
            return 0
        if not self.is_usable or self.isolated_ticket is not None:
            return 0
        return self.allowed_slots() - len(self.running) - self.foreign_running

    def free_long_slots(self, keep_reserved: bool) -> int:
        """Return the slots that may be granted to long work now.

        `keep_reserved` says whether the slots kept for short work are left alone.
        """
        kept = self.reserved_short if keep_reserved else 0
        room = (
            max(1, self.allowed_slots() - kept)
            - self.long_running
            - self.foreign_running
        )
        return min(self.free_slots(), room)

    def is_empty(self) -> bool:
        """Tell whether nothing runs there, as far as is known."""
        return not self.running and self.foreign_running == 0

    def integrate(self, now: ids.Instant) -> None:
        """Bring the batch integral up to now; called before the batch changes."""
        seconds = now - self.integrated_to
        self.batch_integral += len(self.running) * seconds
        self.integrated_to = now

    def start(self, running: Running, now: ids.Instant) -> None:
        """Give a slot to a ticket."""
        self.integrate(now)
        running.batch_at_start = self.batch_integral
        self.running[running.ticket.ticket_id] = running
        self.long_running += not running.is_short
        self.note_count(now)

    def end(self, ticket_id: ids.TicketId, now: ids.Instant) -> Running | None:
        """Take a slot back; None when the ticket held none here."""
        if ticket_id not in self.running:
            return None
        self.integrate(now)
        running = self.running.pop(ticket_id)
        self.long_running -= not running.is_short
        self.note_count(now)
        if self.isolated_ticket == ticket_id:
            self.isolated_ticket = None
        return running

    def discard_predictions(self) -> None:
        """Judge the server by none of its running work.

        After a pause of this process the word of their ends is still on its way,
        and all would look late.
        """
        for running in self.running.values():
            running.expected_total = running.expected_first = math.inf

    def note_count(self, now: ids.Instant) -> None:
        """Remember how many own requests run, for late load reports."""
        self.counts.append((now, len(self.running)))
        # The last count before the window still held when the window began.
        while len(self.counts) > 1 and self.counts[1][0] <= now - FOREIGN_AFTER:
            self.counts.popleft()

    def peak_running(self, now: ids.Instant) -> int:
        """Return the most own requests that any recent load report could show."""
        self.note_count(now)
        return max(count for _, count in self.counts)

    def mean_others(self, running: Running, now: ids.Instant) -> float:
        """Return the mean number of other requests in a request's batch."""
        self.integrate(now)
        seconds = now - running.started
        if seconds <= 0.0:
            return 0.0
        mean = (self.batch_integral - running.batch_at_start) / seconds
        return max(0.0, mean - 1.0)

    def apply_load_report(self, report: engine.LoadReport, now: ids.Instant) -> None:
        """Correct the count of taken slots by a lagging load report."""
        if report != self.last_report:
            self.last_report = report
            self.report_changed = now
        self.index.set_capacity(report.cache_blocks)
        excess = report.running + report.waiting - self.peak_running(now)
        if excess <= 0 or now - self.report_changed > STUCK_AFTER:
            self.excess_since = None
            self.foreign_running = 0
            return
        if self.excess_since is None:
            self.excess_since = now
        if now - self.excess_since >= FOREIGN_AFTER:
            # One slot stays in use, so that a wrong report can't idle a server.
            self.foreign_running = min(excess, self.spec.slots - 1)

    def cached_tokens(self, ticket: messages.Ticket) -> float:
        """Return how much of a prompt is expected to be cached."""
        tokens = self.index.match(ticket.prefix) * prefixes.BLOCK_TOKENS
        return tokens if tokens < ticket.prompt_tokens else ticket.prompt_tokens

    def uncached_tokens(self, ticket: messages.Ticket) -> float:
        """Return how much of a prompt is expected to have to be computed."""
        return ticket.prompt_tokens - self.cached_tokens(ticket)

    def predict_total(self, ticket: messages.Ticket, others: float) -> float:
        """Return the seconds to a ticket's last token, beside so many others."""
        uncached = self.uncached_tokens(ticket)
        return self.predict_total_for(uncached, ticket.output_tokens, others)

    def bounds(self, uncached: float, output: float) -> tuple[float, float]:
        """Return the seconds to the last token alone, and in a full batch."""
        others = self.spec.slots - 1.0
        if self.pace is not Pace.NORMAL:
            alone = self.predict_total_for(uncached, output, 0.0)
            return alone, self.predict_total_for(uncached, output, others)
        model = self.model
        alone = model.predict(uncached, output, 0.0)
        return alone, alone + model.decode.slope * others * max(0.0, output - 1.0)

    def predict_total_for(self, uncached: float, output: float, others: float) -> float:
        """Return the seconds to the last of so many tokens."""
        predicted = self.model.predict(uncached, output, others)
        if self.pace is Pace.NORMAL:
            return predicted
        # Running work that is late tells of a slow server before any completion.
        baseline_seconds = self.baseline.predict(uncached, output, 0.0)
        return max(predicted, baseline_seconds * self.slowness)
