"""Reads the state of backend servers for a dispatcher."""

from __future__ import annotations

from collections.abc import Callable

import logbook
import msgspec

from tealcove import clock, errors, ids
from tealcove.backends import engine
from tealcove.dispatch import holds, messages
from tealcove.storage import instances

log = logbook.Logger("dispatch")

LEAVING = "leaving"

Holdings = dict[ids.BackendServerId, engine.Holding]


class Reader:
    """Reads backend servers; a failed read returns None."""

    def __init__(
        self,
        engines: engine.EngineClient,
        listed: Callable[[], tuple[instances.ListedInstance, ...]],
        held: holds.Holds,
    ) -> None:
        self.engines = engines
        # Returns the platform's list as last read, which lags behind.
        self.listed = listed
        self.holds = held

    async def load(self, server: engine.Server) -> engine.LoadReport | None:
        """Return a load report, with state "leaving" if any source says so."""
        try:
            load = await self.engines.load(server)
            state = await self.engines.state(server)
        except errors.BackendError as error:
            log.debug("no load report: {}", error)
            return None
        is_held = self.holds.is_held(server.host, server.port, clock.now())
        if is_held or state == LEAVING or self.is_listed_as_leaving(server):
            return msgspec.structs.replace(load, state=LEAVING)
        return load

    def is_listed_as_leaving(self, server: engine.Server) -> bool:
        """Tell whether the platform lists a server as leaving."""
        return any(
            listed.kind is instances.ListedKind.BACKEND_SERVER
            and listed.state is instances.ListedState.LEAVING
            and (listed.host, listed.http_port) == (server.host, server.port)
            for listed in self.listed()
        )

    async def holding(self, server: engine.Server) -> engine.Holding | None:
        """Return the models and adapters that an engine has loaded."""
        try:
            return await self.engines.holding(server)
        except errors.BackendError as error:
            log.debug("no models and adapters: {}", error)
            return None

    async def events(
        self, server: engine.Server, after: int
    ) -> engine.CacheEvents | None:
        """Return the changes of an engine's prefix cache after a sequence number."""
        try:
            return await self.engines.cache_events(server, after)
        except errors.BackendError as error:
            log.debug("no cache events: {}", error)
            return None


def exclude_unequipped(ticket: messages.Ticket, found: Holdings) -> messages.Ticket:
    """Return a ticket that excludes the engines which lack its model or adapter.

    After a change of a pool's model, and on a new engine, loading takes time. Until
    then an engine answers 404, which would be passed on to the caller.
    """
    unequipped = tuple(
        server for server, holding in found.items() if is_unequipped(holding, ticket)
    )
    if not unequipped:
        return ticket
    return msgspec.structs.replace(ticket, excluded=(*ticket.excluded, *unequipped))


def is_unequipped(holding: engine.Holding, ticket: messages.Ticket) -> bool:
    """Tell whether an engine lacks a ticket's model or adapter."""
    if ticket.model and ticket.model not in holding.models:
        return True
    return ticket.adapter is not None and ticket.adapter not in holding.adapters
