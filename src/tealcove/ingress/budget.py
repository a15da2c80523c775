"""Limits retries per service over a sliding window."""

from __future__ import annotations

import collections
from collections.abc import Callable

import msgspec

from tealcove import ids

# Share of the allowance that is used: instances join and leave, and each computes its
# share from the number of instances that it knows of. The rest is for processes that
# have just started.
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
    the total holds without communication, also during a network partition. Nothing is
    known of the retries of the process that ran before this one: until they have left
    the window, a process uses only what no instance uses otherwise.
    """

    def __init__(
        self,
        allowance: Allowance,
        instances: Callable[[ids.Instant], int],
        started: ids.Instant,
    ) -> None:
        self.allowance = allowance
        # When this process started.
        self.started = started
        # Returns the number of instances that may be sharing the slack.
        self.instances = instances
        self.requests: dict[ids.PoolId, collections.deque[ids.Instant]] = {}
        self.retries: dict[ids.PoolId, collections.deque[ids.Instant]] = {}
        # Retries that were granted and have not been sent yet.
        self.reserved: collections.Counter[ids.PoolId] = collections.Counter()

    def record_request(self, service: ids.PoolId, now: ids.Instant) -> None:
        """Record the first attempt of a request."""
        self.in_window(self.requests, service, now).append(now)

    def reserve_retry(self, service: ids.PoolId, now: ids.Instant) -> bool:
        """Return whether a request may be retried, and reserve the retry if so.

        It counts until it is recorded or released: requests that wait for a slot would
        otherwise leave the window before they are sent.
        """
        if not self.can_retry(service, now):
            return False
        self.reserved[service] += 1
        return True

    def record_retry(self, service: ids.PoolId, now: ids.Instant) -> None:
        """Record that a reserved retry is sent."""
        self.release_retry(service)
        self.in_window(self.retries, service, now).append(now)

    def release_retry(self, service: ids.PoolId) -> None:
        """Cancel a reservation."""
        self.reserved[service] -= 1

    def can_retry(self, service: ids.PoolId, now: ids.Instant) -> bool:
        """Return whether a request may be retried, without recording anything."""
        sent = len(self.in_window(self.retries, service, now))
        return sent + self.reserved[service] + 1 <= self.max_retries(service, now)

    def max_retries(self, service: ids.PoolId, now: ids.Instant) -> float:
        """Return the number of retries to a service that the window may hold."""
        requests = len(self.in_window(self.requests, service, now))
        by_requests = self.allowance.ratio * requests
        if now - self.started < self.allowance.window:
            return (1.0 - USED_SHARE) * by_requests
        slack = self.allowance.slack / max(1, self.instances(now))
        return USED_SHARE * (by_requests + slack)

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
