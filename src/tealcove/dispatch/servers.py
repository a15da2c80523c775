"""The dispatcher's view of a backend server: slots, running work and speed."""

from __future__ import annotations

import collections
import enum
import math

import msgspec

from tealcove import ids
from tealcove.backends import engine, prefixes
from tealcove.dispatch import messages, prefixindex, speeds
from tealcove.resources import kinds

# Seconds for which a server must report more work than was granted before the excess
# counts: longer than the lag of load reports and the latency of a grant.
FOREIGN_AFTER = 2.0
# Seconds after which an unchanged load report counts as stuck and is ignored.
STUCK_AFTER = 10.0


class Pace(enum.Enum):
    """A server's state by its speed relative to the expected one."""

    NORMAL = "normal"
    # Gets fewer slots, in proportion to its slowness, and probes.
    SLOW = "slow"
    # Gets one short request per probe interval, to test whether it has recovered.
    PROBED = "probed"


class RunningTicket(msgspec.Struct):
    """A ticket that holds a slot."""

    ticket: messages.Ticket
    started: ids.Instant
    deadline: ids.Instant
    is_short: bool
    # Prompt tokens that the server was expected to compute.
    uncached: float = 0.0
    # Predicted seconds to the first and to the last token, in a full batch; infinite
    # if the server's speed wasn't known.
    expected_first: float = math.inf
    expected_total: float = math.inf
    # Tokens charged to the client account.
    charged: float = 0.0
    has_first_token: bool = False
    # Whether it probes a slow server.
    is_probe: bool = False
    # The value of ServerState.batch_integral at the start.
    batch_at_start: float = 0.0
    # When the entry was asked to stop it, and for which ticket.
    preempted_at: ids.Instant | None = None
    preempted_for: ids.TicketId | None = None
    # When its entry last sent its ticket.
    refreshed_at: ids.Instant = ids.Instant(0.0)
    # Set when the entry is lost: until when the slot is kept, as no end is reported.
    orphaned_until: ids.Instant | None = None

    def refresh(self, ticket: messages.Ticket, now: ids.Instant) -> None:
        """Record that the request still runs, possibly for another entry.

        An entry that takes over a lost entry's request keeps the ticket. Preemptions
        must reach the new entry, and the loss of the old one mustn't free the slot.
        """
        self.refreshed_at = now
        if ticket.entry != self.ticket.entry:
            self.ticket = ticket
            self.orphaned_until = None

    def prefill_spent(self, now: ids.Instant) -> float:
        """Return the estimated number of prompt tokens computed so far."""
        if self.has_first_token or self.expected_first == math.inf:
            return self.uncached
        part = (now - self.started) / max(self.expected_first, 1e-6)
        return self.uncached * min(1.0, part)


class ServerState:
    """The state of one backend server."""

    def __init__(self, spec: kinds.BackendServerSpec) -> None:
        self.name = ids.BackendServerId(spec.name)
        self.spec = spec
        self.running: dict[ids.TicketId, RunningTicket] = {}
        self.long_running = 0
        # Slots reserved for short work.
        self.reserved_short = 0
        self.reachable = True
        self.leaving = False
        # The suspect that runs alone, or for which the server is drained.
        self.isolated_ticket: ids.TicketId | None = None
        self.index = prefixindex.PrefixIndex()
        # Its speed by recent observations, and by a slower average of the same.
        self.speed = speeds.default()
        self.long_term_speed = speeds.default()
        self.learned_at = ids.Instant(0.0)
        # The speed assumed while it has no observations of its own.
        self.prior: speeds.Speed | None = None
        self.pace = Pace.NORMAL
        # Its current slowness, as a multiple of the expected time.
        self.slowness = 1.0
        self.probe_at = ids.Instant(0.0)
        self.probe_interval = 0.0
        # Slots taken by requests of other dispatchers.
        self.foreign_running = 0
        self.excess_since: ids.Instant | None = None
        self.last_report: engine.LoadReport | None = None
        self.report_changed = ids.Instant(0.0)
        # Own running requests over the last FOREIGN_AFTER seconds.
        self.counts: collections.deque[tuple[ids.Instant, int]] = collections.deque()
        # The number of running requests integrated over time: the difference of two
        # values divided by the seconds between them is the mean batch size.
        self.batch_integral = 0.0
        self.integrated_to = ids.Instant(0.0)

    @property
    def is_usable(self) -> bool:
        """Whether the server may get work."""
        wanted = self.spec.state is kinds.ServerState.SERVING
        return wanted and self.reachable and not self.leaving

    @property
    def is_known(self) -> bool:
        """Whether its speed is known or assumed from its generation."""
        return self.speed.observations > 0 or self.prior is not None

    @property
    def model(self) -> speeds.Speed:
        """The speed from which its times are predicted."""
        if self.speed.observations == 0 and self.prior is not None:
            return self.prior
        return self.speed

    @property
    def baseline(self) -> speeds.Speed:
        """The speed that its own is compared to."""
        return self.prior or self.long_term_speed

    def allowed_slots(self) -> int:
        """Return the number of slots that it may use at its current pace."""
        if self.pace is Pace.PROBED:
            return 1
        if self.pace is Pace.SLOW:
            return max(1, int(self.spec.slots / self.slowness))
        return self.spec.slots

    def free_slots(self) -> int:
        """Return the number of slots that may be granted now."""
        if len(self.running) >= self.spec.slots:
            # Fast path: by far the most frequent case under load, for each ticket.
            return 0
        if not self.is_usable or self.isolated_ticket is not None:
            return 0
        return self.allowed_slots() - len(self.running) - self.foreign_running

    def free_long_slots(self, keep_reserved: bool) -> int:
        """Return the number of slots that may be granted to long work now.

        `keep_reserved` tells whether to exclude the slots reserved for short work.
        """
        kept = self.reserved_short if keep_reserved else 0
        room = (
            max(1, self.allowed_slots() - kept)
            - self.long_running
            - self.foreign_running
        )
        return min(self.free_slots(), room)

    def is_empty(self) -> bool:
        """Tell whether no request is known to run there."""
        return not self.running and self.foreign_running == 0

    def integrate(self, now: ids.Instant) -> None:
        """Update the batch integral to now; called before the batch changes."""
        seconds = now - self.integrated_to
        self.batch_integral += len(self.running) * seconds
        self.integrated_to = now

    def start(self, running: RunningTicket, now: ids.Instant) -> None:
        """Record that a ticket got a slot."""
        self.integrate(now)
        running.batch_at_start = self.batch_integral
        self.running[running.ticket.ticket_id] = running
        self.long_running += not running.is_short
        self.note_count(now)

    def end(self, ticket_id: ids.TicketId, now: ids.Instant) -> RunningTicket | None:
        """Release a slot; return None when the ticket held none here."""
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
        """Forget the predicted times of running requests, so that none counts as late.

        After a pause of this process the reports of their ends are still in transit,
        and all of them would look late.
        """
        for running in self.running.values():
            running.expected_total = running.expected_first = math.inf

    def note_count(self, now: ids.Instant) -> None:
        """Record the number of own requests, to compare with lagging load reports."""
        self.counts.append((now, len(self.running)))
        # The last count before the window still applied when the window began.
        while len(self.counts) > 1 and self.counts[1][0] <= now - FOREIGN_AFTER:
            self.counts.popleft()

    def peak_running(self, now: ids.Instant) -> int:
        """Return the largest number of own requests within the lag of load reports."""
        self.note_count(now)
        return max(count for _, count in self.counts)

    def mean_others(self, running: RunningTicket, now: ids.Instant) -> float:
        """Return the mean number of other requests in a request's batch."""
        self.integrate(now)
        seconds = now - running.started
        if seconds <= 0.0:
            return 0.0
        mean = (self.batch_integral - running.batch_at_start) / seconds
        return max(0.0, mean - 1.0)

    def apply_load_report(self, report: engine.LoadReport, now: ids.Instant) -> None:
        """Derive the slots taken by other dispatchers from a lagging load report."""
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
            # One slot always stays usable, so that a wrong report can't idle a server.
            self.foreign_running = min(excess, self.spec.slots - 1)

    def cached_tokens(self, ticket: messages.Ticket) -> float:
        """Return the number of prompt tokens expected to be cached."""
        tokens = self.index.match(ticket.prefix) * prefixes.BLOCK_TOKENS
        return tokens if tokens < ticket.prompt_tokens else ticket.prompt_tokens

    def uncached_tokens(self, ticket: messages.Ticket) -> float:
        """Return the number of prompt tokens expected to be computed."""
        return ticket.prompt_tokens - self.cached_tokens(ticket)

    def predict_total(self, ticket: messages.Ticket, others: float) -> float:
        """Return the seconds to a ticket's last token, with `others` in the batch."""
        uncached = self.uncached_tokens(ticket)
        return self.predict_total_for(uncached, ticket.output_tokens, others)

    def predict_bounds(self, uncached: float, output: float) -> tuple[float, float]:
        """Return the seconds to the last token, alone and in a full batch."""
        others = self.spec.slots - 1.0
        if self.pace is not Pace.NORMAL:
            alone = self.predict_total_for(uncached, output, 0.0)
            return alone, self.predict_total_for(uncached, output, others)
        model = self.model
        alone = model.predict(uncached, output, 0.0)
        return alone, alone + model.decode.slope * others * max(0.0, output - 1.0)

    def predict_total_for(self, uncached: float, output: float, others: float) -> float:
        """Return the seconds to the last token, by uncached and output tokens."""
        predicted = self.model.predict(uncached, output, others)
        if self.pace is Pace.NORMAL:
            return predicted
        # Late running requests show a slow server before any completion does.
        baseline_seconds = self.baseline.predict(uncached, output, 0.0)
        return max(predicted, baseline_seconds * self.slowness)
