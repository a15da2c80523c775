"""How often requests may be sent once more, over a sliding window."""

from __future__ import annotations

import collections
from collections.abc import Callable

import msgspec

from tealcove import ids

# Part of the allowance that is used: instances come and go, and each counts its
# part by the number of instances that it knows.
USED_SHARE = 0.8


class Allowance(msgspec.Struct, frozen=True):
    """What the operator allows all instances together for each service."""

    # Repeats for each request of the window.
    ratio: float
    # Repeats besides.
    slack: float
    window: float


class RetryBudget:
    """This instance's part of the repeats to each service.

    Repeats multiply the load of a service that fails already. Each instance uses
    no more than its part of the allowance by what it has seen itself, so that the
    sum holds without a word between instances, also when they are cut off.
    """

    def __init__(self, allowance: Allowance, instances: Callable[[], int]) -> None:
        self.allowance = allowance
        # How many instances share the slack at present.
        self.instances = instances
        self.requests: dict[ids.PoolId, collections.deque[ids.Instant]] = {}
        self.retries: dict[ids.PoolId, collections.deque[ids.Instant]] = {}

    def record_request(self, service: ids.PoolId, now: ids.Instant) -> None:
        """Count a request that is sent for the first time."""
        self.in_window(self.requests, service, now).append(now)

    def take_retry(self, service: ids.PoolId, now: ids.Instant) -> bool:
        """Tell whether a request may be sent once more, and count it if so."""
        if not self.can_retry(service, now):
            return False
        self.in_window(self.retries, service, now).append(now)
        return True

    def can_retry(self, service: ids.PoolId, now: ids.Instant) -> bool:
        """Tell whether a request may be sent once more, and count nothing."""
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
        """Return the instants of a service that still lie in the window."""
        found = counted.setdefault(service, collections.deque())
        while found and found[0] <= now - self.allowance.window:
            found.popleft()
        return found
