"""One request's use of the retry budget."""

from __future__ import annotations

from tealcove import ids
from tealcove.ingress import budget


class RequestRetries:
    """Reserves retries of one request and records its sendings in the budget."""

    def __init__(self, shared: budget.RetryBudget, service: ids.PoolId) -> None:
        self.budget = shared
        self.service = service
        self.is_sent = False
        # Whether a retry is reserved that has not been sent yet.
        self.is_reserved = False

    def is_allowed(self, now: ids.Instant) -> bool:
        """Return whether a retry would be allowed, without reserving it."""
        return self.budget.can_retry(self.service, now)

    def reserve(self, now: ids.Instant) -> bool:
        """Return whether a retry is allowed, and reserve it if it isn't yet."""
        if self.is_reserved:
            return True
        self.is_reserved = self.budget.reserve_retry(self.service, now)
        return self.is_reserved

    def record_sending(self, now: ids.Instant) -> None:
        """Record the first sending, or that of the reserved retry."""
        if not self.is_sent:
            self.budget.record_request(self.service, now)
        elif self.is_reserved:
            self.budget.record_retry(self.service, now)
            self.is_reserved = False
        self.is_sent = True

    def release(self) -> None:
        """Cancel the reservation of a retry that was not sent."""
        if self.is_reserved:
            self.budget.release_retry(self.service)
            self.is_reserved = False
