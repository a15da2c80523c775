"""Tests of the dispatcher role: reading servers, takeover and release of cells."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable

import msgspec
import pytest

from tealcove import clock, errors, ids
from tealcove.backends import engine
from tealcove.dispatch import cells, messages, role, scheduler
from tealcove.dispatch.tests import builders, transport
from tealcove.membership import members
from tealcove.membership.tests import builders as membership_builders
from tealcove.storage import instances

TEST_TIMEOUT = 30.0
SERVER = builders.server("s0")


class ScriptedEngines:
    """Replaces `engine.EngineClient` in the calls of the role."""

    def __init__(self) -> None:
        self.report = builders.load()
        self.health = "serving"
        self.reachable = True
        self.events = engine.CacheEvents((), 0)
        self.loads = 0
        # The ports that loads were read from.
        self.ports: set[int] = set()
        # Cleared by a test to delay a load report.
        self.answered = asyncio.Event()
        self.answered.set()

    async def load(self, server: engine.Server) -> engine.LoadReport:
        self.loads += 1
        self.ports.add(server.port)
        reachable = self.reachable
        await self.answered.wait()
        if not reachable:
            raise errors.BackendError("gone", "See whether it runs.")
        return self.report

    async def state(self, server: engine.Server) -> str:
        return self.health

    async def holding(self, server: engine.Server) -> engine.Holding:
        return engine.Holding({}, {}, "both")

    async def cache_events(
        self, server: engine.Server, after: int
    ) -> engine.CacheEvents:
        return self.events


class Serving:
    """A dispatcher role of one cell, among two instances."""

    def __init__(self) -> None:
        self.engines = ScriptedEngines()
        self.mesh = transport.RecordingMesh()
        self.members = members.Members(
            membership_builders.heartbeat(0), suspect_after=1000.0, forget_after=2000.0
        )
        self.peer = membership_builders.heartbeat(1)
        self.members.record_heartbeat(self.peer, clock.now())
        self.spec = SERVER
        self.listed: tuple[instances.ListedInstance, ...] = ()
        self.role = role.Dispatcher(
            self.mesh,
            self.members,
            self.find_cell,
            builders.fair.FairScheduler,
            self.engines,
            poll_interval=0.001,
            listed=lambda: self.listed,
        )
        self.role.start()

    def find_cell(self, cell_id: ids.CellId) -> cells.Cell | None:
        return builders.cell(self.spec) if cell_id == builders.CELL else None

    def ask(self, **changes: object) -> messages.Ticket:
        ticket = builders.ticket(**{"entry": self.peer.instance, **changes})
        self.role.handle_ticket(ticket.entry, ticket)
        return ticket

    def settle(self) -> None:
        """Make the last change of the members long ago."""
        self.role.members_changed = ids.Instant(clock.now() - 1000.0)

    def sent(self, kind: type) -> list:
        return [sent.content for sent in self.mesh.to(self.peer.peer_port, kind)]

    @property
    def server(self) -> object:
        return self.role.held[builders.CELL].scheduler.state.fleet.servers["s0"]

    async def until(self, check: Callable[[], bool]) -> None:
        async with asyncio.timeout(TEST_TIMEOUT):
            while True:
                if check():
                    return
                await asyncio.sleep(0.001)


@pytest.fixture
async def serving() -> AsyncIterator[Serving]:
    found = Serving()
    yield found
    await found.role.stop()


async def test_a_first_ticket_is_granted_at_once_where_nothing_changed(
    serving: Serving,
) -> None:
    serving.settle()
    ticket = serving.ask()
    assert [g.ticket_id for g in serving.sent(messages.Grant)] == [ticket.ticket_id]


async def test_a_ticket_that_waited_elsewhere_waits_for_reports_of_running_work(
    serving: Serving,
) -> None:
    """Guards against a server getting twice the work that it has slots for.

    A dispatcher dies; its successor must not grant slots before the entries have
    reported what runs already.
    """
    serving.settle()
    waiting = serving.ask(waited=0.4)
    running = [serving.ask(running_on="s0") for _ in range(4)]
    decider = serving.role.held[builders.CELL].scheduler
    await serving.until(lambda: not decider.is_gathering)
    assert not serving.sent(messages.Grant)
    done = builders.done(msgspec.structs.replace(grant_of(running[0]), server="s0"))
    serving.role.handle_done(serving.peer.instance, done)
    granted = serving.sent(messages.Grant)
    assert [grant.ticket_id for grant in granted] == [waiting.ticket_id]


def grant_of(ticket: messages.Ticket) -> messages.Grant:
    return messages.Grant(
        ticket_id=ticket.ticket_id, cell=ticket.cell, server="s0", host="", port=0
    )


async def test_an_unknown_cell_is_refused(serving: Serving) -> None:
    serving.ask(cell="nowhere/0")
    (refusal,) = serving.sent(messages.Refusal)
    assert refusal.reason is messages.RefusalReason.NO_BACKEND_SERVER


@pytest.mark.parametrize("source", ["health", "load", "list"])
async def test_a_server_is_leaving_as_soon_as_any_source_says_so(
    serving: Serving, source: str
) -> None:
    serving.settle()
    serving.ask()
    if source == "health":
        serving.engines.health = "leaving"
    elif source == "load":
        serving.engines.report = builders.load(state="leaving")
    else:
        serving.listed = (
            instances.ListedInstance(
                "s0",
                instances.ListedKind.BACKEND_SERVER,
                instances.ListedState.LEAVING,
                SERVER.host,
                SERVER.port,
                0,
                ids.DataCentreId("dc-1"),
            ),
        )
    await serving.until(lambda: serving.server.leaving)
    serving.ask()
    assert len(serving.sent(messages.Grant)) == 1


async def test_a_load_report_requested_before_a_crash_doesn_t_bring_a_server_back(
    serving: Serving,
) -> None:
    """Guards against sending requests to a server that has just died.

    Its load is being read; it crashes, and an entry reports that; then the load report
    arrives. The report counts by when it was requested, not by when it arrived.
    """
    serving.settle()
    ticket = serving.ask()
    await serving.until(lambda: serving.engines.loads > 0)
    serving.engines.answered.clear()
    loads = serving.engines.loads
    await serving.until(lambda: serving.engines.loads > loads)
    crashed = builders.done(grant_of(ticket), outcome=messages.Outcome.CRASHED)
    serving.role.handle_done(serving.peer.instance, crashed)
    serving.engines.reachable = False
    late = serving.engines.loads
    # Releases the delayed report and delays the next one, which is only requested once
    # the first was processed.
    serving.engines.answered.set()
    serving.engines.answered.clear()
    await serving.until(lambda: serving.engines.loads > late)
    assert not serving.server.reachable
    serving.engines.reachable = True
    serving.engines.answered.set()
    await serving.until(lambda: serving.server.reachable)


async def test_cache_events_reach_the_index(serving: Serving) -> None:
    serving.settle()
    serving.ask()
    stored = engine.CacheEvent(1, "stored", (7, 8))
    serving.engines.events = engine.CacheEvents((stored,), 1)
    await serving.until(lambda: serving.server.index.match((7, 8)) == 2)


async def test_a_replaced_entry_s_queue_is_dropped(serving: Serving) -> None:
    serving.settle()
    for _ in range(5):
        serving.ask()
    queue = serving.role.held[builders.CELL].scheduler.state.queue
    assert len(queue) == 1
    successor = msgspec.structs.replace(
        serving.peer, incarnation=ids.Incarnation("another")
    )
    serving.members.peers[serving.peer.instance].heartbeat = successor
    await serving.until(lambda: len(queue) == 0)


async def test_a_cell_of_another_instance_is_released(serving: Serving) -> None:
    """Guards against each engine being polled by ever more instances.

    An instance gets tickets for a cell while its dispatcher is frozen; then the
    dispatcher resumes and gets all further tickets. The instance must stop serving the
    cell.
    """
    ticket = serving.ask()
    held = serving.role.held[builders.CELL]
    rank = serving.members.rank
    serving.members.rank = lambda *of: [serving.peer.instance]
    late = ids.Instant(clock.now() + 2 * role.RELEASE_AFTER)
    serving.role.release_cells(late)
    assert builders.CELL in serving.role.held
    withdrawal = messages.Withdrawal(ticket_id=ticket.ticket_id, cell=ticket.cell)
    serving.role.handle_withdrawal(serving.peer.instance, withdrawal)
    serving.members.rank = lambda *of: [serving.members.own.instance]
    serving.role.release_cells(ids.Instant(late + 2 * role.RELEASE_AFTER))
    assert builders.CELL in serving.role.held
    serving.members.rank = lambda *of: [serving.peer.instance]
    serving.role.release_cells(ids.Instant(late + 4 * role.RELEASE_AFTER))
    assert builders.CELL not in serving.role.held
    assert not held.polls
    serving.members.rank = rank
    serving.ask()
    assert builders.CELL in serving.role.held


async def test_a_server_that_has_moved_is_read_at_its_new_address(
    serving: Serving,
) -> None:
    """Guards against a moved engine counting as unreachable.

    An operator changes the port of a server of the same name. The task that polls it
    must not continue with the old address.
    """
    serving.ask()
    await serving.until(lambda: serving.engines.ports == {SERVER.port})
    moved = msgspec.structs.replace(SERVER, port=SERVER.port + 1)
    serving.spec = moved
    serving.role.reconfigure()
    serving.engines.ports.clear()
    await serving.until(lambda: moved.port in serving.engines.ports)
    loads = serving.engines.loads
    await serving.until(lambda: serving.engines.loads >= loads + 3)
    serving.engines.ports.clear()
    await serving.until(lambda: bool(serving.engines.ports))
    assert serving.engines.ports == {moved.port}


async def test_ticks_go_on_after_one_has_failed(serving: Serving) -> None:
    """Guards against queued tickets of all cells waiting beyond their deadlines.

    A scheduler raises once in its tick, which must not end the only ticking task.
    """
    serving.ask()
    decider = serving.role.held[builders.CELL].scheduler
    tick = decider.tick
    ticks: list[ids.Instant] = []

    def fail_once(now: ids.Instant) -> list[scheduler.Outgoing]:
        ticks.append(now)
        if len(ticks) == 1:
            raise ZeroDivisionError
        return tick(now)

    decider.tick = fail_once
    await serving.until(lambda: len(ticks) >= 3)
