"""Instances that claim over one platform in memory, in virtual time."""

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

BEAT = 0.25
BATCH_INTERVAL = 0.02
WRITERS = 2
DEADLINE = 5.0
CALL_TIMEOUT = 2.0
DELAY = 0.001
# A doubled message comes a second time when its request has long ended.
DOUBLE_AFTER = 0.7


class JumpingSelector(selectors.SelectSelector):
    """Lets the time of its loop jump ahead in place of waiting."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("nothing is left that could happen")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock passes only when nothing is left to do."""

    def __init__(self) -> None:
        self.jumping = JumpingSelector()
        super().__init__(self.jumping)

    def time(self) -> float:
        return self.jumping.now


@contextlib.contextmanager
def virtual_time() -> Iterator[VirtualLoop]:
    loop = VirtualLoop()
    with mock.patch.object(clock, "now", loop.time):
        yield loop
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
    loop.close()


class Bus:
    """Carries messages between instances, and loses or doubles them."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.doubling = False
        self.delay = DELAY
        self.cut: set[int] = set()

    def send(self, source: int, target: int, sent: message.Message) -> None:
        if {source, target} & self.cut:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.delay, self.deliver, source, target, sent)
        if self.doubling:
            loop.call_later(DOUBLE_AFTER, self.deliver, source, target, sent)

    def deliver(self, source: int, target: int, sent: message.Message) -> None:
        found = self.instances.get(target)
        if found is not None and target not in self.cut:
            found.handlers[type(sent)](ids.InstanceId(str(source)), sent)


def retrieve(applied: asyncio.Task[table.Committed]) -> None:
    """Look at the error of a write that nobody may wait for any more."""
    if not applied.cancelled():
        applied.exception()


class LateTable(table.TableService):
    """Gives a write up after a while; it may still be applied later."""

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
    """The claims of one run of an instance: writer and entry side."""

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
        self.members = members.Members(self.heartbeat, 4 * BEAT, 40 * BEAT)
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
        """End everything at once; a write that was sent may still be applied."""
        del self.bus.instances[self.number]
        for task in (self.writer.task, *self.tasks, *self.claimer.abandoning):
            task.cancel()
        self.claimer.abandon = lambda key, nonce: None


def claim_of(instance: Instance, number: int = 0) -> claim.Claim:
    """Return a new claim of an instance."""
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
    """Let time pass; instances that aren't cut off hear each other."""
    until = clock.now() + seconds
    while clock.now() < until:
        alive = [i for n, i in bus.instances.items() if n not in bus.cut]
        for one in alive:
            for other in alive:
                one.members.record_heartbeat(other.heartbeat, clock.now())
        await asyncio.sleep(min(BEAT, until - clock.now()))


def platform_in(loop: VirtualLoop) -> memory.MemoryPlatform:
    """Return a platform whose clock is the loop's."""
    return memory.MemoryPlatform(clock=loop.time)
