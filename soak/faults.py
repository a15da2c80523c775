"""Faults that are drawn from a seed, injected and removed again."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
from collections.abc import AsyncIterator, Callable

import msgspec

from soak import (
    crashingparts,
    deployment,
    disturbances,
    falseloads,
    injector,
    kinds,
    overloading,
    pathcuts,
    pausing,
    proxy,
    restoring,
    selection,
    statements,
)
from tealcove import clock, ids, tasks
from tealcove.standins import poolserver

# Duration of a fault, and mean time between the starts of two, in seconds; faults
# overlap.
MIN_SECONDS, MAX_SECONDS = 0.3, 2.5
MEAN_PAUSE_SECONDS = 0.6
# Seconds for which a sound server may be silent.
SILENT_SECONDS = 1.0
# Seconds for which a server that left keeps serving before it is listed again.
LEAVING_SECONDS = 4.0

# The faults that any soak draws; seeds depend on their number.
SERVER_FAULTS = [
    fault for fault in poolserver.Fault if fault is not poolserver.Fault.CUT_EARLY
]

Drawn = Callable[[], contextlib.AbstractAsyncContextManager[str]]
NETWORK = (
    proxy.ProxyFault.DELAYED,
    proxy.ProxyFault.SILENT,
    proxy.ProxyFault.ONE_WAY,
    proxy.ProxyFault.REFUSED,
)


class Leave(msgspec.Struct, frozen=True):
    """The period from the store's row of a leaving server until its return."""

    server: str
    since: ids.Instant
    until: ids.Instant


class FaultInjector:
    """Draws and injects faults; `done` lists the injected ones in order."""

    def __init__(
        self,
        running: deployment.Deployment,
        seed: int,
        kind: kinds.Kind = kinds.Kind.PLAIN,
    ) -> None:
        self.running = running
        self.kind = kind
        self.random = random.Random(seed)
        self.done: list[str] = []
        self.disturbances = disturbances.DisturbanceLog()
        self.leaves: list[Leave] = []
        self.is_server_leaving = False
        self.stating = statements.StatementInjector(running, seed, self.done)
        self.restoring = restoring.RestoreInjector(
            running, seed, self.disturbances, self.done
        )
        self.kinds = (
            self.kill,
            self.freeze,
            self.terminate,
            self.cut_store,
            self.cut_server,
            self.store_fault,
            self.change_configuration,
            self.server_faults,
            self.server_leaves,
        )
        self.mean_pause = MEAN_PAUSE_SECONDS
        self.context = injector.Context(running, self.random, self.disturbances)
        self.pausing = pausing.PauseInjector(self.context)
        self.crasher = crashingparts.Crasher(self.context)
        self.cutting = pathcuts.PathCutter(self.context)
        self.false_loads = falseloads.FalseStatements(self.context)
        self.overloading = overloading.Overloader(self.context)
        selection.apply(self)

    async def run(self, seconds: float) -> None:
        """Inject faults for some seconds, then wait until all are removed.

        A soak of lost paths begins with a cut alone, which other faults can't hide, and
        one of false statements without statements.
        """
        if self.kind is kinds.Kind.PATHS:
            self.done.append(await self.cutting.cut_calmly())
        if self.kind is kinds.Kind.FALSE_LOADS:
            self.done.append(await self.false_loads.begin())
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        active: set[asyncio.Task[None]] = set()
        states = self.kind not in kinds.WITHOUT_STATEMENTS
        stating = [asyncio.create_task(self.stating.run())] if states else []
        if self.kind is not kinds.Kind.RESTORES:
            self.restoring.stopping.set()
        restoring_store = tasks.start(self.restoring.run(), "returns of the store")
        try:
            while loop.time() < end:
                kind = self.random.choice(self.kinds)
                duration = self.random.uniform(MIN_SECONDS, MAX_SECONDS)
                active.add(asyncio.create_task(self.inject(kind, duration)))
                await asyncio.sleep(self.random.uniform(0.0, 2 * self.mean_pause))
            await asyncio.gather(*active)
            self.restoring.stopping.set()
            await restoring_store
        finally:
            # A remaining fault would start an instance after the deployment's end.
            await tasks.stop([*stating, restoring_store, *active])
            await self.false_loads.end()

    async def inject(self, kind: Callable[..., object], duration: float) -> None:
        """Inject one fault, wait, and remove it."""
        async with kind() as what:
            self.done.append(f"{what} for {duration:.1f} s")
            await asyncio.sleep(duration)

    def random_member(self) -> deployment.Member:
        """Return a random instance."""
        return self.random.choice(self.running.members)

    @contextlib.asynccontextmanager
    async def kill(self) -> AsyncIterator[str]:
        """Kill an instance and restart it."""
        member = self.random_member()
        if member.is_stopping:
            yield "nothing"
            return
        member.is_stopping = True
        process = disturbances.process_of(member.name)
        with self.disturbances.disturbed(member.name, process):
            await member.end()
            yield f"kill {member.name}"
            await member.start()

    @contextlib.asynccontextmanager
    async def freeze(self) -> AsyncIterator[str]:
        """Suspend an instance and resume it."""
        member = self.random_member()
        process = disturbances.process_of(member.name)
        with self.disturbances.disturbed(member.name, process):
            member.send(signal.SIGSTOP)
            yield f"freeze {member.name}"
            member.send(signal.SIGCONT)

    @contextlib.asynccontextmanager
    async def terminate(self) -> AsyncIterator[str]:
        """Stop an instance with SIGTERM and restart it."""
        member = self.random_member()
        if member.is_stopping:
            yield "nothing"
            return
        member.is_stopping = True
        process = disturbances.process_of(member.name)
        with self.disturbances.disturbed(member.name, process):
            member.send(signal.SIGTERM)
            yield f"terminate {member.name}"
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(member.process.wait(), deployment.GRACE_SECONDS)
            await member.end()
            await member.start()

    @contextlib.asynccontextmanager
    async def cut_store(self) -> AsyncIterator[str]:
        """Disturb the connections of one instance to the store."""
        members = [member.name for member in self.running.members]
        async with self.proxy_fault(self.running.store_proxies, members) as what:
            yield f"store {what}"

    @contextlib.asynccontextmanager
    async def cut_server(self) -> AsyncIterator[str]:
        """Disturb the connections to one backend server."""
        servers = [server.name for server in self.running.servers]
        async with self.proxy_fault(self.running.server_proxies, servers) as what:
            yield f"server {what}"

    @contextlib.asynccontextmanager
    async def proxy_fault(
        self, proxies: list[proxy.Proxy], parts: list[str]
    ) -> AsyncIterator[str]:
        """Set a fault of one proxy, whose part has the same index in `parts`."""
        number = self.random.randrange(len(proxies))
        chosen = proxies[number]
        fault = self.random.choice(NETWORK)
        chosen.delay = self.random.uniform(0.01, 0.3)
        chosen.fault = fault
        if self.random.random() < 0.5:
            chosen.reset_all()
        with self.disturbances.disturbed(parts[number]):
            yield f"{number} {fault.value}"
            chosen.fault = proxy.ProxyFault.NONE
            # Bytes that were held back are lost, as after a network cut.
            chosen.reset_all()

    @contextlib.asynccontextmanager
    async def server_is_silent(self) -> AsyncIterator[str]:
        """Let a sound server do nothing for a second."""
        server = self.random.choice(self.running.servers)
        server.awake.clear()
        asyncio.get_running_loop().call_later(SILENT_SECONDS, server.awake.set)
        yield f"{server.name} silent for {SILENT_SECONDS} s"

    @contextlib.asynccontextmanager
    async def store_fault(self) -> AsyncIterator[str]:
        """Make the store unavailable or slow, or discard its change history."""
        faults = self.running.store.memory.faults
        what = self.random.choice(("down", "slow", "forget"))
        if what == "down":
            faults.down = True
        elif what == "slow":
            faults.slow = 0.3
        else:
            await self.running.store.memory.table.discard_history()
        with self.disturbances.disturbed(disturbances.STORE):
            yield f"store is {what}"
            faults.down = False
            faults.slow = 0.0

    @contextlib.asynccontextmanager
    async def change_configuration(self) -> AsyncIterator[str]:
        """Write the configuration with an additional key."""
        key = await self.running.declare_key()
        yield f"configuration with {key}"

    @contextlib.asynccontextmanager
    async def server_faults(self) -> AsyncIterator[str]:
        """Queue a random fault for the next requests of a backend server."""
        server = self.random.choice(self.running.servers)
        fault = self.random.choice(SERVER_FAULTS)
        server.faults.extend([fault] * self.random.randrange(1, 5))
        yield f"{server.name} {fault.value}"

    @contextlib.asynccontextmanager
    async def server_leaves(self) -> AsyncIterator[str]:
        """Mark a backend server as leaving or delete its row, and list it again."""
        if self.is_server_leaving:
            yield "nothing"
            return
        self.is_server_leaving = True
        server = self.random.choice(self.running.servers)
        state = self.random.choice(("draining", None))
        await self.running.list_server(server, state)
        since = clock.now()
        yield f"{server.name} leaves, {state or 'without a word'}"
        await asyncio.sleep(LEAVING_SECONDS)
        self.leaves.append(Leave(server.name, since, clock.now()))
        await self.running.list_server(server, "ready")
        self.is_server_leaving = False
