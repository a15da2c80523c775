"""The weights of accounts on an instance: those ordered by operators, and others."""

from __future__ import annotations

import asyncio

import logbook

from tealcove import clock, errors, ids, tasks
from tealcove.accounts import orders, persistence, sharing
from tealcove.dispatch import accountshares
from tealcove.membership import heartbeats, members
from tealcove.peers import mesh
from tealcove.storage import table

log = logbook.Logger("accounts")

# Seconds from a failed read of the store to the next one, first and at most. Peers
# send the orders meanwhile.
FIRST_PAUSE = 2.0
LONGEST_PAUSE = 32.0
# Seconds from an order whose outcome isn't known to a read of the store. By then, the
# store has carried out or dropped the write: its calls take .25 s at its slowest.
RELOAD_PAUSE = 5.0
# Seconds between two comparisons with the last heartbeats of all peers.
COMPARE_INTERVAL = 2.0


class OrderedWeights(accountshares.AccountWeights):
    """Keeps operators' orders in the store and shares them with all instances."""

    def __init__(
        self,
        transport: mesh.Mesh,
        known: members.Members,
        heart: heartbeats.HeartbeatService,
        rows: table.TimedTable,
        fallback: accountshares.AccountWeights,
    ) -> None:
        self.orders = orders.Orders()
        self.rows = persistence.OrderRows(rows)
        # The weights of accounts without an order.
        self.fallback = fallback
        self.sharer = sharing.OrderSharer(transport, known, heart, self.orders)
        self.tasks: list[asyncio.Task[None]] = []
        # Set while the store may hold an order that isn't known here.
        self.must_load = asyncio.Event()
        self.must_load.set()
        # Whether orders that the store lacks are written to it.
        self.must_write = False

    def start(self) -> None:
        """Start to share orders, and read those in the store."""
        self.sharer.start()
        self.sharer.update_heartbeat(clock.now())
        self.tasks.append(tasks.start_loop(self.sharer.run, "sharing of weights"))
        self.tasks.append(tasks.start_loop(self.run_loading, "reading of weights"))
        self.tasks.append(tasks.start_loop(self.run_comparing, "comparing of weights"))

    async def stop(self) -> None:
        """Stop all tasks."""
        await tasks.stop(self.tasks)

    def weight(self, account: ids.AccountId) -> float:
        """See AccountWeights."""
        ordered = self.orders.weight(account)
        return self.fallback.weight(account) if ordered is None else ordered

    async def order(
        self, account: ids.AccountId, weight: float | None
    ) -> orders.WeightOrder:
        """Carry out an operator's order on all instances; None takes the last one back.

        Raises PlatformUnavailableError if nothing was changed, and OutcomeUnknownError.
        """
        is_new = account not in self.orders.orders
        if is_new and len(self.orders.orders) >= persistence.MAX_ROWS:
            raise errors.PlatformUnavailableError(
                f"{persistence.MAX_ROWS} accounts have an order already",
                f"Delete rows of the table {persistence.TABLE} that aren't needed, "
                "and restart all instances.",
            )
        known = self.orders.revision(account)
        try:
            order = await self.rows.write(account, weight, known)
        except errors.OutcomeUnknownError:
            # If it was applied, all instances learn of it from this one.
            asyncio.get_running_loop().call_later(RELOAD_PAUSE, self.must_load.set)
            raise
        now = clock.now()
        self.orders.merge(order, now)
        self.sharer.publish([account], now)
        return order

    async def run_loading(self) -> None:
        """Read the store whenever it may hold an unknown order, until cancelled."""
        pause = FIRST_PAUSE
        while True:
            await self.must_load.wait()
            try:
                await self.load(clock.now())
                pause = FIRST_PAUSE
            except errors.PlatformError as error:
                log.debug("ordered weights can't be read: {}", error)
                await asyncio.sleep(pause)
                pause = min(2 * pause, LONGEST_PAUSE)

    async def load(self, now: ids.Instant) -> None:
        """Merge the orders in the store; raises PlatformError.

        Peers with older ones are told after their next heartbeat.
        """
        self.must_load.clear()
        try:
            found = await self.rows.load()
            for order in found:
                self.orders.merge(order, now)
            self.sharer.update_heartbeat(now)
            if self.must_write:
                await self.rows.write_missing(self.orders.orders.values())
                self.must_write = False
        except errors.PlatformError:
            self.must_load.set()
            raise

    def restore(self) -> None:
        """Write what a store that came back from a copy lacks; one instance does it.

        Otherwise older orders of the copy would come back as soon as all instances are
        replaced.
        """
        if self.is_first(clock.now()):
            self.must_write = True
            self.must_load.set()

    def is_first(self, now: ids.Instant) -> bool:
        """Tell whether this instance acts for all that keep orders."""
        known = self.sharer.members
        for instance in known.rank(persistence.TABLE, now):
            heartbeat = known.find(instance)
            if heartbeat is not None and self.sharer.takes_part(heartbeat):
                return instance == known.own.instance
        return False

    async def run_comparing(self) -> None:
        """Compare with all peers periodically, until cancelled."""
        while True:
            await asyncio.sleep(COMPARE_INTERVAL)
            self.sharer.compare_all(clock.now())
