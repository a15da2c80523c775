"""Refuses requests that would miss their goal when nothing is left for late work."""

from __future__ import annotations

import math

from tealcove import ids
from tealcove.dispatch import admission, waitingline, waitingticket

# Part of the time to the latest start in time that the forecast must leave unused. It
# covers arrivals between two forecasts of a long line and the spread of service times:
# with a tenth, a tenth of the slots went to requests that had just become late.
GOAL_RESERVE = 0.2


class AdmitByGoal(admission.Admission):
    """Refuses a ticket that is forecast to miss its goal, unless late work fits."""

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
        if seconds <= 0.0 or not has_early_refusal(waiting):
            return False
        if is_in_time(waiting, seconds, now):
            return False
        return now + late_seconds(seconds, late_share) > waiting.start_by

    def retry_after(
        self, waiting: waitingticket.Waiting, seconds: float, now: ids.Instant
    ) -> float:
        """See Admission."""
        return admission.BY_DEADLINE.retry_after(waiting, seconds, now)


def has_early_refusal(waiting: waitingticket.Waiting) -> bool:
    """Tell whether a ticket may be refused because it would miss its goal.

    A stream that goes on at one version is lost if it's refused.
    """
    return not math.isinf(waiting.goal_at) and waiting.ticket.version is None


def is_in_time(
    waiting: waitingticket.Waiting, seconds: float, now: ids.Instant
) -> bool:
    """Tell whether a start in so many seconds meets the goal with a reserve."""
    latest = waiting.latest_in_time()
    reserve = GOAL_RESERVE * (latest - waiting.since)
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
