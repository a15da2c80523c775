"""The entry's side of claims: takes, completes and releases them."""

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

# The instances ranked first for this key write the claims.
WRITERS_KEY = "claim-writers"
# A change without an answer for so many seconds is sent to the next writer too.
RESEND_INTERVAL = 0.5
# Seconds between two attempts while the platform is unavailable.
RETRY_INTERVAL = 1.0
# The timeout of one attempt to change a held claim, in seconds.
RECORD_TIMEOUT = 10.0


class TakenError(errors.TealcoveError):
    """Another request holds the claim; `found` is the content of its row."""

    def __init__(self, found: claim.Claim) -> None:
        super().__init__(
            f"{found.entry} holds the claim", "Answer as recorded in the claim."
        )
        self.found = found


class UnavailableError(errors.TealcoveError):
    """No claim was taken, so the request must not be dispatched."""


class HeldClaim(msgspec.Struct, frozen=True):
    """A claim that this entry holds, with the version of its row."""

    key: str
    claim: claim.Claim
    version: int


class Claimer:
    """Takes, records and releases the claims of this entry."""

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
        # Nonces of claims that are being taken, held or recorded.
        self.active: set[str] = set()
        self.cleanups: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Register the handler of verdicts."""
        self.transport.handle(messages.RowVerdict, self.handle_verdict)

    async def stop(self) -> None:
        """Cancel the background deletions."""
        await tasks.stop(self.cleanups)

    async def claim(
        self, key: str, wanted: claim.Claim, deadline: ids.Instant
    ) -> HeldClaim:
        """Take a claim, or raise TakenError or UnavailableError.

        A claim whose outcome isn't known at the deadline is abandoned: its request
        isn't dispatched, and its row is deleted if one is found.
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
            raise conflict(found.value)
        raise UnavailableError(
            "The platform's table did not confirm the claim", "Send the request later."
        )

    async def record(self, held: HeldClaim, ended: claim.Claim) -> None:
        """Write how a held claim's request ended; retry until it is written."""
        await self.write(held, claim.encode(ended))

    async def release(self, held: HeldClaim) -> None:
        """Delete a held claim whose request was not and will not be dispatched."""
        await self.write(held, None)

    async def write(self, held: HeldClaim, value: bytes | None) -> None:
        """Change the row of a held claim; retry until the change is committed.

        Only requests that held a claim when the platform went down can wait here, so
        they don't accumulate during an outage.
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
                log.error("row of claim {} has changed unexpectedly", held.key)
                break
            await asyncio.sleep(RETRY_INTERVAL)
        self.active.discard(held.claim.nonce)

    async def ask(
        self, change: messages.RowChange, deadline: ids.Instant
    ) -> messages.RowVerdict:
        """Return a writer's verdict; ask the next writer when one doesn't answer."""
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
            # A writer that was asked earlier may still apply the change.
            return unsettled(change)
        return found

    def send(self, change: messages.RowChange, attempts: int, now: ids.Instant) -> None:
        """Send a change to one of the writers.

        Keys are hashed to different writers, so that they share the work. Only the
        first in rank are used, also by retries, since their number bounds the rate of
        writes.
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
        """Pass a verdict to its waiting request, or undo an abandoned claim."""
        waiting = self.pending.get(verdict.change_id)
        if waiting is not None:
            if not waiting.done():
                waiting.set_result(verdict)
        elif verdict.verdict is messages.Verdict.COMMITTED:
            self.undo_late(verdict)

    def undo_late(self, verdict: messages.RowVerdict) -> None:
        """Delete a claim that was written after its request had been abandoned.

        Its caller got "not run" and may retry, and would get "unknown" for as long as
        the row exists.
        """
        if verdict.value is None or verdict.change_id in self.active:
            return
        try:
            found = claim.decode(verdict.value)
        except errors.PlatformError as error:
            log.warning("a verdict on {} is ignored: {}", verdict.key, error)
            return
        if found.nonce == verdict.change_id:
            self.abandon(verdict.key, verdict.change_id)

    def abandon(self, key: str, nonce: str) -> None:
        """Delete a claim of this entry, if there is one, in the background."""
        work = self.delete_own(key, nonce)
        task = tasks.start(work, f"deletion of the claim {key}")
        self.cleanups.add(task)
        task.add_done_callback(self.cleanups.discard)

    async def delete_own(self, key: str, nonce: str) -> None:
        """Read the row of an abandoned claim, and delete it if it is this entry's."""
        while True:
            try:
                row = await self.rows.read(claim.TABLE, key)
                break
            except errors.PlatformError:
                await asyncio.sleep(RETRY_INTERVAL)
        try:
            found = None if row is None else claim.decode(row.value)
        except errors.PlatformError as error:
            # Another writer's: this entry's own rows can be decoded.
            log.warning("the row of claim {} is left: {}", key, error)
            found = None
        if found is not None and self.is_undispatched(found, nonce):
            await self.release(HeldClaim(key, found, row.version))
        self.active.discard(nonce)

    def is_undispatched(self, found: claim.Claim, nonce: str) -> bool:
        """Return whether a row belongs to a claim that was abandoned here.

        The end of each claim that was used is recorded before it leaves `active`. A
        verdict on its first write may still arrive after that, from a second writer, or
        arrive at an instance that was restarted while its request ran; if the row were
        deleted then, the request could run again.
        """
        return (
            found.nonce == nonce
            and found.incarnation == self.members.own.incarnation
            and found.state is claim.State.CLAIMED
        )

    async def read_claim(self, key: str) -> claim.Claim | None:
        """Return the claim stored under a key, or None; raises PlatformError."""
        row = await self.rows.read(claim.TABLE, key)
        return None if row is None else claim.decode(row.value)

    def is_entry_alive(self, found: claim.Claim, now: ids.Instant) -> bool:
        """Return whether the incarnation that holds a claim is still alive."""
        return any(
            (heartbeat.instance, heartbeat.incarnation)
            == (found.entry, found.incarnation)
            for heartbeat in self.members.alive(now)
        )


def new_nonce() -> str:
    """Return a unique id for a claim or a change."""
    return str(ids.new_incarnation())


def conflict(content: bytes) -> TakenError | UnavailableError:
    """Return the error for a claim whose row exists."""
    try:
        return TakenError(claim.decode(content))
    except errors.PlatformError as error:
        return UnavailableError(error.problem, error.remedy)


def unsettled(change: messages.RowChange) -> messages.RowVerdict:
    """Return the verdict that a change's outcome is unknown."""
    return messages.RowVerdict(
        change_id=change.change_id,
        key=change.key,
        verdict=messages.Verdict.UNSETTLED,
    )
