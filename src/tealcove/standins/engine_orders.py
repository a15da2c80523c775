"""The models, adapters and role of an engine, and the orders that change them."""

from __future__ import annotations

import asyncio
import enum

import msgspec

from tealcove.standins import engine_counts, engine_settings


class OrderKind(enum.Enum):
    """The kind of change that an order requests."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_ROLE = "set_role"


class Order(msgspec.Struct, frozen=True):
    """The desired state of one model, adapter or role, sent by the lease holder."""

    fencing: int
    order: OrderKind
    name: str = ""
    version: str = ""
    role: str = ""


class Fencing(msgspec.Struct, frozen=True):
    """The highest fencing number seen."""

    fencing: int


class Holding(msgspec.Struct):
    """The state of an engine; before any order its fencing number is 0."""

    models: dict[str, str]
    adapters: dict[str, str]
    role: str
    fencing: int = 0


class Orders:
    """Carries out orders one at a time."""

    def __init__(
        self,
        settings: engine_settings.EngineSettings,
        counts: engine_counts.EngineCounts,
    ) -> None:
        self.settings = settings
        self.counts = counts
        self.lock = asyncio.Lock()
        self.holding = Holding(
            dict(settings.models), dict(settings.adapters), settings.role
        )

    async def carry_out(self, order: Order, running: int = 0) -> bool:
        """Carry an order out; return False if its fencing number is too low.

        `running` is the number of admitted requests; it is only recorded.
        """
        async with self.lock:
            is_stale = order.fencing < self.holding.fencing
            accepted = not (is_stale and self.settings.checks_fencing)
            self.record(order, accepted, running)
            if accepted:
                self.holding.fencing = max(self.holding.fencing, order.fencing)
                await self.apply(order)
            return accepted

    def record(self, order: Order, accepted: bool, running: int) -> None:
        """Record an order, whether accepted or refused."""
        seen = engine_counts.OrderSeen(
            fencing=order.fencing,
            order=order.order.value,
            name=order.name,
            version=order.version,
            role=order.role,
            accepted=accepted,
            running=running,
        )
        self.counts.orders.append(seen)

    async def apply(self, order: Order) -> None:
        """Change to the desired state."""
        match order.order:
            case OrderKind.LOAD_MODEL:
                await self.load(self.holding.models, order)
            case OrderKind.LOAD_ADAPTER:
                await self.load(self.holding.adapters, order)
            case OrderKind.UNLOAD_MODEL:
                self.holding.models.pop(order.name, None)
            case OrderKind.UNLOAD_ADAPTER:
                self.holding.adapters.pop(order.name, None)
            case OrderKind.SET_ROLE:
                self.holding.role = order.role

    async def load(self, versions: dict[str, str], order: Order) -> None:
        """Load a version, which takes `load_seconds` unless it is loaded already.

        The previous version is unloaded first, since memory can't hold both.
        """
        if versions.get(order.name) == order.version:
            return
        versions.pop(order.name, None)
        await asyncio.sleep(self.settings.load_seconds)
        versions[order.name] = order.version
