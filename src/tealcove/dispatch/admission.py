"""Interface by which a scheduler refuses tickets under overload."""

from __future__ import annotations

import abc

from tealcove import ids
from tealcove.dispatch import retry, waitingticket


class Admission(abc.ABC):
    """Decides which waiting tickets are refused, and when their callers may return."""

    @abc.abstractmethod
    def is_refused(
        self,
        waiting: waitingticket.Waiting,
        seconds: float,
        late_share: float,
        now: ids.Instant,
    ) -> bool:
        """Tell whether a ticket that would start in so many seconds is refused.

        `late_share` is the share of the slots that arrivals before late work leave; it
        is negative if they need more than all.
        """

    @abc.abstractmethod
    def retry_after(
        self, waiting: waitingticket.Waiting, seconds: float, now: ids.Instant
    ) -> float:
        """Return the seconds after which the caller of a refused ticket may return.

        `seconds` is the predicted time until it would have got a slot.
        """


class AdmitByDeadline(Admission):
    """Refuses a ticket only if it can't start before its latest useful start."""

    def is_refused(
        self,
        waiting: waitingticket.Waiting,
        seconds: float,
        late_share: float,
        now: ids.Instant,
    ) -> bool:
        """See Admission."""
        return now + seconds > waiting.start_by

    def retry_after(
        self, waiting: waitingticket.Waiting, seconds: float, now: ids.Instant
    ) -> float:
        """See Admission."""
        return retry.wait_seconds(waiting.ticket.ticket_id, seconds)


BY_DEADLINE = AdmitByDeadline()
