"""Interface by which a scheduler refuses tickets under overload."""

from __future__ import annotations

import abc
from collections.abc import Iterable, Mapping, Sequence

from tealcove import ids
from tealcove.dispatch import (
    accountshares,
    inflow,
    messages,
    notices,
    retry,
    waitingticket,
)


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
        self,
        waiting: waitingticket.Waiting,
        seconds: float,
        now: ids.Instant,
        least: float = 0.0,
    ) -> float:
        """Return the seconds after which the caller of a refused ticket may return.

        `seconds` is the predicted time until it would have got a slot, and `least` the
        time until its account's use is within its share.
        """

    def observe(self, slots: int, arriving: inflow.Inflow, now: ids.Instant) -> None:
        """Record the number of slots and the arriving work, as of a forecast."""
        return

    def record_arrival(self, waiting: waitingticket.Waiting, now: ids.Instant) -> None:
        """Record that a ticket has joined the line."""
        return

    def record_grant(self, waiting: waitingticket.Waiting, now: ids.Instant) -> None:
        """Record that a ticket was granted a slot."""
        return

    def record_local_refusal(
        self, ticket: messages.Ticket, promised_at: ids.Instant | None, now: ids.Instant
    ) -> None:
        """Record a refusal by an entry, and when its caller was promised a slot."""
        return

    def notices(
        self, has_free_slots: bool, now: ids.Instant
    ) -> Mapping[ids.InstanceId, Sequence[notices.RefusedFlow]]:
        """Return what entries may refuse by themselves until they are told anew."""
        return {}

    def expect_returns(self, until: ids.Instant) -> None:
        """Expect promises of other dispatchers until an instant."""
        return

    def restore(self, promised: messages.PromisedReturn, at: ids.Instant) -> None:
        """Record a return that another dispatcher has promised for an instant."""
        return

    def explain(
        self, waiting: waitingticket.Waiting, seconds: float, now: ids.Instant
    ) -> str:
        """Return what decided on a refused ticket, for its log line; may be empty."""
        return ""


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
        self,
        waiting: waitingticket.Waiting,
        seconds: float,
        now: ids.Instant,
        least: float = 0.0,
    ) -> float:
        """See Admission."""
        return retry.wait_seconds(waiting.ticket.ticket_id, max(seconds, least))


BY_DEADLINE = AdmitByDeadline()


def in_fair_order(
    refused: Iterable[tuple[waitingticket.Waiting, float]],
    accounts: accountshares.AccountShares,
    now: ids.Instant,
) -> list[tuple[waitingticket.Waiting, float, float]]:
    """Return refused tickets in the order in which their returns are planned.

    Accounts within their share come first. Each ticket has the seconds until it would
    have got a slot, and those until its account is within its share.
    """
    standings = [
        (accounts.standing(waiting.ticket, now), waiting, seconds)
        for waiting, seconds in refused
    ]
    standings.sort(key=lambda one: one[0].is_over)
    return [
        (waiting, seconds, standing.seconds) for standing, waiting, seconds in standings
    ]
