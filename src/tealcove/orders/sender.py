"""Sender of orders to engines; each is sent under the lease and recorded before."""

from __future__ import annotations

import enum

import logbook
import msgspec

from tealcove import clock, errors, ids
from tealcove.backends import engine
from tealcove.orders import intents, lease

log = logbook.Logger("orders")


class Outcome(enum.Enum):
    """Outcome of an order, as known after its call."""

    CARRIED_OUT = "carried_out"
    # It wasn't carried out and won't be.
    NOT_CARRIED_OUT = "not_carried_out"
    # The reply was lost: the engine may still carry it out.
    UNKNOWN = "unknown"


class OrderSender:
    """Send one pool's orders under one fencing number."""

    def __init__(
        self,
        engines: engine.EngineClient,
        book: intents.Intents,
        held: lease.Lease,
        longest_order: float,
    ) -> None:
        self.engines = engines
        self.intents = book
        self.lease = held
        self.longest_order = longest_order

    def may_send(self) -> bool:
        """Tell whether the lease is held now, under the number of the intents."""
        number_holds = self.lease.number == self.intents.number
        return number_holds and self.lease.held(clock.now())

    async def send(self, server: engine.Server, order: engine.Order) -> None:
        """Record and send an order; raises PlatformError if it can't be recorded.

        Only an order with a known outcome is cleared from the row.
        """
        numbered = msgspec.structs.replace(order, fencing=self.intents.number)
        await self.intents.begin(server.name, numbered)
        outcome = await self.call(server, numbered)
        if outcome is Outcome.UNKNOWN:
            return
        if outcome is Outcome.CARRIED_OUT:
            description = describe(order)
            log.info("{}: {}, number {}", server.name, description, numbered.fencing)
        await self.intents.end(server.name)

    async def raise_number(
        self, server: engine.Server, holding: engine.Holding
    ) -> None:
        """Make an engine that checks fencing numbers refuse all earlier ones.

        The order sets the role that the engine already has. It isn't recorded, because
        the predecessor's order must stay in the row until the engine is known to
        refuse it. Raises PlatformError if that order can't be cleared.
        """
        order = engine.Order(
            self.intents.number, engine.OrderKind.SET_ROLE, role=holding.role
        )
        if await self.call(server, order) is Outcome.CARRIED_OUT:
            log.info("{}: refuses numbers below {}", server.name, order.fencing)
            await self.intents.end(server.name)

    async def call(self, server: engine.Server, order: engine.Order) -> Outcome:
        """Send an order to its engine under the lease, and wait for the reply.

        An order whose reply is lost may still be carried out. Its engine gets no order
        for as long as the longest order takes, counted from before the call: the older
        order could otherwise undo a newer one.
        """
        began = clock.now()
        try:
            await self.engines.order(server, order, self.may_send, self.longest_order)
        except (engine.NotDispatchedError, engine.RefusedCallError) as error:
            log.warning("{}: {}", server.name, error)
            return Outcome.NOT_CARRIED_OUT
        except errors.BackendError as error:
            log.warning("{}: {}", server.name, error)
            until = ids.Instant(began + self.longest_order)
            self.intents.mark_unsettled(server.name, until)
            return Outcome.UNKNOWN
        return Outcome.CARRIED_OUT


def describe(order: engine.Order) -> str:
    """Format an order for a log line."""
    words = (order.order.value, order.name, order.version, order.role)
    return " ".join(word for word in words if word)
