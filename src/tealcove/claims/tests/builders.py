"""Instances that take claims in one in-memory platform, in virtual time."""

from __future__ import annotations

import asyncio
import contextlib
import selectors
from collections.abc import Awaitable, Iterator
from typing import Any
from unittest import mock

from tealcove import clock, errors, ids
from tealcove.claims import claim, claimer, writer
from tealcove.membership import members, messages
from tealcove.peers import endpoint, message
from tealcove.storage import memory, table

HEARTBEAT_SECONDS = 0.25
BATCH_INTERVAL = 0.02
WRITERS = 2
DEADLINE = 5.0
CALL_TIMEOUT = 2.0
DELAY = 0.001
# Seconds until a duplicate is delivered; its request has long ended by then.
DUPLICATE_DELAY = 0.7


class VirtualSelector(selectors.SelectSelector):
    """A selector that advances the loop's clock in place of waiting."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("deadlock: no events and no timers are left")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances only when no callback is ready."""

    def __init__(self) -> None:
        self.virtual_selector = VirtualSelector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        return self.virtual_selector.now


@contextlib.contextmanager
def virtual_time() -> Iterator[VirtualLoop]:
    """Provide a virtual loop whose clock replaces `clock.now`."""
    loop = VirtualLoop()
    with mock.patch.object(clock, "now", loop.time):
        yield loop
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
    loop.close()


class Bus:
    """Delivers messages between instances, and loses or duplicates them."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.duplicating = False
        self.delay = DELAY
        self.cut: set[int] = set()

    def send(self, source: int, target: int, sent: message.Message) -> None:
        if {source, target} & self.cut:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.delay, self.deliver, source, target, sent)
        if self.duplicating:
            loop.call_later(DUPLICATE_DELAY, self.deliver, source, target, sent)

    def deliver(self, source: int, target: int, sent: message.Message) -> None:
        found = self.instances.get(target)
        if found is not None and target not in self.cut:
            found.handlers[type(sent)](ids.InstanceId(str(source)), sent)


def retrieve(applied: asyncio.Task[table.Committed]) -> None:
    """Retrieve the exception of a write that may no longer be awaited."""
    if not applied.cancelled():
        applied.exception()


class LateTable(table.TableService):
    """A table whose commits time out and may still be applied later."""

    def __init__(self, inner: table.TableService) -> None:
        self.inner = inner

    async def commit(self, transaction: table.Transaction) -> table.Committed:
        applying = asyncio.ensure_future(self.inner.commit(transaction))
        applying.add_done_callback(retrieve)
        done, _ = await asyncio.wait((applying,), timeout=CALL_TIMEOUT)
        if not done:
            raise errors.OutcomeUnknownError("No reply came", "Read the row.")
        return applying.result()

    async def read(self, table: str, key: str) -> table.Row | None:
        return await self.inner.read(table, key)

    async def scan(
        self, table: str, after: str = "", limit: int = 1000
    ) -> tuple[table.Row, ...]:
        return await self.inner.scan(table, after, limit)


class Instance:
    """The writer and claimer of one incarnation of an instance."""

    def __init__(self, bus: Bus, number: int, rows: table.TableService) -> None:
        self.bus = bus
        self.number = number
        self.handlers: dict[type[message.Message], Any] = {}
        self.heartbeat = messages.Heartbeat(
            instance=ids.InstanceId(str(number)),
            incarnation=ids.new_incarnation(),
            lifecycle=messages.Lifecycle.SERVING,
            data_centre=ids.DataCentreId("d"),
            host="127.0.0.1",
            http_port=1,
            peer_host="127.0.0.1",
            peer_port=number,
            revision=ids.Revision(1),
        )
        self.members = members.Members(
            self.heartbeat, 4 * HEARTBEAT_SECONDS, 40 * HEARTBEAT_SECONDS
        )
        self.writer = writer.Writer(self, self.members, rows, BATCH_INTERVAL)
        self.claimer = claimer.Claimer(self, self.members, rows, WRITERS)
        self.tasks: set[asyncio.Task[None]] = set()
        bus.instances[number] = self
        self.writer.start()
        self.claimer.start()

    def handle(self, message_type: type[message.Message], handler: Any) -> None:
        self.handlers[message_type] = handler

    def send(self, peer: endpoint.Endpoint, sent: message.Message) -> bool:
        self.bus.send(self.number, peer.port, sent)
        return True

    def run(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)

    def kill(self) -> None:
        """Cancel all tasks at once; a write that was sent may still be applied."""
        del self.bus.instances[self.number]
        for task in (self.writer.task, *self.tasks, *self.claimer.cleanups):
            task.cancel()
        self.claimer.abandon = lambda key, nonce: None


def claim_of(instance: Instance, number: int = 0) -> claim.Claim:
    """Return a new claim by an instance."""
    return claim.Claim(
        nonce=claimer.new_nonce(),
        entry=instance.heartbeat.instance,
        incarnation=instance.heartbeat.incarnation,
        request_id=ids.RequestId(f"req-{number}"),
        server=ids.BackendServerId("s"),
        fingerprint="f",
        claimed_at=0.0,
    )


async def pass_time(bus: Bus, seconds: float) -> None:
    """Advance the clock; connected instances exchange heartbeats."""
    until = clock.now() + seconds
    while clock.now() < until:
        alive = [i for n, i in bus.instances.items() if n not in bus.cut]
        for one in alive:
            for other in alive:
                one.members.record_heartbeat(other.heartbeat, clock.now())
        await asyncio.sleep(min(HEARTBEAT_SECONDS, until - clock.now()))


def platform_in(loop: VirtualLoop) -> memory.MemoryPlatform:
    """Return a platform that uses the loop's clock."""
    return memory.MemoryPlatform(clock=loop.time)
