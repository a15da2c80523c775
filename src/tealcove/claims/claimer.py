"""The entry's side of claims: takes them, records their ends, gives them back."""

from __future__ import annotations

import asyncio
import zlib

import logbook
import msgspec

from tealcove import clock, errors, ids, tasks
from tealcove.claims import claim, messages
from tealcove.membership import members
from tealcove.peers import mesh
from tealcove.storage import table

log = logbook.Logger("claims")

# The instances that write claims are those ranked first for this key.
WRITERS_KEY = "claim-writers"
# A change unanswered for so many seconds goes to the next writer too.
RESEND_INTERVAL = 0.5
# Seconds between two tries while the platform can't be used.
RETRY_INTERVAL = 1.0
# Seconds that one try to record an end may take.
RECORD_TIMEOUT = 10.0


class TakenError(errors.TealcoveError):
    """Another request holds the claim; `found` is what its row says."""

    def __init__(self, found: claim.Claim) -> None:
        super().__init__(
            f"{found.entry} holds the claim", "Answer by what the claim says."
        )
        self.found = found


class UnavailableError(errors.TealcoveError):
    """No claim was taken, so the request may not be dispatched."""


class HeldClaim(msgspec.Struct, frozen=True):
    """A claim that is ours, at the version of its row."""

    key: str
    claim: claim.Claim
    version: int


class Claimer:
    """All claims of this entry."""

    def __init__(
        self,
        transport: mesh.Mesh,
        known: members.Members,
        rows: table.TableService,
        writers: int,
    ) -> None:
        self.transport = transport
        self.members = known
        self.rows = rows
        self.writers = writers
        self.pending: dict[str, asyncio.Future[messages.RowVerdict]] = {}
        # Nonces of claims that are being taken, are held, or are being recorded.
        self.active: set[str] = set()
        self.cleanups: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Begin to take verdicts."""
        self.transport.handle(messages.RowVerdict, self.handle_verdict)

    async def stop(self) -> None:
        """End the tasks in the background."""
        await tasks.stop(self.cleanups)

    async def claim(
        self, key: str, wanted: claim.Claim, deadline: ids.Instant
    ) -> HeldClaim:
        """Take a claim; raises TakenError or UnavailableError.

        A claim whose fate isn't known at the deadline is given up: its request
        isn't dispatched, and its row is deleted once it is found.
        """
        self.active.add(wanted.nonce)
        change = messages.RowChange(
            change_id=wanted.nonce, key=key, expected=None, value=claim.encode(wanted)
        )
        try:
            found = await self.ask(change, deadline)
        except asyncio.CancelledError:
            self.abandon(key, wanted.nonce)
            raise
        if found.verdict is messages.Verdict.COMMITTED:
            return HeldClaim(key, wanted, found.version)
        if found.verdict is messages.Verdict.UNSETTLED:
            self.abandon(key, wanted.nonce)
        else:
            self.active.discard(wanted.nonce)
        if found.verdict is messages.Verdict.CONFLICT:
            raise TakenError(claim.decode(found.value))
        raise UnavailableError(
            "The platform's table didn't take the claim", "Send the request later."
        )

    async def record(self, held: HeldClaim, ended: claim.Claim) -> None:
        """Write how a held claim's request ended; tries until it's written."""
        await self.write(held, claim.encode(ended))

    async def release(self, held: HeldClaim) -> None:
        """Delete a held claim, whose request never was nor will be dispatched."""
        await self.write(held, None)

    async def write(self, held: HeldClaim, value: bytes | None) -> None:
        """Change the row of a held claim; tries until the platform has taken it.

        Only requests that held a claim when the platform went down can wait here,
        so an outage doesn't pile them up.
        """
        change = messages.RowChange(
            change_id=new_nonce(), key=held.key, expected=held.version, value=value
        )
        while True:
            deadline = ids.Instant(clock.now() + RECORD_TIMEOUT)
            found = await self.ask(change, deadline)
            if found.verdict is messages.Verdict.COMMITTED:
                break
            if found.verdict is messages.Verdict.CONFLICT:
                log.error("another has changed the claim {}", held.key)
                break
            await asyncio.sleep(RETRY_INTERVAL)
        self.active.discard(held.claim.nonce)

    async def ask(
        self, change: messages.RowChange, deadline: ids.Instant
    ) -> messages.RowVerdict:
        """Return a writer's verdict, asking the next one when one is silent."""
        verdict = asyncio.get_running_loop().create_future()
        self.pending[change.change_id] = verdict
        attempts = 0
        try:
            while not verdict.done():
                now = clock.now()
                if now >= deadline:
                    return unsettled(change)
                self.send(change, attempts, now)
                attempts += 1
                pause = min(RESEND_INTERVAL, deadline - now)
                await asyncio.wait((verdict,), timeout=pause)
        finally:
            del self.pending[change.change_id]
        found = verdict.result()
        if found.verdict is messages.Verdict.REFUSED and attempts > 1:
            # Another writer that was asked before may still apply it.
            return unsettled(change)
        return found

    def send(self, change: messages.RowChange, attempts: int, now: ids.Instant) -> None:
        """Send a change to one of the writers.

        Keys go to different writers, so that all of them share the work. Only
        the first in rank are asked, however often, since their number is what
        bounds the rate of writes.
        """
        ranked = self.members.rank(WRITERS_KEY, now) or [self.members.own.instance]
        writers = ranked[: self.writers]
        number = (zlib.crc32(change.key.encode()) + attempts) % len(writers)
        peer = self.members.endpoint_of(writers[number])
        if peer is not None:
            self.transport.send(peer, change)

    def handle_verdict(
        self, sender: ids.InstanceId, verdict: messages.RowVerdict
    ) -> None:
        """Hand a verdict to who waits for it, or undo what nobody wants any more."""
        waiting = self.pending.get(verdict.change_id)
        if waiting is not None:
            if not waiting.done():
                waiting.set_result(verdict)
        elif verdict.verdict is messages.Verdict.COMMITTED:
            self.undo_late(verdict)

    def undo_late(self, verdict: messages.RowVerdict) -> None:
        """Delete a claim that was written after its request had been given up.

        Its caller was told "not run" and may send again, and would be told
        "unknown" for as long as the row stands.
        """
        if verdict.value is None or verdict.change_id in self.active:
            return
        if claim.decode(verdict.value).nonce == verdict.change_id:
            self.abandon(verdict.key, verdict.change_id)

    def abandon(self, key: str, nonce: str) -> None:
        """Delete a claim of ours, if there is one, without being waited for."""
        work = self.delete_own(key, nonce)
        task = tasks.start(work, f"deletion of the claim {key}")
        self.cleanups.add(task)
        task.add_done_callback(self.cleanups.discard)

    async def delete_own(self, key: str, nonce: str) -> None:
        """Look for the row of a claim that was given up, and delete it."""
        while True:
            try:
                row = await self.rows.read(claim.TABLE, key)
                break
            except errors.PlatformError:
                await asyncio.sleep(RETRY_INTERVAL)
        if row is not None:
            found = claim.decode(row.value)
            if self.is_undispatched(found, nonce):
                await self.release(HeldClaim(key, found, row.version))
        self.active.discard(nonce)

    def is_undispatched(self, found: claim.Claim, nonce: str) -> bool:
        """Tell whether a row is of a claim that was given up here.

        The end of each claim that was used is recorded before it leaves `active`. A
        verdict on its first writing may still come after that, from a second
        writer, or come to an instance that was restarted while its request ran;
        were the row deleted then, the request could run again.
        """
        return (
            found.nonce == nonce
            and found.incarnation == self.members.own.incarnation
            and found.state is claim.State.CLAIMED
        )

    async def read_claim(self, key: str) -> claim.Claim | None:
        """Return the claim that stands under a key; raises PlatformError."""
        row = await self.rows.read(claim.TABLE, key)
        return None if row is None else claim.decode(row.value)

    def is_entry_alive(self, found: claim.Claim, now: ids.Instant) -> bool:
        """Tell whether the entry that holds a claim is still there."""
        return any(
            (heartbeat.instance, heartbeat.incarnation)
            == (found.entry, found.incarnation)
            for heartbeat in self.members.alive(now)
        )


def new_nonce() -> str:
    """Draw an id that no other claim or change has."""
    return str(ids.new_incarnation())


def unsettled(change: messages.RowChange) -> messages.RowVerdict:
    """Return the verdict that nobody knows what became of a change."""
    return messages.RowVerdict(
        change_id=change.change_id,
        key=change.key,
        verdict=messages.Verdict.UNSETTLED,
    )
