"""Granting of free slots in queue order."""

from __future__ import annotations

import itertools
from collections.abc import Iterable

from tealcove import ids
from tealcove.dispatch import (
    cellstate,
    choice,
    queue,
    scheduler,
    servers,
    stragglers,
)

# Tickets of one account that are tried per slot; without this bound, each event could
# scan the whole queue when the first tickets don't fit the free slots.
LOOK_AHEAD = 4


class SlotGranter:
    """Grants each free slot to the first ticket in order that can use it."""

    def __init__(self, state: cellstate.CellState) -> None:
        self.state = state

    def grant_free_slots(
        self, freed: Iterable[servers.ServerState], now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """Grant free slots in queue order until no ticket can use one."""
        outgoing = []
        for rank in self.state.queue.ranks():
            free = [server for server in freed if server.free_slots() > 0]
            while free:
                granted = self.grant_one(rank, free, now)
                if granted is None:
                    break
                outgoing.append(granted)
                free = [server for server in free if server.free_slots() > 0]
        return outgoing

    def grant_one(
        self, rank: int, free: list[servers.ServerState], now: ids.Instant
    ) -> scheduler.Outgoing | None:
        """Grant one slot to the next ticket of a tier that can use one."""
        lanes = self.open_lanes(rank, free)
        accounts = self.state.queue.tiers[rank].accounts.values()
        waiting_accounts = [account for account in accounts if account.count]
        for account in sorted(waiting_accounts, key=account_order):
            fitting = (
                waiting
                for waiting in account.tickets_in_order(lanes)
                if any(waiting.ticket.may_run_on(one.spec.version) for one in free)
            )
            for waiting in itertools.islice(fitting, LOOK_AHEAD):
                server = self.choose(waiting, free, now)
                if server is not None:
                    return self.grant(waiting, server, now)
        return None

    def open_lanes(
        self, rank: int, free: list[servers.ServerState]
    ) -> list[queue.Lane]:
        """Return the lanes whose tickets may use some of the free slots."""
        fleet = self.state.fleet
        long_open = any(s.free_long_slots(keep_reserved=True) > 0 for s in free)
        return [
            lane
            for lane in queue.SHARED
            if (lane.is_short or long_open)
            and not fleet.at_non_idempotent_limit(rank, lane.idempotent)
        ]

    def grant_on_arrival(
        self, waiting: queue.WaitingTicket, now: ids.Instant
    ) -> list[scheduler.Outgoing]:
        """Grant a new ticket a slot that no ticket ahead of it could use."""
        fleet = self.state.fleet
        if fleet.at_non_idempotent_limit(
            waiting.ticket.tier_rank, waiting.lane.idempotent
        ):
            return []
        free = [server for server in fleet.servers.values() if server.free_slots() > 0]
        server = self.choose(waiting, free, now)
        return [] if server is None else [self.grant(waiting, server, now)]

    def choose(
        self,
        waiting: queue.WaitingTicket,
        free: list[servers.ServerState],
        now: ids.Instant,
    ) -> servers.ServerState | None:
        """Return the best server for a ticket among some with free slots."""
        queued_count = len(self.state.queue)
        reached = self.state.paths.prefer_reached(waiting.ticket.entry, free, now)
        return choice.choose(waiting, reached, now, queued_count, keep_reserved=True)

    def grant(
        self,
        waiting: queue.WaitingTicket,
        server: servers.ServerState,
        now: ids.Instant,
    ) -> scheduler.Outgoing:
        """Grant a slot, and schedule the next probe if the ticket is a probe."""
        is_probe = server.pace is not servers.Pace.NORMAL and choice.is_probe(
            server, waiting, now
        )
        outgoing = self.state.grant(waiting, server, now)
        if is_probe:
            running = server.running[waiting.ticket.ticket_id]
            stragglers.schedule_next_probe(server, running, now)
        return outgoing


def account_order(account: queue.Account) -> tuple[float, float]:
    """Return the sort key of accounts: least start tag, then the oldest ticket."""
    return (account.start_tag, account.oldest_arrival)
