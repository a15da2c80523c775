"""Gives orders to engines, each under the lease and written down before."""

from __future__ import annotations

import logbook
import msgspec

from tealcove import clock, errors, ids
from tealcove.backends import engine
from tealcove.orders import intents, lease

log = logbook.Logger("orders")


class Giver:
    """Gives one pool's orders under one fencing number."""

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

    def may_give(self) -> bool:
        """Tell whether the lease is held now, under the number of the intents."""
        number_holds = self.lease.number == self.intents.number
        return number_holds and self.lease.held(clock.now())

    async def give(self, server: engine.Server, order: engine.Order) -> bool:
        """Give an order; False when it wasn't carried out, or maybe not.

        Raises PlatformError when it couldn't be written down, so wasn't given.
        """
        numbered = msgspec.structs.replace(order, fencing=self.intents.number)
        await self.intents.begin(server.name, numbered)
        began = clock.now()
        try:
            await self.engines.order(
                server, numbered, self.may_give, self.longest_order
            )
        except (engine.NotDispatchedError, engine.RefusedCallError) as error:
            log.warning("{}: {}", server.name, error)
            await self.intents.end(server.name)
            return False
        except errors.BackendError as error:
            log.warning("{}: {}", server.name, error)
            until = ids.Instant(began + self.longest_order)
            self.intents.doubt(server.name, until)
            return False
        number = numbered.fencing
        log.info("{}: {}, number {}", server.name, describe(order), number)
        await self.intents.end(server.name)
        return True

    async def raise_number(
        self, server: engine.Server, holding: engine.Holding
    ) -> None:
        """Make an engine that checks numbers refuse all earlier ones.

        The order asks for what is so already. It isn't written down, because the
        predecessor's has to stand until the engine is known to refuse it. Raises
        PlatformError when that couldn't be cleared.
        """
        order = engine.Order(
            self.intents.number, engine.OrderKind.SET_ROLE, role=holding.role
        )
        began = clock.now()
        try:
            await self.engines.order(server, order, self.may_give, self.longest_order)
        except (engine.NotDispatchedError, engine.RefusedCallError) as error:
            log.warning("{}: {}", server.name, error)
            return
        except errors.BackendError as error:
            log.warning("{}: {}", server.name, error)
            until = ids.Instant(began + self.longest_order)
            self.intents.doubt(server.name, until)
            return
        log.info("{}: refuses numbers below {}", server.name, order.fencing)
        await self.intents.end(server.name)


def describe(order: engine.Order) -> str:
    """Return an order as a log line shows it."""
    words = (order.order.value, order.name, order.version, order.role)
    return " ".join(word for word in words if word)
