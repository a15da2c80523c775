"""Refuses requests that would miss their goal, and promises returns to callers."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

from tealcove import ids
from tealcove.admission import counts, noticing, refusedflows, returnplan
from tealcove.dispatch import (
    admission,
    inflow,
    messages,
    notices,
    retry,
    waitingline,
    waitingticket,
)

# Part of the time to the latest start in time that the forecast must leave unused. It
# covers arrivals between two forecasts of a long line and the spread of service times:
# with a tenth, a tenth of the slots went to requests that had just become late.
GOAL_RESERVE = 0.2


class AdmitByGoal(admission.Admission):
    """Refuses a ticket that is forecast to miss its goal, unless late work fits.

    `return_share` is the part of its remaining time that a caller waits as told.
    """

    def __init__(
        self, return_share: float = 1 / 3, counted: counts.Counts | None = None
    ) -> None:
        self.return_share = return_share
        self.counts = counts.Counts() if counted is None else counted
        self.plan = returnplan.ReturnPlan()
        self.noticing = noticing.Noticing(self.plan)
        # Until when returns may arrive that other dispatchers have promised.
        self.returns_until = ids.Instant(0.0)
        # As of the last forecast.
        self.slots = 0
        self.arriving = inflow.Inflow()

    def observe(self, slots: int, arriving: inflow.Inflow, now: ids.Instant) -> None:
        """See Admission."""
        self.slots = slots
        self.arriving = arriving
        self.plan.expire(now)

    def record_arrival(self, waiting: waitingticket.Waiting, now: ids.Instant) -> None:
        """See Admission."""
        if waiting.keeps_promise:
            self.counts.kept += 1
            key = refusedflows.key_of(waiting.ticket)
            self.noticing.forget_promise(key, waiting.ticket.digest)

    def record_grant(self, waiting: waitingticket.Waiting, now: ids.Instant) -> None:
        """See Admission."""
        if not waiting.keeps_promise:
            self.noticing.flows.record_grant(refusedflows.key_of(waiting.ticket), now)

    def record_local_refusal(
        self, ticket: messages.Ticket, promised_at: ids.Instant | None, now: ids.Instant
    ) -> None:
        """See Admission."""
        key = refusedflows.key_of(ticket)
        flows = self.noticing.flows
        flows.record_refusal(ticket, True, now)
        if promised_at is not None:
            self.noticing.record_promise(key, ticket.digest, promised_at)

    def notices(
        self, has_free_slots: bool, now: ids.Instant
    ) -> Mapping[ids.InstanceId, Sequence[notices.RefusedFlow]]:
        """See Admission."""
        if has_free_slots or now < self.returns_until:
            return self.noticing.withdraw()
        return self.noticing.prepare(lambda tier: self.return_slots(tier, now), now)

    def is_refused(
        self,
        waiting: waitingticket.Waiting,
        seconds: float,
        late_share: float,
        now: ids.Instant,
    ) -> bool:
        """See Admission."""
        if now + seconds > waiting.start_by:
            return True
        if now < self.returns_until:
            return False
        if seconds <= 0.0 or not has_early_refusal(waiting):
            return False
        if is_in_time(waiting, seconds, now):
            return False
        return now + late_seconds(seconds, late_share) > waiting.start_by

    def retry_after(
        self,
        waiting: waitingticket.Waiting,
        seconds: float,
        now: ids.Instant,
        least: float = 0.0,
    ) -> float:
        """See Admission."""
        if now + seconds <= waiting.start_by:
            self.counts.refused_at_once += 1
        period = self.return_share * caller_seconds(waiting, now)
        key = refusedflows.key_of(waiting.ticket)
        flow = self.noticing.flows.record_refusal(waiting.ticket, False, now)
        flow.slot_seconds, flow.period = waiting.slot_seconds, period
        if waiting.attempt is None or period <= 0.0:
            return admission.BY_DEADLINE.retry_after(waiting, seconds, now, least)
        drained = max(least, self.drain_seconds(waiting, seconds, now))
        promised_at = self.promise(waiting, drained, period, now)
        if promised_at is None:
            return period
        self.noticing.record_promise(key, waiting.ticket.digest, promised_at)
        return promised_at - now

    def promise(
        self,
        waiting: waitingticket.Waiting,
        seconds: float,
        period: float,
        now: ids.Instant,
    ) -> ids.Instant | None:
        """Return the time at which a refused caller is to return; None: not promised.

        A caller that returned too early is told its time again.
        """
        latest = ids.Instant(
            min(now + min(period, returnplan.HORIZON), waiting.start_by)
        )
        key = refusedflows.key_of(waiting.ticket)
        soonest = ids.Instant(now + max(retry.MIN_SECONDS, seconds))
        earliest = ids.Instant(max(soonest, self.noticing.earliest_return(key, now)))
        known = waiting.attempt.promised_at
        if known is not None and now < known <= latest:
            return known
        waiting.attempt.promised_at = self.plan.reserve(
            waiting.flow.kind.tier,
            waiting.slot_seconds,
            self.return_slots(waiting.flow.kind.tier, now),
            earliest,
            latest,
        )
        self.counts.promised += waiting.attempt.promised_at is not None
        return waiting.attempt.promised_at

    def drain_seconds(
        self, waiting: waitingticket.Waiting, seconds: float, now: ids.Instant
    ) -> float:
        """Return the seconds until the tickets before a refused one have started.

        Undoes the forecast's division by the share of the slots that arrivals leave,
        since the plan divides the slots among returns by itself.
        """
        if not self.slots:
            return seconds
        goes_last = waiting.misses_goal(seconds, now) and not waiting.keeps_promise
        tier = waiting.flow.kind.tier + goes_last
        return seconds * waitingline.remaining_share(
            tier, self.arriving, self.slots, now
        )

    def return_slots(self, tier: int, now: ids.Instant) -> float:
        """Return the number of slots that returns of a tier may use."""
        left_by_higher = max(0.0, self.slots - self.arriving.load_above(tier, now))
        spare = self.slots - self.arriving.load_above(tier + 1, now)
        return max(spare, returnplan.PROMISED_SHARE * left_by_higher)

    def expect_returns(self, until: ids.Instant) -> None:
        """See Admission."""
        self.returns_until = until

    def restore(self, promised: messages.PromisedReturn, at: ids.Instant) -> None:
        """See Admission."""
        self.plan.add(promised.tier_rank, promised.slot_seconds, at)
        self.noticing.record_promise(refusedflows.key_of(promised), promised.digest, at)

    def explain(
        self, waiting: waitingticket.Waiting, seconds: float, now: ids.Instant
    ) -> str:
        """See Admission."""
        tier = waiting.flow.kind.tier
        load = self.arriving.load_above(tier + 1, now)
        share = 1.0 - load / self.slots if self.slots else 0.0
        at = None if waiting.attempt is None else waiting.attempt.promised_at
        promised = "not promised" if at is None else f"promised in {at - now:.3f} s"
        return (
            f"start forecast in {seconds:.3f} s, goal in "
            f"{waiting.goal_at - now:.3f} s, late share {share:.2f}, return {promised}"
        )


def caller_seconds(waiting: waitingticket.Waiting, now: ids.Instant) -> float:
    """Return the seconds until a caller gives up; 0 if it hasn't stated them."""
    stated = waiting.ticket.caller_remaining
    return max(0.0, waiting.since + stated - now) if stated > 0.0 else 0.0


def has_early_refusal(waiting: waitingticket.Waiting) -> bool:
    """Tell whether a ticket may be refused because it would miss its goal.

    A stream that goes on at one version is lost if it's refused, and most callers that
    have returned once don't do so again. They wait behind those that are in time.
    """
    has_goal = not math.isinf(waiting.goal_at)
    return has_goal and waiting.ticket.version is None and not waiting.has_returned


def is_in_time(
    waiting: waitingticket.Waiting, seconds: float, now: ids.Instant
) -> bool:
    """Tell whether a start in so many seconds meets the goal with a reserve."""
    latest = waiting.latest_in_time()
    reserve = GOAL_RESERVE * (latest - now)
    return now + seconds <= latest - max(0.0, reserve)


def late_seconds(seconds: float, late_share: float) -> float:
    """Return the seconds to the start of late work with so large a share of the slots.

    The forecast divides by a share of at least 1 - MAX_ARRIVAL_SHARE, so that a late
    ticket's wait is too short under overload.
    """
    if late_share <= 0.0:
        return math.inf
    forecast_share = max(1.0 - waitingline.MAX_ARRIVAL_SHARE, late_share)
    return seconds * forecast_share / late_share
