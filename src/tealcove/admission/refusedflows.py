"""Which requests a dispatcher refuses entirely, and from which entries they come."""

from __future__ import annotations

import collections

import msgspec

from tealcove import ids
from tealcove.dispatch import messages

# A flow counts as refused entirely if so many of its tickets were refused in the last
# seconds, and none was granted a slot. Of an account with 10 requests a second, of
# which two thirds are refused, that happens by chance in 2 of 100 seconds.
WINDOW_SECONDS = 1.0
MIN_REFUSED = 5
# Part of an entry's requests that it may refuse by itself. The rest reaches the
# dispatcher, which notices by them when it has capacity again.
LOCAL_SHARE = 0.75
# Seconds between two notices to an entry.
NOTICE_INTERVAL = 0.25
# Seconds for which a notice is valid, a little longer than between two notices.
VALID_SECONDS = 0.3
# Seconds within which an entry reports its refusals, which count as demand.
REPORT_SECONDS = 0.2
# Seconds for the way of a message between two busy instances.
DELIVERY_SECONDS = 0.1
# A return isn't promised for earlier than all entries are told of it: one with a notice
# from before the promise may refuse it.
DISPATCHER_RETURN_SECONDS = VALID_SECONDS + DELIVERY_SECONDS
# The same after a refusal by an entry, of which the dispatcher is told by a report.
ENTRY_RETURN_SECONDS = REPORT_SECONDS + DISPATCHER_RETURN_SECONDS
# Bounds on a notice, which is sent to each entry four times a second: flows, promised
# returns and further refusals of one flow, and marks of returning requests.
MAX_FLOWS = 3
MAX_PROMISED = 2
MAX_UNPROMISED = 20
MAX_RETURNING = 8


class FlowKey(msgspec.Struct, frozen=True, order=True):
    """The requests of one tier, kind and account."""

    tier: int
    urgency: int
    account: ids.AccountId


def key_of(request: messages.Ticket | messages.PromisedReturn) -> FlowKey:
    """Return the flow of a request."""
    return FlowKey(request.tier_rank, request.urgency, request.account)


class Refused(msgspec.Struct):
    """One refused request of a flow."""

    at: ids.Instant
    entry: ids.InstanceId
    # Whether the entry refused it by itself.
    is_local: bool
    # Whether the entry reads notices.
    takes_notices: bool


class RefusedFlow(msgspec.Struct):
    """The recent refusals of a flow."""

    refused: collections.deque[Refused]
    granted_at: ids.Instant | None = None
    # Of its last refused ticket: slot time, and for how long its caller would wait.
    slot_seconds: float = 0.0
    period: float = 0.0
    # Refusals that each entry may still make, with fractions.
    credits: dict[ids.InstanceId, float] = {}

    def expire(self, now: ids.Instant) -> None:
        """Forget the refusals before the window."""
        while self.refused and self.refused[0].at < now - WINDOW_SECONDS:
            self.refused.popleft()

    def is_refused_entirely(self, now: ids.Instant) -> bool:
        """Tell whether the dispatcher has refused all its recent tickets."""
        if self.granted_at is not None and now - self.granted_at < WINDOW_SECONDS:
            return False
        return sum(not one.is_local for one in self.refused) >= MIN_REFUSED


class RefusedFlows:
    """Recent refusals by flow."""

    def __init__(self) -> None:
        self.flows: dict[FlowKey, RefusedFlow] = {}

    def record_refusal(
        self,
        ticket: messages.Ticket,
        is_local: bool,
        now: ids.Instant,
    ) -> RefusedFlow:
        """Record a refused request, and return its flow."""
        key = key_of(ticket)
        flow = self.flows.get(key)
        if flow is None:
            flow = self.flows[key] = RefusedFlow(collections.deque())
        flow.refused.append(Refused(now, ticket.entry, is_local, ticket.takes_notices))
        flow.expire(now)
        return flow

    def record_grant(self, key: FlowKey, now: ids.Instant) -> None:
        """Record that a request of a flow was granted a slot."""
        flow = self.flows.get(key)
        if flow is not None:
            flow.granted_at = now

    def refused_entirely(self, now: ids.Instant) -> list[tuple[FlowKey, RefusedFlow]]:
        """Return the flows that are refused entirely, most refused first."""
        found = []
        for key, flow in list(self.flows.items()):
            flow.expire(now)
            if not flow.refused:
                del self.flows[key]
            elif flow.is_refused_entirely(now):
                found.append((key, flow))
        found.sort(key=lambda one: len(one[1].refused), reverse=True)
        return found[:MAX_FLOWS]
