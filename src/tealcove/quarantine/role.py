"""The quarantine of an instance, as its entry and its dispatcher use it."""

from __future__ import annotations

import asyncio

import logbook

from tealcove import clock, ids, tasks
from tealcove.dispatch import messages, suspicion
from tealcove.membership import heartbeats, members
from tealcove.peers import mesh
from tealcove.quarantine import keeping, marks, sharing
from tealcove.storage import table

log = logbook.Logger("quarantine")


class Quarantine(suspicion.Suspicion):
    """Marks requests that crashed a server, and keeps all instances told."""

    def __init__(
        self,
        transport: mesh.Mesh,
        known: members.Members,
        beating: heartbeats.HeartbeatService,
        rows: table.TableService | None,
        quarantine_seconds: float,
        crashes_to_quarantine: int = marks.CRASHES_TO_QUARANTINE,
    ) -> None:
        self.marks = marks.Marks(quarantine_seconds, crashes_to_quarantine)
        self.sharer = sharing.Sharer(transport, known, beating, self.marks)
        # Without a table, marks end with the last instance that knows them.
        self.keeper = None if rows is None else keeping.Keeper(rows, self.marks)
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin to share marks and to keep them in the platform's table."""
        self.sharer.start()
        self.tasks = [tasks.start(self.sharer.run(), "sharing of marks")]
        if self.keeper is not None:
            self.tasks.append(tasks.start(self.keeper.run(), "keeping of marks"))

    async def stop(self) -> None:
        """End all tasks."""
        await tasks.stop(self.tasks)

    @property
    def version(self) -> int:
        """See Suspicion."""
        return self.marks.version

    def is_suspect(self, digest: str) -> bool:
        """See Suspicion."""
        return self.marks.verdict(digest, clock.now()) is marks.Verdict.SUSPECT

    def is_quarantined(self, digest: str) -> bool:
        """See Suspicion."""
        return self.marks.verdict(digest, clock.now()) is marks.Verdict.QUARANTINED

    def remaining(self, digest: str, now: ids.Instant) -> float:
        """Return the seconds until a digest's quarantine ends."""
        return self.marks.remaining(digest, now)

    def lost(
        self,
        ticket: messages.Ticket,
        server: ids.BackendServerId,
        alone: bool,
        now: ids.Instant,
    ) -> None:
        """See Suspicion.

        The entry calls this as soon as the server refuses connections, long
        before it gives the request up: in the meantime the caller may send the
        same request to another entry.
        """
        crash = marks.Crash(ticket.request_id, server, alone)
        if self.marks.add_crash(ticket.digest, crash, now):
            verdict = self.marks.verdict(ticket.digest, now)
            log.warning("{} lost with {}: {}", server, ticket.digest, verdict.value)
            self.tell(ticket.digest, now)

    def ended(
        self,
        ticket: messages.Ticket,
        done: messages.Done,
        alone: bool,
        now: ids.Instant,
    ) -> None:
        """Learn how a dispatched request ended, at its entry."""
        if done.outcome is messages.Outcome.CRASHED:
            self.lost(ticket, done.server, alone, now)
        elif done.outcome is messages.Outcome.COMPLETED:
            survived = self.marks.holds_against(ticket.digest, ticket.request_id)
            if (alone or survived) and self.marks.clear(ticket.digest, now):
                log.info("{} is cleared", ticket.digest)
                self.tell(ticket.digest, now)

    def tell(self, digest: str, now: ids.Instant) -> None:
        """Spread a mark that has changed here."""
        self.sharer.publish(digest, now)
        if self.keeper is not None:
            self.keeper.add(digest)
