"""The quarantine of an instance, for its entry and its dispatcher."""

from __future__ import annotations

import asyncio

import logbook

from tealcove import ids, tasks
from tealcove.dispatch import messages, suspicion
from tealcove.membership import heartbeats, members
from tealcove.peers import mesh
from tealcove.quarantine import (
    marks,
    partledger,
    parts,
    persistence,
    sharing,
)
from tealcove.quarantine import messages as quarantine_messages
from tealcove.storage import table

log = logbook.Logger("quarantine")

# Crashes that a log line names.
DESCRIBED_CRASHES = 3
# Digits of a request's digest in the records of parts, which only count requests.
DIGEST_DIGITS = 8
# The first blocks of a prompt that are parts, where its caller names none.
MAX_BLOCKS = 16


class Quarantine(suspicion.Suspicion):
    """Marks what crashed a server, and shares the marks with all instances.

    What crashes servers is a whole request, known by its digest, or one part that it
    shares with others.
    """

    def __init__(
        self,
        transport: mesh.Mesh,
        known: members.Members,
        heartbeats: heartbeats.HeartbeatService,
        rows: table.TableService | None,
        quarantine_seconds: float,
        crashes_to_quarantine: int = marks.CRASHES_TO_QUARANTINE,
    ) -> None:
        self.parts = partledger.PartLedger(quarantine_seconds)
        self.marks = marks.Marks(
            quarantine_seconds, crashes_to_quarantine, lambda: self.parts.explained
        )
        self.sharer = sharing.Sharer(
            transport,
            known,
            heartbeats,
            self.marks,
            quarantine_messages.MarksChanged,
            "marks",
        )
        self.part_sharer = sharing.Sharer(
            transport,
            known,
            heartbeats,
            self.parts,
            quarantine_messages.PartsChanged,
            "parts",
        )
        # Without a table, records are lost when the last instance that has them stops.
        self.store = self.part_store = None
        if rows is not None:
            self.store = persistence.store_of_marks(rows, self.marks)
            self.part_store = persistence.store_of_parts(rows, self.parts)
        self.tasks: list[asyncio.Task[None]] = []
        # Count of requests that this instance's callers were refused.
        self.refused = 0

    def start(self) -> None:
        """Start to share records and to store them in the platform's table."""
        for sharer in (self.sharer, self.part_sharer):
            sharer.start()
            self.tasks.append(tasks.start_loop(sharer.run, "sharing of marks"))
        for store in (self.store, self.part_store):
            if store is not None:
                self.tasks.append(tasks.start_loop(store.run, "persistence of marks"))

    async def stop(self) -> None:
        """Stop all tasks."""
        await tasks.stop(self.tasks)

    @property
    def version(self) -> int:
        """See Suspicion."""
        return self.marks.version + self.parts.version

    def suspects(self, ticket: messages.Ticket, now: ids.Instant) -> suspicion.Suspects:
        """See Suspicion."""
        if not self.marks.marks and not self.parts.records:
            return suspicion.NOTHING
        found = {part: self.parts.events(part, now) for part in parts_of(ticket)}
        keys = [part for part, events in found.items() if events]
        is_isolated = any(
            events >= partledger.EVENTS_TO_ISOLATE for events in found.values()
        )
        crashes = self.marks.count(ticket.digest, now)
        if crashes:
            keys.append(ticket.digest)
        # One more crash would quarantine it.
        is_isolated |= crashes + 1 >= self.marks.crashes_to_quarantine
        must_wait = any(
            self.parts.is_undecided(part, found, now)
            for part, events in found.items()
            if events
        )
        return suspicion.Suspects(tuple(keys), bool(keys) and is_isolated, must_wait)

    def is_quarantined(self, ticket: messages.Ticket, now: ids.Instant) -> bool:
        """See Suspicion."""
        return self.has_quarantined(ticket.digest, parts_of(ticket), now)

    def has_quarantined(
        self, digest: str, shared: tuple[ids.PartId, ...], now: ids.Instant
    ) -> bool:
        """Tell whether a request with a digest and some parts must not run for now."""
        if any(self.parts.is_convicted(part, now) for part in shared):
            return True
        return self.marks.verdict(digest, now) is marks.Verdict.QUARANTINED

    def judge(self, ticket: messages.Ticket, now: ids.Instant) -> bool:
        """See Suspicion."""
        for part in self.parts.judge(parts_of(ticket), now):
            self.log_conviction(part, now)
            self.publish_parts([part], now)
        return self.is_quarantined(ticket, now)

    def remaining(
        self, digest: str, shared: tuple[ids.PartId, ...], now: ids.Instant
    ) -> float:
        """Return the seconds until a request is no longer in quarantine."""
        convicted = [
            self.parts.records[part].convicted_until - now
            for part in shared
            if self.parts.is_convicted(part, now)
        ]
        return max([self.marks.remaining(digest, now), *convicted])

    def decide(self, part: ids.PartId, is_convicted: bool, now: ids.Instant) -> None:
        """Convict a part by an operator's order, or end its conviction."""
        self.parts.decide(part, is_convicted, now)
        log.warning(
            "part {} is {} by an operator's order",
            part,
            "convicted" if is_convicted else "released",
        )
        self.publish_parts([part], now)

    def lost(
        self,
        ticket: messages.Ticket,
        server: ids.BackendServerId,
        alone: bool,
        sent: ids.Instant,
        now: ids.Instant,
        is_writing: bool = False,
    ) -> None:
        """See Suspicion.

        The entry calls this as soon as the server refuses connections, long before it
        fails the request: in the meantime the caller may send the same request to
        another entry.
        """
        if not is_writing:
            self.accuse(ticket, server, sent, now)
        crash = marks.Crash(ticket.request_id, server, alone)
        if self.marks.add_crash(ticket.digest, crash, now):
            verdict = self.marks.verdict(ticket.digest, now)
            log.warning(
                "{} lost while running {} with parts {}: {}",
                server,
                ticket.digest,
                " ".join(parts_of(ticket)) or "none",
                verdict.value,
                extra={"request": ticket.request_id},
            )
            self.publish(ticket.digest, now)

    def note_loss(self, server: ids.BackendServerId, now: ids.Instant) -> None:
        """See Suspicion."""
        self.parts.note_loss(server, now)

    def accuse(
        self,
        ticket: messages.Ticket,
        server: ids.BackendServerId,
        sent: ids.Instant,
        now: ids.Instant,
    ) -> None:
        """Accuse the parts of a request whose server was lost."""
        digest = ticket.digest[:DIGEST_DIGITS]
        crash = parts.Crash(server, digest, sent, now)
        changed = self.parts.accuse(parts_of(ticket), crash, now)
        for part in changed:
            log.warning(
                "part {} accused of the crash of {}: {} events",
                part,
                server,
                self.parts.events(part, now),
                extra={"request": ticket.request_id},
            )
        self.publish_parts(changed, now)

    def answered(
        self, ticket: messages.Ticket, began: ids.Instant, now: ids.Instant
    ) -> None:
        """See Suspicion."""
        shared = parts_of(ticket)
        before = [part for part in shared if self.parts.is_convicted(part, now)]
        for part in self.parts.answer(shared, began, now):
            log.info("part {} cleared by {}", part, ticket.request_id)
        # Dispatchers see the answers themselves; only the end of a conviction is news.
        lifted = [part for part in before if not self.parts.is_convicted(part, now)]
        self.publish_parts(lifted, now)

    def record_end(
        self,
        ticket: messages.Ticket,
        done: messages.Done,
        alone: bool,
        now: ids.Instant,
    ) -> None:
        """Record at the entry how a dispatched request ended."""
        wrote = done.writing_seconds
        if done.outcome is messages.Outcome.CRASHED:
            sent = ids.Instant(now - done.total_seconds)
            is_writing = wrote > suspicion.WRITING_SECONDS
            self.lost(ticket, done.server, alone, sent, now, is_writing)
        elif done.outcome is messages.Outcome.COMPLETED:
            if done.is_success:
                self.answered(ticket, ids.Instant(now - wrote), now)
            survived = self.marks.has_crash(ticket.digest, ticket.request_id)
            if (alone or survived) and self.marks.clear(ticket.digest, now):
                log.info("{} cleared", ticket.digest)
                self.publish(ticket.digest, now)

    def is_unproved(self, ticket: messages.Ticket, now: ids.Instant) -> bool:
        """Tell whether no recent answer acquits one of a request's parts."""
        return any(not self.parts.answers.acquits(p, now) for p in parts_of(ticket))

    def record_refusal(
        self,
        request: ids.RequestId,
        digest: str,
        shared: tuple[ids.PartId, ...],
        now: ids.Instant,
    ) -> None:
        """Count a request that is refused to its caller, and log why."""
        self.refused += 1
        convicted = [part for part in shared if self.parts.is_convicted(part, now)]
        reasons = [f"part {part}: {self.describe(part, now)}" for part in convicted]
        log.info(
            "quarantined for {}",
            "; ".join(reasons) or f"its content {digest}",
            extra={"request": request, "final": True},
        )

    def log_conviction(self, part: ids.PartId, now: ids.Instant) -> None:
        """Log what a part was convicted of."""
        log.warning("part {} convicted: {}", part, self.describe(part, now))

    def describe(self, part: ids.PartId, now: ids.Instant) -> str:
        """Return the newest crashes that convicted a part, with their ages."""
        record = self.parts.records[part]
        if record.ruling.is_manual:
            return "by an operator's order"
        crashes = sorted(record.crashes.values(), key=lambda crash: -crash.at)
        newest = crashes[:DESCRIBED_CRASHES]
        return f"{len(crashes)} crashes, the last of " + ", ".join(
            f"{one.server} {now - one.at:.1f} s ago" for one in newest
        )

    def publish(self, digest: str, now: ids.Instant) -> None:
        """Share and store a mark that has changed here."""
        self.sharer.publish((digest,), now)
        if self.store is not None:
            self.store.add(digest)

    def publish_parts(self, changed: list[ids.PartId], now: ids.Instant) -> None:
        """Share records of parts that have changed here, and store those in doubt."""
        if changed:
            self.part_sharer.publish(changed, now)
        for part in changed:
            is_doubtful = self.parts.events(part, now) >= partledger.EVENTS_TO_ISOLATE
            record = self.parts.records.get(part)
            is_ruled = record is not None and record.ruling.number > 0
            if self.part_store is not None and (is_doubtful or is_ruled):
                self.part_store.add(part)


def parts_of(ticket: messages.Ticket) -> tuple[ids.PartId, ...]:
    """Return the parts of a prompt that other requests may share.

    Without parts named by its caller, they are the prompt's first blocks. The last
    complete block is left out, since it is usually the request's own.
    """
    if ticket.parts or not ticket.prefix:
        return ticket.parts
    shared = ticket.prefix[:-1][:MAX_BLOCKS]
    return tuple(ids.PartId(f"{block:x}") for block in shared)
