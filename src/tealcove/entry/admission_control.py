"""Checks of an accepted request before it may ask for a slot."""

from __future__ import annotations

from tealcove import clock, ids
from tealcove.dispatch import messages
from tealcove.entry import caller, problem
from tealcove.limits import admission
from tealcove.quarantine import role as quarantine_role

QUARANTINED = (
    "Backend servers crashed while they ran a request of this content. "
    "Don't send it again before the time in Retry-After is over."
)


class AdmissionControl:
    """Refuses quarantined content and accounts that are over their limit."""

    def __init__(
        self, quarantine: quarantine_role.Quarantine, limits: admission.Admission
    ) -> None:
        self.quarantine = quarantine
        self.limits = limits

    async def admit(
        self, sender: caller.Caller, digest: str, tokens: int, request: ids.RequestId
    ) -> admission.Charge:
        """Return the charge of the predicted tokens; raises ProblemError (not run)."""
        if self.quarantine.has_quarantined(digest, (), clock.now()):
            raise problem.not_run(
                messages.RefusalReason.QUARANTINED,
                self.remaining(digest),
                QUARANTINED,
            )
        try:
            return await self.limits.admit(sender.account, tokens, request)
        except admission.OverLimitError as error:
            raise problem.not_run(
                messages.RefusalReason.ACCOUNT_LIMIT, error.retry_after, str(error)
            ) from error

    def remaining(self, digest: str) -> float:
        """Return the seconds until the quarantine of a content ends."""
        return self.quarantine.remaining(digest, (), clock.now())

    def report_server_lost(
        self,
        ticket: messages.Ticket,
        server: ids.BackendServerId,
        alone: bool,
        sent: ids.Instant,
        is_writing: bool,
    ) -> None:
        """Report that a server refuses connections while it should run a request."""
        now = clock.now()
        self.quarantine.lost(ticket, server, alone, sent, now, is_writing)
