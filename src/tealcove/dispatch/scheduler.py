"""Abstract base class of the schedulers, each of which serves one cell."""

from __future__ import annotations

import abc
from collections.abc import Iterable

import msgspec

from tealcove import ids
from tealcove.backends import engine
from tealcove.dispatch import (
    accountshares,
    admission,
    backendview,
    cells,
    crossing,
    exposure,
    holds,
    messages,
    notices,
    paths,
    suspicion,
)
from tealcove.streamcopies import copying

# Seconds after which a slot or ticket that its entry no longer refreshes is released.
# Entries resend all their tickets every requester.REFRESH_INTERVAL, so three such
# messages are missing by then. With 8 s, stale slots cost a successor a third of its
# throughput after a takeover.
REFRESH_TIMEOUT = 3.5


class Outgoing(msgspec.Struct, frozen=True):
    """A message to be sent to an entry."""

    entry: ids.InstanceId
    message: (
        messages.Grant
        | messages.Refusal
        | messages.Preempt
        | messages.Queued
        | notices.AdmissionNotice
    )


class Scheduler(abc.ABC):
    """Decides which ticket of a cell gets which backend server, and when.

    Each method receives an event and the current time, and returns the messages for
    the entries.
    """

    def use_suspicion(self, suspicion: suspicion.Suspicion) -> None:
        """Set the source of which requests may crash their server.

        A scheduler that ignores suspicion keeps this empty default.
        """
        return

    def use_exposure(self, exposed: exposure.Exposure) -> None:
        """Set the source of which versions of servers may receive a request.

        A scheduler that ignores versions keeps this empty default.
        """
        return

    def use_paths(self, known: paths.Paths) -> None:
        """Set the source of which instances reach which servers.

        A scheduler that ignores it keeps this empty default.
        """
        return

    def use_accounts(self, accounts: accountshares.AccountShares) -> None:
        """Set how slots are shared among client accounts.

        A scheduler that shares them in a way of its own keeps this empty default.
        """
        return

    def use_admission(self, policy: admission.Admission) -> None:
        """Set which tickets are refused under overload, and when they may return.

        A scheduler that decides this by itself keeps this empty default.
        """
        return

    def restore_returns(
        self, returns: tuple[messages.PromisedReturn, ...], now: ids.Instant
    ) -> None:
        """Keep the returns that another dispatcher of the cell has promised.

        A scheduler that promises none keeps this empty default.
        """
        return

    def notices(self, now: ids.Instant) -> list[Outgoing]:
        """Return what entries may refuse by themselves; called periodically."""
        return []

    def record_local_refusals(
        self, entry: ids.InstanceId, sent: notices.LocalRefusals, now: ids.Instant
    ) -> None:
        """Record what an entry has refused by itself."""
        return

    def expect_returns(self, until: ids.Instant) -> None:
        """Refuse no return that another dispatcher may have promised, until an instant.

        A scheduler that plans no returns keeps this empty default.
        """
        return

    def use_server_load(self, only_shared: bool = False) -> None:
        """Use the load that servers state in their answers; called before `configure`.

        `only_shared`: only of services whose servers state that they share machines.
        A scheduler that ignores it keeps this empty default.
        """
        return

    def use_crossing(self, policy: crossing.Crossing) -> None:
        """Set which tickets may use servers of other data centres.

        A scheduler that ignores data centres keeps this empty default.
        """
        return

    def use_copies(self, copies: copying.Copies) -> None:
        """Set which streams are copied to a second server.

        A scheduler that has no stream copied keeps this empty default.
        """
        return

    def confirm_reachable(
        self, server: ids.BackendServerId, now: ids.Instant
    ) -> list[Outgoing]:
        """Use a server again that counted as unreachable, since an instance reached it.

        A scheduler that keeps this default is notified by the next load report.
        """
        return []

    def backend_views(self) -> Iterable[backendview.BackendView]:
        """Return the state of each server; empty if the scheduler keeps none."""
        return ()

    def gather(self, until: ids.Instant) -> None:
        """Grant nothing that isn't urgent before an instant.

        Called when another dispatcher may have served the cell: until the entries
        have reported their running requests, those slots would be granted twice.
        """
        return

    def cached(
        self, server: ids.BackendServerId, events: engine.CacheEvents, now: ids.Instant
    ) -> list[Outgoing]:
        """Apply changes of a server's prefix cache."""
        return []

    def last_event(self, server: ids.BackendServerId) -> int:
        """Return the sequence number of the last cache event that was applied."""
        return 0

    def apply_statement(
        self,
        entry: ids.InstanceId,
        stated: messages.ServerStatement,
        now: ids.Instant,
    ) -> list[Outgoing]:
        """Apply what a server stated in its answers to an entry.

        A scheduler for servers that state nothing keeps this default.
        """
        return []

    def hold_back(
        self, server: ids.BackendServerId, now: ids.Instant
    ) -> list[Outgoing]:
        """Give a server no new work until a load report says that it serves.

        A scheduler that keeps this default is notified by the next load report.
        """
        return []

    def report_hold(self, report: holds.HoldReport) -> holds.HoldReport:
        """Return the report with this scheduler's state of the server filled in."""
        return report

    def depth(self) -> tuple[int, int]:
        """Return how many tickets are queued, and how many hold a slot.

        With this default the metrics show neither.
        """
        return 0, 0

    @abc.abstractmethod
    def configure(self, cell: cells.Cell, now: ids.Instant) -> list[Outgoing]:
        """Apply a change of the cell, such as a server that leaves."""

    @abc.abstractmethod
    def enqueue(self, ticket: messages.Ticket, now: ids.Instant) -> list[Outgoing]:
        """Queue a ticket, or record a running request granted by another dispatcher."""

    @abc.abstractmethod
    def withdraw(self, ticket_id: ids.TicketId, now: ids.Instant) -> list[Outgoing]:
        """Remove a ticket and release its slot, if it was granted one."""

    @abc.abstractmethod
    def progress(self, progress: messages.Progress, now: ids.Instant) -> list[Outgoing]:
        """Record that a request's first token was received."""

    @abc.abstractmethod
    def done(self, done: messages.Done, now: ids.Instant) -> list[Outgoing]:
        """Record how a request ended and release its slot."""

    @abc.abstractmethod
    def report(
        self,
        server: ids.BackendServerId,
        load: engine.LoadReport | None,
        now: ids.Instant,
    ) -> list[Outgoing]:
        """Apply a load report; None if the server couldn't be reached."""

    @abc.abstractmethod
    def lose_entry(self, entry: ids.InstanceId, now: ids.Instant) -> list[Outgoing]:
        """Remove the tickets of a lost entry."""

    @abc.abstractmethod
    def tick(self, now: ids.Instant) -> list[Outgoing]:
        """Make the decisions that depend on time alone; called periodically."""
