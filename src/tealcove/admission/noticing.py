"""Prepares the notices that tell entries what they may refuse by themselves."""

from __future__ import annotations

import collections
from collections.abc import Callable

from tealcove import ids
from tealcove.admission import refusedflows, returnplan
from tealcove.dispatch import firstattempts, notices

# Seconds before its promised time from which on a return is exempt from refusals: a
# notice is valid for 0.3 s, and a caller may be some hundredths early.
RETURNING_AHEAD = 0.4
# Seconds from a notice to the first return that it lets an entry promise; the entry may
# use it until it expires.
EARLIEST_IN_NOTICE = refusedflows.VALID_SECONDS + refusedflows.ENTRY_RETURN_SECONDS


class Noticing:
    """Decides which entries get a notice, and what they may refuse."""

    def __init__(self, plan: returnplan.ReturnPlan) -> None:
        self.plan = plan
        self.flows = refusedflows.RefusedFlows()
        # Marks of promised returns by flow, with the promised times.
        self.returning: dict[refusedflows.FlowKey, dict[int, ids.Instant]] = (
            collections.defaultdict(dict)
        )
        self.next_notice = ids.Instant(0.0)
        # The entries whose last notice lets them refuse something.
        self.told: set[ids.InstanceId] = set()
        # When the last notice that names a flow was sent.
        self.told_at: dict[refusedflows.FlowKey, ids.Instant] = {}

    def record_promise(
        self, key: refusedflows.FlowKey, digest: str, at: ids.Instant
    ) -> None:
        """Record a promised return, which entries must not refuse."""
        self.returning[key][notices.mark_of(digest)] = at

    def forget_promise(self, key: refusedflows.FlowKey, digest: str) -> None:
        """Forget a promised return, which has arrived."""
        self.returning.get(key, {}).pop(notices.mark_of(digest), None)

    def earliest_return(
        self, key: refusedflows.FlowKey, now: ids.Instant
    ) -> ids.Instant:
        """Return from when on no entry refuses a return that is promised now.

        An entry may have a notice from before the promise, which doesn't name it.
        """
        told_at = self.told_at.get(key)
        if told_at is None:
            return now
        known_at = told_at + refusedflows.DISPATCHER_RETURN_SECONDS
        return ids.Instant(max(now, known_at))

    def prepare(
        self, return_slots: Callable[[int], float], now: ids.Instant
    ) -> dict[ids.InstanceId, list[notices.RefusedFlow]]:
        """Return what each entry is told; called at each tick.

        `return_slots` returns the number of slots that returns of a tier may use.
        """
        if now < self.next_notice:
            return {}
        self.next_notice = ids.Instant(now + refusedflows.NOTICE_INTERVAL)
        self.expire(now)
        told: dict[ids.InstanceId, list[notices.RefusedFlow]] = {}
        for key, flow in self.flows.refused_entirely(now):
            returning = self.due_marks(key, now)
            if len(returning) > refusedflows.MAX_RETURNING:
                continue
            # Its callers don't wait until an entry could promise them a return.
            if 0.0 < flow.period < EARLIEST_IN_NOTICE:
                continue
            counts = collections.Counter(
                one.entry for one in flow.refused if one.takes_notices
            )
            for entry, count in counts.items():
                found = self.refusals_of(
                    key, flow, entry, count, returning, return_slots(key.tier), now
                )
                if found.promised_ms or found.unpromised:
                    told.setdefault(entry, []).append(found)
                    self.told_at[key] = now
        self.told = set(told)
        return told

    def withdraw(self) -> dict[ids.InstanceId, list[notices.RefusedFlow]]:
        """Return empty notices for the entries that may refuse something.

        Called when a slot is free: a notice stays valid for longer than that takes.
        """
        told, self.told = self.told, set()
        return {entry: [] for entry in told}

    def refusals_of(
        self,
        key: refusedflows.FlowKey,
        flow: refusedflows.RefusedFlow,
        entry: ids.InstanceId,
        count: int,
        returning: tuple[int, ...],
        return_slots: float,
        now: ids.Instant,
    ) -> notices.RefusedFlow:
        """Return how many of a flow's requests an entry may refuse.

        `count` is how many of its requests were refused in the last window.
        """
        expected = count / refusedflows.WINDOW_SECONDS * refusedflows.NOTICE_INTERVAL
        credit = flow.credits.get(entry, 0.0) + refusedflows.LOCAL_SHARE * expected
        number = min(int(credit), refusedflows.MAX_UNPROMISED)
        flow.credits[entry] = credit - int(credit)
        promised = []
        latest = ids.Instant(now + min(flow.period, returnplan.HORIZON))
        earliest = ids.Instant(now + EARLIEST_IN_NOTICE)
        while len(promised) < min(number, refusedflows.MAX_PROMISED):
            at = self.plan.reserve(
                key.tier, flow.slot_seconds, return_slots, earliest, latest
            )
            if at is None:
                break
            promised.append(notices.milliseconds(at - now))
        return notices.RefusedFlow(
            tier_rank=key.tier,
            urgency=key.urgency,
            account=key.account,
            slot_ms=notices.milliseconds(flow.slot_seconds),
            promised_ms=tuple(promised),
            unpromised=number - len(promised),
            returning=returning,
        )

    def due_marks(self, key: refusedflows.FlowKey, now: ids.Instant) -> tuple[int, ...]:
        """Return the marks of the requests that may return during a notice."""
        latest = now + RETURNING_AHEAD
        return tuple(
            mark for mark, at in self.returning.get(key, {}).items() if at <= latest
        )

    def expire(self, now: ids.Instant) -> None:
        """Forget the promised returns that are over."""
        self.told_at = {
            key: at
            for key, at in self.told_at.items()
            if now < at + refusedflows.DISPATCHER_RETURN_SECONDS
        }
        over = now - firstattempts.KEPT_SECONDS
        for key, marks in list(self.returning.items()):
            kept = {mark: at for mark, at in marks.items() if at >= over}
            if kept:
                self.returning[key] = kept
            else:
                del self.returning[key]
