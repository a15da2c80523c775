"""Test data for accounts: instances on a lossy network and an unreliable store."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from tealcove import errors, ids
from tealcove.accounts import orders, role
from tealcove.dispatch import accountshares
from tealcove.membership import members
from tealcove.membership import messages as membership_messages
from tealcove.peers import endpoint, message
from tealcove.storage import faults, memory, table

BAKERY = ids.AccountId("bakery")
FLORIST = ids.AccountId("florist")
FALLBACK_WEIGHT = 7.0
NOW = ids.Instant(0.0)


def order(
    weight: float | None, revision: int, account: str = BAKERY
) -> orders.WeightOrder:
    return orders.WeightOrder(ids.AccountId(account), weight, revision)


def new_table() -> memory.MemoryTableService:
    return memory.MemoryTableService(faults.Gate())


class FixedWeights(accountshares.AccountWeights):
    """Gives all accounts the same weight."""

    def weight(self, account: ids.AccountId) -> float:
        """See AccountWeights."""
        return FALLBACK_WEIGHT


class FailingTable(table.TimedTable):
    """A table whose next writes fail before or after they are applied."""

    def __init__(self, inner: memory.MemoryTableService) -> None:
        self.inner = inner
        # Called before the next write, such as another operator's order.
        self.before: Callable[[], Awaitable[None]] | None = None
        # Called after each write whose reply is lost.
        self.after: Callable[[], None] = lambda: None
        # Whether each of the next writes is applied; their replies are lost.
        self.lost: list[bool] = []
        self.calls = 0

    async def commit(self, transaction: table.Transaction) -> table.Committed:
        """See the base class."""
        self.calls += 1
        before, self.before = self.before, None
        if before is not None:
            await before()
        if not self.lost:
            return await self.inner.commit(transaction)
        if self.lost.pop(0):
            await self.inner.commit(transaction)
        self.after()
        raise errors.OutcomeUnknownError("the reply was lost", "Read the row.")

    async def read_at(self, table_name: str, key: str) -> table.Reading:
        """See the base class."""
        self.calls += 1
        return await self.inner.read_at(table_name, key)

    async def scan(
        self, table: str, after: str = "", limit: int = 1000
    ) -> tuple[table.Row, ...]:
        """See the base class."""
        self.calls += 1
        return await self.inner.scan(table, after, limit)


class Network:
    """Keeps messages until the test delivers or loses them."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.underway: list[tuple[int, message.Message]] = []
        self.sent = 0

    def deliver(self, index: int, keeps: bool = False) -> None:
        """Deliver one message; `keeps` leaves it underway, to arrive again."""
        index %= len(self.underway)
        recipient, sent = self.underway[index]
        if not keeps:
            del self.underway[index]
        at = self.instances.get(recipient)
        if at is not None:
            at.handlers[type(sent)](ids.InstanceId("sender"), sent)

    def deliver_all(self) -> None:
        while self.underway:
            self.deliver(0)


class Link:
    """The mesh of one instance."""

    def __init__(self, network: Network, handlers: dict) -> None:
        self.network = network
        self.handlers = handlers

    def handle(self, message_type: type[message.Message], handler: Callable) -> None:
        self.handlers[message_type] = handler

    def send(self, peer: endpoint.Endpoint, sent: message.Message) -> bool:
        self.network.sent += 1
        self.network.underway.append((peer.port, sent))
        return True


class Heart:
    """A heartbeat service that only holds listeners."""

    def __init__(self) -> None:
        self.listeners: list[Callable] = []


class Instance:
    """One incarnation of an instance that keeps orders."""

    def __init__(self, network: Network, number: int, rows: table.TimedTable) -> None:
        self.number = number
        self.handlers: dict[type[message.Message], Callable] = {}
        self.heart = Heart()
        own = membership_messages.Heartbeat(
            instance=ids.InstanceId(f"i-{number}"),
            incarnation=ids.new_incarnation(),
            lifecycle=membership_messages.Lifecycle.SERVING,
            data_centre=ids.DataCentreId("dc"),
            host="127.0.0.1",
            http_port=1,
            peer_host="127.0.0.1",
            peer_port=number,
            revision=ids.Revision(1),
        )
        self.members = members.Members(own, 1e9, 1e9)
        self.weights = role.OrderedWeights(
            Link(network, self.handlers),
            self.members,
            self.heart,
            rows,
            FixedWeights(),
        )
        self.weights.sharer.start()
        self.weights.sharer.update_heartbeat(NOW)
        network.instances[number] = self

    def hear(self, other: Instance) -> None:
        """Receive the heartbeat of another instance."""
        self.members.record_heartbeat(other.members.own, NOW)
        # Each message to peers that differ would otherwise need a second of waiting.
        self.weights.sharer.next_sync = ids.Instant(float("-inf"))
        for listener in self.heart.listeners:
            listener(other.members.own)


async def until(check: Callable[[], bool]) -> None:
    """Wait until a check holds; the timeout far exceeds any normal wait."""
    async with asyncio.timeout(30.0):
        while not check():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


def new_group(count: int, rows: table.TimedTable) -> tuple[Network, list[Instance]]:
    """Return instances that know each other."""
    network = Network()
    found = [Instance(network, number, rows) for number in range(count)]
    greet(found)
    return network, found


def greet(found: list[Instance]) -> None:
    """Let all instances hear each other."""
    for one in found:
        for other in found:
            if one is not other:
                one.hear(other)
