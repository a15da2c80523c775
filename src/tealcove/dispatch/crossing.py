"""Whether a ticket gets a server in another data centre than its entry's."""

from __future__ import annotations

import abc
import collections
from collections.abc import Iterable

import msgspec

from tealcove import ids
from tealcove.dispatch import (
    backendview,
    budgets,
    exposure,
    placement,
    waitingticket,
)

# A local server that is so many times as slow as a remote one is used before it, if the
# request meets its goal there.
SLOWER_FACTOR = 1.5
# Seconds that a crossing must save while the budget is unused; with half of the budget
# left, twice as many, and so on.
MIN_SAVED_SECONDS = 0.02
# Seconds by which a slot may become free later than predicted: between two reviews of
# the line, a ticket that waits for it isn't looked at.
RELEASE_MARGIN = 0.1
# Seconds for which a ticket that waits for a local slot isn't compared again, unless
# one is free: with thirty servers, comparing it at each event took 3 ms a request.
HOLD_SECONDS = 0.05


class Crossing(abc.ABC):
    """Chooses a server for a ticket, which may be in another data centre."""

    @abc.abstractmethod
    def begin(
        self,
        servers: Iterable[backendview.BackendView],
        free: Iterable[backendview.BackendView],
        now: ids.Instant,
    ) -> None:
        """Begin a pass through the line; `free` are those with a free slot."""

    def holds(self, waiting: waitingticket.Waiting, now: ids.Instant) -> bool:
        """Tell whether a ticket waits on for a local slot, by an earlier choice."""
        return False

    @abc.abstractmethod
    def choose(
        self,
        waiting: waitingticket.Waiting,
        free: Iterable[backendview.BackendView],
        exposed: exposure.Exposure,
        now: ids.Instant,
    ) -> backendview.BackendView | None:
        """Return one of the servers with a free slot, or None to keep it waiting."""


class ConstantPenalty(Crossing):
    """Counts servers of other data centres as slower by a constant."""

    def begin(
        self,
        servers: Iterable[backendview.BackendView],
        free: Iterable[backendview.BackendView],
        now: ids.Instant,
    ) -> None:
        """See Crossing."""

    def choose(
        self,
        waiting: waitingticket.Waiting,
        free: Iterable[backendview.BackendView],
        exposed: exposure.Exposure,
        now: ids.Instant,
    ) -> backendview.BackendView | None:
        """See Crossing."""
        return placement.choose(waiting, free, exposed, now)


class Release(msgspec.Struct, frozen=True):
    """When a slot of a server is predicted to become free."""

    at: float
    server: backendview.BackendView


class BudgetedCrossing(Crossing):
    """Prefers local servers that meet the goal, and bounds the bytes that cross.

    A crossing that saves enough time is made within the budget of its pair of data
    centres. Beyond the budget, it is made only if no local slot is predicted to become
    free in time.
    """

    def __init__(self, shared: budgets.Budgets) -> None:
        self.budgets = shared
        self.servers: tuple[backendview.BackendView, ...] = ()
        # Predicted releases by data centre, in order; computed when they are needed.
        self.releases: dict[ids.DataCentreId, list[Release]] = {}
        # Tickets of each data centre that wait for its next slots in this pass.
        self.held: collections.Counter[ids.DataCentreId] = collections.Counter()
        # Until when each of them isn't compared again.
        self.until: dict[ids.TicketId, ids.Instant] = {}
        # The data centres with a free slot at the start of the pass.
        self.open: set[str] = set()

    def begin(
        self,
        servers: Iterable[backendview.BackendView],
        free: Iterable[backendview.BackendView],
        now: ids.Instant,
    ) -> None:
        """See Crossing."""
        self.servers = tuple(servers)
        self.releases.clear()
        self.held.clear()
        self.open = {server.spec.data_centre for server in free}
        self.until = {name: at for name, at in self.until.items() if at > now}

    def holds(self, waiting: waitingticket.Waiting, now: ids.Instant) -> bool:
        """See Crossing."""
        ticket = waiting.ticket
        if ticket.ticket_id not in self.until or ticket.data_centre in self.open:
            return False
        self.held[ticket.data_centre] += 1
        return True

    def choose(
        self,
        waiting: waitingticket.Waiting,
        free: Iterable[backendview.BackendView],
        exposed: exposure.Exposure,
        now: ids.Instant,
    ) -> backendview.BackendView | None:
        """See Crossing."""
        here = waiting.ticket.data_centre
        if not here:
            return placement.choose(waiting, free, exposed, now)
        local, remote = [], []
        for server in free:
            is_local = server.spec.data_centre == here
            (local if is_local else remote).append(server)
        near = placement.cheapest(waiting, local, exposed, now)
        far = placement.cheapest(waiting, remote, exposed, now)
        found = self.compare(waiting, near, far, now)
        if found is None:
            self.held[here] += 1
            held_until = ids.Instant(now + HOLD_SECONDS)
            self.until[waiting.ticket.ticket_id] = held_until
        return found

    def compare(
        self,
        waiting: waitingticket.Waiting,
        near: placement.Found | None,
        far: placement.Found | None,
        now: ids.Instant,
    ) -> backendview.BackendView | None:
        """Return the local or the remote server, or None to keep the ticket waiting."""
        if far is None:
            return placement.accepted(waiting, near, now)
        if near is not None and is_sound(near) and serves(waiting, near, now):
            return self.slower_or_remote(waiting, near, far, now)
        if not serves(waiting, far, now):
            return placement.accepted(waiting, near, now)
        later = self.local_release(waiting, now)
        if later is None:
            return self.cross(waiting, far, now)
        total = later.server.total_seconds(waiting.ticket, 0.0)
        saved = later.at + total - now - far.cost
        if self.is_worth(waiting, far, saved, now):
            return self.cross(waiting, far, now)
        return None

    def slower_or_remote(
        self,
        waiting: waitingticket.Waiting,
        near: placement.Found,
        far: placement.Found,
        now: ids.Instant,
    ) -> backendview.BackendView:
        """Return the local server unless a remote one is much faster."""
        if far.cost < 0.0 <= near.cost:
            # A version on trial, which must get requests.
            return self.cross(waiting, far, now)
        is_much_slower = near.cost > SLOWER_FACTOR * far.cost
        is_useful = is_much_slower and serves(waiting, far, now)
        if is_useful and self.is_worth(waiting, far, near.cost - far.cost, now):
            return self.cross(waiting, far, now)
        return near.server

    def is_worth(
        self,
        waiting: waitingticket.Waiting,
        far: placement.Found,
        saved: float,
        now: ids.Instant,
    ) -> bool:
        """Tell whether the budget allows a crossing that saves some seconds."""
        pair = budgets.pair_of(waiting.ticket, far.server)
        left = self.budgets.left(pair, now)
        size = budgets.size_of(waiting.ticket)
        return self.budgets.allows(pair, size, now) and saved * left > MIN_SAVED_SECONDS

    def cross(
        self,
        waiting: waitingticket.Waiting,
        far: placement.Found,
        now: ids.Instant,
    ) -> backendview.BackendView:
        """Return the remote server after charging the crossing to its budget."""
        pair = budgets.pair_of(waiting.ticket, far.server)
        self.budgets.spend(pair, budgets.size_of(waiting.ticket), now)
        return far.server

    def local_release(
        self, waiting: waitingticket.Waiting, now: ids.Instant
    ) -> Release | None:
        """Return the local slot that a ticket gets in time if it waits, or None."""
        ticket = waiting.ticket
        found = self.releases_at(ticket.data_centre, now)
        place = self.held[ticket.data_centre]
        if place >= len(found):
            return None
        release = found[place]
        server = release.server
        is_allowed = (
            server.name not in ticket.excluded
            and ticket.may_run_on(server.spec.version)
            and server.accepts(ticket.entry, now)
        )
        starts = release.at + RELEASE_MARGIN
        if not is_allowed or starts + server.total_seconds(ticket, 0.0) > (
            waiting.end_by
        ):
            return None
        is_in_time = starts + server.first_seconds(ticket, 0.0) <= waiting.goal_at
        return release if is_in_time or waiting.is_late(now) else None

    def releases_at(
        self, data_centre: ids.DataCentreId, now: ids.Instant
    ) -> list[Release]:
        """Return the predicted releases of slots in a data centre, in order."""
        found = self.releases.get(data_centre)
        if found is not None:
            return found
        found = [
            Release(released_at(server, run, now), server)
            for server in self.servers
            if server.spec.data_centre == data_centre and is_usable(server, now)
            for run in server.runs.values()
        ]
        found.sort(key=lambda release: release.at)
        self.releases[data_centre] = found
        return found


def serves(
    waiting: waitingticket.Waiting, found: placement.Found, now: ids.Instant
) -> bool:
    """Tell whether a ticket meets its goal on a server, or has missed it already."""
    return now + found.first <= waiting.goal_at or waiting.is_late(now)


def is_sound(found: placement.Found) -> bool:
    """Tell whether a server isn't likely to fail or reject a request."""
    is_rejecting = found.cost >= placement.REJECTION_PENALTY_SECONDS
    return not is_rejecting and not found.server.is_failing


def is_usable(server: backendview.BackendView, now: ids.Instant) -> bool:
    """Tell whether a server may be waited for."""
    is_doubtful = server.is_failing or server.restrictions.may_reject(now)
    return server.is_available(now) and not is_doubtful


def released_at(
    server: backendview.BackendView, run: backendview.Run, now: ids.Instant
) -> float:
    """Return when a run is predicted to end.

    One that should have ended is expected to take as long again as it is late.
    """
    found = run.started + run.total
    if run.first_token_at is not None:
        found = run.first_token_at + backendview.stream_seconds(run.ticket, server)
    return found if found >= now else now + (now - found)
