"""Limits retries per service over a sliding window."""

from __future__ import annotations

import collections
from collections.abc import Callable

import msgspec

from tealcove import ids

# Share of the allowance that is used: instances join and leave, and each computes its
# share from the number of instances that it knows of.
USED_SHARE = 0.8


class Allowance(msgspec.Struct, frozen=True):
    """The operator's retry limits per service, for all instances together."""

    # Retries per request in the window.
    ratio: float
    # Retries beyond that, whatever the number of requests.
    slack: float
    # Seconds.
    window: float


class RetryBudget:
    """This instance's share of the retries to each service.

    Retries multiply the load of a service that is already failing. Each instance
    uses at most its share of the allowance, computed from its own requests, so that
    the total holds without communication, also during a network partition.
    """

    def __init__(self, allowance: Allowance, instances: Callable[[], int]) -> None:
        self.allowance = allowance
        # Returns the number of instances that share the slack now.
        self.instances = instances
        self.requests: dict[ids.PoolId, collections.deque[ids.Instant]] = {}
        self.retries: dict[ids.PoolId, collections.deque[ids.Instant]] = {}

    def record_request(self, service: ids.PoolId, now: ids.Instant) -> None:
        """Record the first attempt of a request."""
        self.in_window(self.requests, service, now).append(now)

    def take_retry(self, service: ids.PoolId, now: ids.Instant) -> bool:
        """Return whether a request may be retried, and record the retry if so."""
        if not self.can_retry(service, now):
            return False
        self.in_window(self.retries, service, now).append(now)
        return True

    def can_retry(self, service: ids.PoolId, now: ids.Instant) -> bool:
        """Return whether a request may be retried, without recording anything."""
        requests = len(self.in_window(self.requests, service, now))
        retries = self.in_window(self.retries, service, now)
        slack = self.allowance.slack / max(1, self.instances())
        most = USED_SHARE * (self.allowance.ratio * requests + slack)
        return len(retries) + 1 <= most

    def in_window(
        self,
        counted: dict[ids.PoolId, collections.deque[ids.Instant]],
        service: ids.PoolId,
        now: ids.Instant,
    ) -> collections.deque[ids.Instant]:
        """Drop a service's instants that left the window and return the rest."""
        found = counted.setdefault(service, collections.deque())
        while found and found[0] <= now - self.allowance.window:
            found.popleft()
        return found
