"""What backend servers state in their answers about further requests to them."""

from __future__ import annotations

import math

import logbook
import msgspec

from tealcove import ids
from tealcove.dispatch import messages

log = logbook.Logger("dispatch")

# Seconds for which a stated limit is kept.
LIMIT_KEPT_SECONDS = 60.0
NEVER = ids.Instant(-math.inf)


class RequestLimit(msgspec.Struct, frozen=True):
    """A server's limit on requests, for all instances together."""

    # Requests a second; None: there is no limit.
    rate: float | None


class Statement(msgspec.Struct, frozen=True):
    """What one answer of a server states."""

    # None if the answer says nothing of a limit.
    limit: RequestLimit | None = None
    # The server stops for good.
    is_leaving: bool = False
    # Seconds for which it wants no requests from this instance; 0: not stated.
    rest: float = 0.0


NOTHING = Statement()


class Known(msgspec.Struct):
    """What one start of a server has stated so far."""

    start: ids.ServerStart
    # The last limit and when the answer with it arrived.
    rate: float | None = None
    limit_at: ids.Instant = NEVER
    is_leaving: bool = False
    rest_until: ids.Instant = NEVER

    def is_over(self, now: ids.Instant) -> bool:
        """Tell whether no statement is in force any more."""
        has_limit = now - self.limit_at <= LIMIT_KEPT_SECONDS
        return not (has_limit or self.is_leaving or now < self.rest_until)

    def message(
        self, server: ids.BackendServerId, now: ids.Instant
    ) -> messages.ServerStatement:
        """Return what a dispatcher is told."""
        return messages.ServerStatement(
            server=server,
            start=self.start,
            rate=self.rate,
            age=now - self.limit_at,
            is_leaving=self.is_leaving,
            rest=max(0.0, self.rest_until - now),
        )


class Statements:
    """What the answers that this instance got state, by pool and server.

    Each ticket carries the statements of its pool, so that a new dispatcher knows them
    before it grants anything.
    """

    def __init__(self) -> None:
        self.known: dict[ids.PoolId, dict[ids.BackendServerId, Known]] = {}

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
        if not (has_limit or said.is_leaving or said.rest > 0.0):
            return None
        known = self.find_or_add(pool, grant)
        is_news = False
        if has_limit:
            known.rate, known.limit_at = said.limit.rate, now
            is_news = known.rate != grant.request_limit
        if said.is_leaving and not known.is_leaving:
            log.info("{} says that it leaves", grant.server)
            known.is_leaving = is_news = True
        rest_until = ids.Instant(now + said.rest)
        if said.rest > 0.0 and rest_until > known.rest_until:
            log.info("{} wants no requests for {:.1f} s", grant.server, said.rest)
            # A later answer doesn't shorten the time that an earlier one has named.
            known.rest_until, is_news = rest_until, True
        return known.message(grant.server, now) if is_news else None

    def find_or_add(self, pool: ids.PoolId, grant: messages.Grant) -> Known:
        """Return what is known of the start of the server that a grant names."""
        servers = self.known.setdefault(pool, {})
        found = servers.get(grant.server)
        if found is None or found.start != grant.start:
            found = servers[grant.server] = Known(grant.start)
        return found

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
