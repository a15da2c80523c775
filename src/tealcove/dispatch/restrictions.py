"""What a backend server has stated of requests to it, as its dispatcher knows it."""

from __future__ import annotations

import logbook

from tealcove import ids
from tealcove.dispatch import messages, rejections, requestrate, statements

log = logbook.Logger("dispatch")

# Seconds by which a repeated statement may seem to end later, since it was sent later.
REPEAT_TOLERANCE = 0.1


class Restrictions:
    """The statements in force of one start of a server.

    A limit and the leaving bind all entries, a rest only the one that was told.
    """

    def __init__(self, server: ids.BackendServerId) -> None:
        self.server = server
        # The limit in requests a second, what may be granted within it, and when an
        # answer last said something of it.
        self.request_limit: float | None = None
        self.rate: requestrate.RequestRate | None = None
        self.limit_stated_at = statements.NEVER
        # Whether an answer said that the server leaves, for good.
        self.is_leaving = False
        # Until when the server wants no requests from an entry.
        self.rests: dict[ids.InstanceId, ids.Instant] = {}
        # When it last asked for that, and until when it is likely to reject others too.
        self.rejected_at = statements.NEVER
        self.rejects_until = statements.NEVER
        self.rejections = rejections.Rejections(self.server)

    def apply(
        self,
        entry: ids.InstanceId,
        stated: messages.ServerStatement,
        now: ids.Instant,
    ) -> None:
        """Apply what the server stated to an entry."""
        self.apply_limit(stated, now)
        self.apply_rest(entry, stated, now)
        self.rejections.apply_limit(
            stated.rejection_limit, ids.Instant(now - stated.rejection_limit_age)
        )
        if stated.is_leaving and not self.is_leaving:
            log.info("{} gets no more requests: it says that it leaves", self.server)
            self.is_leaving = True

    def apply_limit(self, stated: messages.ServerStatement, now: ids.Instant) -> None:
        """Apply a statement of a limit, unless a newer one is known."""
        stated_at = ids.Instant(now - stated.age)
        if stated_at <= self.limit_stated_at:
            return
        self.limit_stated_at = stated_at
        if stated.rate == self.request_limit:
            return
        log.info(
            "{} limits its requests a second to {}, {} before",
            self.server,
            stated.rate,
            self.request_limit,
        )
        self.request_limit = stated.rate
        if stated.rate is None:
            self.rate = None
        elif self.rate is None:
            self.rate = requestrate.RequestRate(stated.rate, now)
        else:
            self.rate.change(stated.rate, now)

    def apply_rest(
        self,
        entry: ids.InstanceId,
        stated: messages.ServerStatement,
        now: ids.Instant,
    ) -> None:
        """Apply a rest; a shorter one doesn't end it earlier."""
        until = ids.Instant(now + stated.rest)
        if stated.rest <= 0.0 or until <= self.rest_until(entry) + REPEAT_TOLERANCE:
            return
        log.info(
            "{} wants no requests of {} for {:.1f} s", self.server, entry, stated.rest
        )
        self.rests = {one: at for one, at in self.rests.items() if at > now}
        self.rests[entry] = until
        self.rejected_at = now
        self.rejects_until = max(self.rejects_until, until)

    def rest_until(self, entry: ids.InstanceId) -> ids.Instant:
        """Return until when the server wants no requests from an entry."""
        return self.rests.get(entry, statements.NEVER)

    def end_rest(self, entry: ids.InstanceId) -> None:
        """Forget the rest of an entry, whose process has ended."""
        self.rests.pop(entry, None)

    def may_reject(self, now: ids.Instant) -> bool:
        """Tell whether the server rejected a request lately and has run none since."""
        return now < self.rejects_until

    def record_service(self, started: ids.Instant) -> None:
        """Record that a request that was granted at an instant runs, or has run."""
        if started >= self.rejected_at:
            self.rejects_until = statements.NEVER
        self.rejections.record_service(started)

    def record_grant(self, now: ids.Instant) -> None:
        """Count a granted request against the limit."""
        if self.rate is not None:
            self.rate.take(now)
