"""What backend servers state in their answers about further requests to them."""

from __future__ import annotations

import math

import logbook
import msgspec

from tealcove import ids
from tealcove.dispatch import cells, messages

log = logbook.Logger("dispatch")

# Seconds for which dispatchers are told of a limit, or that a server leaves.
KEPT_SECONDS = 60.0
# Starts of servers that left which are remembered.
MAX_LEFT = 4000
# Seconds after which an unchanged limit on rejections is passed on again.
CONFIRM_SECONDS = 10.0
NEVER = ids.Instant(-math.inf)


class RequestLimit(msgspec.Struct, frozen=True):
    """A server's limit on requests, for all instances together."""

    # Requests a second; None: there is no limit.
    rate: float | None


class RejectionLimit(msgspec.Struct, frozen=True):
    """How many requests a brittle server may reject before it falls over."""

    # Requests in a second; None: the server isn't brittle.
    most: float | None


class Statement(msgspec.Struct, frozen=True):
    """What one answer of a server states."""

    # None if the answer says nothing of a limit.
    limit: RequestLimit | None = None
    # The server stops for good.
    is_leaving: bool = False
    # Seconds for which it wants no requests from this instance; 0: not stated.
    rest: float = 0.0
    # None if the answer says nothing of it.
    rejections: RejectionLimit | None = None
    # None if the answer states no load, or none that can be read.
    load: messages.StatedLoad | None = None


NOTHING = Statement()


class Known(msgspec.Struct):
    """What one start of a server has stated so far."""

    start: ids.ServerStart
    # The last limit and when the answer with it arrived.
    rate: float | None = None
    limit_at: ids.Instant = NEVER
    # When an answer last said that it leaves.
    leaving_at: ids.Instant = NEVER
    rest_until: ids.Instant = NEVER
    # How many requests it may reject in a second, and when an answer last said so.
    rejection_limit: float | None = None
    rejection_limit_at: ids.Instant = NEVER

    def is_over(self, now: ids.Instant) -> bool:
        """Tell whether there is nothing that dispatchers must be told any more."""
        newest = max(self.limit_at, self.leaving_at, self.rejection_limit_at)
        return now - newest > KEPT_SECONDS and now >= self.rest_until

    def message(
        self, server: ids.BackendServerId, now: ids.Instant
    ) -> messages.ServerStatement:
        """Return what a dispatcher is told."""
        has_limit = now - self.limit_at <= KEPT_SECONDS
        return messages.ServerStatement(
            server=server,
            start=self.start,
            rate=self.rate if has_limit else None,
            age=now - self.limit_at if has_limit else math.inf,
            is_leaving=now - self.leaving_at <= KEPT_SECONDS,
            rest=max(0.0, self.rest_until - now),
            rejection_limit=self.rejection_limit,
            rejection_limit_age=now - self.rejection_limit_at,
        )


class Statements:
    """What the answers that this instance got state, by pool and server.

    Each ticket carries the statements of its pool, so that a new dispatcher knows them
    before it grants anything.
    """

    def __init__(self) -> None:
        self.known: dict[ids.PoolId, dict[ids.BackendServerId, Known]] = {}
        # The starts of servers that said that they leave, which holds for good.
        self.left: dict[ids.BackendServerId, ids.ServerStart] = {}

    def record(
        self,
        pool: ids.PoolId,
        grant: messages.Grant,
        said: Statement,
        now: ids.Instant,
    ) -> messages.ServerStatement | None:
        """Record an answer to a granted request; return what is news, if anything.

        Without a limit, an answer counts only if its request was granted under one: an
        answer from before the limit may arrive after another that names it.
        """
        has_limit = said.limit is not None and not (
            said.limit.rate is None and grant.request_limit is None
        )
        has_rejections = self.is_rejection_news(pool, grant, said, now)
        if not (has_limit or said.is_leaving or said.rest > 0.0 or has_rejections):
            return None
        known = self.find_or_add(pool, grant)
        is_news = has_rejections
        if has_rejections:
            known.rejection_limit = said.rejections.most
            known.rejection_limit_at = now
        if has_limit:
            known.rate, known.limit_at = said.limit.rate, now
            is_news = known.rate != grant.request_limit
        if said.is_leaving:
            known.leaving_at = now
            if not self.has_left(grant):
                log.info("{} says that it leaves", grant.server)
                self.add_left(grant)
                is_news = True
        rest_until = ids.Instant(now + said.rest)
        if said.rest > 0.0 and rest_until > known.rest_until:
            log.info("{} wants no requests for {:.1f} s", grant.server, said.rest)
            # A later answer doesn't shorten the time that an earlier one has named.
            known.rest_until, is_news = rest_until, True
        return known.message(grant.server, now) if is_news else None

    def is_rejection_news(
        self,
        pool: ids.PoolId,
        grant: messages.Grant,
        said: Statement,
        now: ids.Instant,
    ) -> bool:
        """Tell whether an answer changes or confirms a limit on rejections."""
        if said.rejections is None:
            return False
        known = self.find(pool, grant)
        before = None if known is None else known.rejection_limit
        if said.rejections.most != before:
            return True
        is_stale = (
            known is not None and now - known.rejection_limit_at > CONFIRM_SECONDS
        )
        return before is not None and is_stale

    def has_left(self, grant: messages.Grant) -> bool:
        """Tell whether the server that a grant names said that it leaves."""
        return self.left.get(grant.server) == grant.start

    def add_left(self, grant: messages.Grant) -> None:
        """Remember a start of a server that leaves."""
        self.left[grant.server] = grant.start
        if len(self.left) > MAX_LEFT:
            del self.left[next(iter(self.left))]

    def usable_in(self, grant: messages.Grant, now: ids.Instant) -> float:
        """Return the seconds until a server may get a request; infinite if it left."""
        if self.has_left(grant):
            return math.inf
        known = self.find(cells.pool_of(grant.cell), grant)
        return 0.0 if known is None else max(0.0, known.rest_until - now)

    def repeat_leaving(
        self, pool: ids.PoolId, grant: messages.Grant, now: ids.Instant
    ) -> None:
        """Tell dispatchers again of a server that left, since one has granted it."""
        if self.has_left(grant):
            self.find_or_add(pool, grant).leaving_at = now

    def find_or_add(self, pool: ids.PoolId, grant: messages.Grant) -> Known:
        """Return what is known of the start of the server that a grant names."""
        found = self.find(pool, grant)
        if found is None:
            found = Known(grant.start)
            self.known.setdefault(pool, {})[grant.server] = found
        return found

    def find(self, pool: ids.PoolId, grant: messages.Grant) -> Known | None:
        """Return what is known of the start of the server that a grant names."""
        found = self.known.get(pool, {}).get(grant.server)
        return None if found is None or found.start != grant.start else found

    def of_pool(
        self, pool: ids.PoolId, now: ids.Instant
    ) -> tuple[messages.ServerStatement, ...]:
        """Return the statements of a pool's servers, and drop those that are over."""
        servers = self.known.get(pool)
        if servers is None:
            return ()
        for name in [name for name, known in servers.items() if known.is_over(now)]:
            del servers[name]
        if not servers:
            del self.known[pool]
        return tuple(known.message(name, now) for name, known in servers.items())
