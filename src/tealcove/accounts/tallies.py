"""Counts of callers' requests by account, kind and how they ended."""

from __future__ import annotations

import collections
import enum
from collections.abc import Iterator

import msgspec

from tealcove import ids, measuring
from tealcove.accounts import labels

# Routes with a label of their own; further ones are counted as `other`, so that a long
# configuration doesn't multiply the series.
MAX_ROUTES = 16


class Result(enum.Enum):
    """How a request ended, as its caller sees it."""

    # Served, with the first event (or the answer of a call) within the route's goal,
    # and for streams without a pause above the route's gap.
    IN_TIME = "in_time"
    LATE = "late"
    # Not run; the reason is that of the answer.
    REFUSED = "refused"
    # Sent to a server, without a complete answer.
    FAILED = "failed"
    CALLER_GONE = "caller_gone"


class Ended(msgspec.Struct, frozen=True):
    """One request that has ended."""

    account: ids.AccountId
    route: str
    urgency: int
    result: Result
    reason: str = ""
    # Seconds from its arrival until a slot was granted; None: none was.
    waited: float | None = None


class Kind(msgspec.Struct, frozen=True):
    """The labels under which requests of one kind are counted."""

    account: str
    route: str
    urgency: str


class Ending(msgspec.Struct, frozen=True):
    """A result with its reason."""

    result: Result
    reason: str


class Tally:
    """The counts of one kind."""

    def __init__(self) -> None:
        self.ended: dict[Ending, int] = {}
        self.waited = measuring.Series()


class Totals(msgspec.Struct, frozen=True):
    """The counts of one account over all kinds, for operators."""

    in_time: int = 0
    late: int = 0
    refused: dict[str, int] = {}
    failed: int = 0
    caller_gone: int = 0
    # Requests that were granted a slot, and the mean of their waits in seconds.
    granted: int = 0
    mean_wait: float = 0.0


class Tallies:
    """The counts of an instance; their number is bounded."""

    def __init__(self, data_centre: ids.DataCentreId) -> None:
        self.data_centre = data_centre
        self.labels = labels.AccountLabels()
        self.routes: set[str] = set()
        self.tallies: dict[Kind, Tally] = {}

    def add(self, ended: Ended, now: ids.Instant) -> None:
        """Count a request that has ended."""
        if ended.account:
            lost = self.labels.count(ended.account, now)
            if lost is not None:
                self.remove(lost)
        kind = self.kind_of(ended)
        tally = self.tallies.get(kind)
        if tally is None:
            tally = self.tallies[kind] = Tally()
        ending = Ending(ended.result, ended.reason)
        tally.ended[ending] = tally.ended.get(ending, 0) + 1
        if ended.waited is not None:
            tally.waited.record(ended.waited)

    def kind_of(self, ended: Ended) -> Kind:
        """Return the labels of a request."""
        account = self.labels.label(ended.account)
        if len(self.routes) < MAX_ROUTES:
            self.routes.add(ended.route)
        if ended.route in self.routes:
            return Kind(account, ended.route, str(ended.urgency))
        return Kind(account, labels.OTHER, "")

    def remove(self, account: ids.AccountId) -> None:
        """End the series of an account, which counts as `other` from now on.

        Its counts aren't added to `other`: the rate of that series would jump.
        """
        for kind in [one for one in self.tallies if one.account == account]:
            del self.tallies[kind]

    def totals(self, account: ids.AccountId) -> Totals | None:
        """Return an account's counts, or None if it counts as `other`."""
        if account not in self.labels.named:
            return None
        found = [t for kind, t in self.tallies.items() if kind.account == account]
        results: collections.Counter[Result] = collections.Counter()
        refused: collections.Counter[str] = collections.Counter()
        for tally in found:
            for ending, number in tally.ended.items():
                results[ending.result] += number
                if ending.result is Result.REFUSED:
                    refused[ending.reason] += number
        granted = sum(sum(tally.waited.counts) for tally in found)
        waited = sum(tally.waited.sum for tally in found)
        return Totals(
            in_time=results[Result.IN_TIME],
            late=results[Result.LATE],
            refused=dict(refused),
            failed=results[Result.FAILED],
            caller_gone=results[Result.CALLER_GONE],
            granted=granted,
            mean_wait=waited / granted if granted else 0.0,
        )

    def count_samples(self) -> Iterator[measuring.Sample[float]]:
        """Yield the counts of requests with their labels."""
        for kind, tally in self.tallies.items():
            for ending, number in tally.ended.items():
                found = self.metric_labels(kind)
                found["result"] = ending.result.value
                found["reason"] = ending.reason
                yield measuring.Sample(found, float(number))

    def wait_samples(self) -> Iterator[measuring.Sample[measuring.Series]]:
        """Yield the waits with their labels."""
        for kind, tally in self.tallies.items():
            yield measuring.Sample(self.metric_labels(kind), tally.waited)

    def metric_labels(self, kind: Kind) -> dict[str, str]:
        """Return the labels of a kind in metrics."""
        return {
            "account": kind.account,
            "route": kind.route,
            "urgency": kind.urgency,
            "data_centre": self.data_centre,
        }
