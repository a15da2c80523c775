"""The quarantine of an instance, for its entry and its dispatcher."""

from __future__ import annotations

import asyncio

import logbook

from tealcove import clock, ids, tasks
from tealcove.dispatch import messages, suspicion
from tealcove.membership import heartbeats, members
from tealcove.peers import mesh
from tealcove.quarantine import marks, persistence, sharing
from tealcove.storage import table

log = logbook.Logger("quarantine")


class Quarantine(suspicion.Suspicion):
    """Marks requests that crashed a server, and shares the marks with all instances."""

    def __init__(
        self,
        transport: mesh.Mesh,
        known: members.Members,
        heartbeats: heartbeats.HeartbeatService,
        rows: table.TableService | None,
        quarantine_seconds: float,
        crashes_to_quarantine: int = marks.CRASHES_TO_QUARANTINE,
    ) -> None:
        self.marks = marks.Marks(quarantine_seconds, crashes_to_quarantine)
        self.sharer = sharing.Sharer(transport, known, heartbeats, self.marks)
        # Without a table, marks are lost when the last instance that has them stops.
        self.store = None if rows is None else persistence.MarkStore(rows, self.marks)
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start to share marks and to store them in the platform's table."""
        self.sharer.start()
        self.tasks = [tasks.start(self.sharer.run(), "sharing of marks")]
        if self.store is not None:
            self.tasks.append(tasks.start(self.store.run(), "persistence of marks"))

    async def stop(self) -> None:
        """Stop all tasks."""
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

        The entry calls this as soon as the server refuses connections, long before it
        fails the request: in the meantime the caller may send the same request to
        another entry.
        """
        crash = marks.Crash(ticket.request_id, server, alone)
        if self.marks.add_crash(ticket.digest, crash, now):
            verdict = self.marks.verdict(ticket.digest, now)
            log.warning(
                "{} lost while running {} with parts {}: {}",
                server,
                ticket.digest,
                " ".join(ticket.parts) or "none",
                verdict.value,
                extra={"request": ticket.request_id},
            )
            self.publish(ticket.digest, now)

    def record_end(
        self,
        ticket: messages.Ticket,
        done: messages.Done,
        alone: bool,
        now: ids.Instant,
    ) -> None:
        """Record at the entry how a dispatched request ended."""
        if done.outcome is messages.Outcome.CRASHED:
            self.lost(ticket, done.server, alone, now)
        elif done.outcome is messages.Outcome.COMPLETED:
            survived = self.marks.has_crash(ticket.digest, ticket.request_id)
            if (alone or survived) and self.marks.clear(ticket.digest, now):
                log.info("{} cleared", ticket.digest)
                self.publish(ticket.digest, now)

    def publish(self, digest: str, now: ids.Instant) -> None:
        """Share and store a mark that has changed here."""
        self.sharer.publish(digest, now)
        if self.store is not None:
            self.store.add(digest)
