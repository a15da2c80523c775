"""The claim of one non-idempotent request, and answers from an earlier claim."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import logbook
import msgspec

from tealcove import clock, errors, ids
from tealcove.claims import claim, claimer
from tealcove.dispatch import messages
from tealcove.entry import lifecycle, problem

log = logbook.Logger("entry")

RETRY_AFTER = 1.0
# Longest wait of a refusal for the lookup of an earlier claim, in seconds.
LOOKUP_TIMEOUT = 0.05
EARLIER_UNKNOWN = (
    "This sending was not run; whether an earlier one with the same key was can't "
    "be told now. Keep the key when you send again."
)


class KeptAnswerError(Exception):
    """Ends a request with the answer that its claim records."""

    def __init__(self, answer: claim.StoredAnswer) -> None:
        super().__init__("the request was completed before")
        self.answer = answer


class RequestClaim:
    """Decides whether a request may be dispatched, and records how it ended."""

    def __init__(
        self,
        claims: claimer.Claimer,
        account: ids.AccountId,
        key: ids.IdempotencyKey,
        request_id: ids.RequestId,
        fingerprint: str,
    ) -> None:
        self.claims = claims
        self.key = claim.row_key(account, key)
        self.request_id = request_id
        self.fingerprint = fingerprint
        self.held: claimer.HeldClaim | None = None
        self.server = ids.BackendServerId("")

    async def acquire(self, server: ids.BackendServerId, deadline: ids.Instant) -> None:
        """Acquire the claim, unless it's held already.

        Raises ProblemError or KeptAnswerError when the request may not be run.
        """
        self.server = server
        if self.held is not None:
            return
        own = self.claims.members.own
        wanted = claim.Claim(
            nonce=claimer.new_nonce(),
            entry=own.instance,
            incarnation=own.incarnation,
            request_id=self.request_id,
            server=server,
            fingerprint=self.fingerprint,
            claimed_at=time.time(),
        )
        try:
            self.held = await self.claims.claim(self.key, wanted, deadline)
        except claimer.TakenError as error:
            raise self.error_for(error.found) from error
        except claimer.UnavailableError as error:
            raise problem.not_run(
                messages.RefusalReason.PLATFORM_DOWN, RETRY_AFTER
            ) from error

    async def check_earlier_claim(self, refusal: problem.ProblemError) -> Exception:
        """Return the error for a request that is about to be refused.

        A caller may read "not run" as referring to all its attempts, and send the
        request under a new key although an earlier attempt ran. So this looks up
        whether an earlier attempt holds the claim.
        """
        if self.held is not None:
            return refusal
        try:
            async with asyncio.timeout(LOOKUP_TIMEOUT):
                found = await self.claims.read_claim(self.key)
        except (errors.PlatformError, TimeoutError):
            explained = msgspec.structs.replace(refusal.problem, detail=EARLIER_UNKNOWN)
            return problem.ProblemError(explained)
        return refusal if found is None else self.error_for(found)

    def error_for(self, found: claim.Claim) -> Exception:
        """Return the error for a request whose claim another attempt holds."""
        if found.fingerprint != self.fingerprint:
            return problem.key_reused()
        if found.state is claim.State.COMPLETED:
            if found.answer is None:
                return problem.answer_not_kept()
            return KeptAnswerError(found.answer)
        if found.state is claim.State.UNKNOWN:
            return problem.unknown("ended_unknown")
        if self.claims.is_entry_alive(found, clock.now()):
            return problem.unknown("in_progress", retry_after=RETRY_AFTER)
        return problem.unknown("entry_lost")

    async def record_end(
        self,
        state: lifecycle.State,
        complete_answer: Callable[[], claim.StoredAnswer | None],
    ) -> None:
        """Record in the table how the request ended, after it was answered.

        Until this returns, the request counts as in progress: requests with the same
        key join it, and a shutdown waits for it. Waits while the platform is down.
        """
        if self.held is None:
            return
        try:
            if state is lifecycle.State.NOT_RUN:
                await self.claims.release(self.held)
            else:
                await self.claims.record(
                    self.held, self.ended_claim(state, complete_answer)
                )
        except Exception:
            # Nothing awaits this task's result: without the log line, the only sign
            # would be a key that stays "in progress" indefinitely.
            log.exception(
                "cannot record the end of a request in its claim",
                extra={"key": self.key},
            )

    def ended_claim(
        self,
        state: lifecycle.State,
        complete_answer: Callable[[], claim.StoredAnswer | None],
    ) -> claim.Claim:
        """Return the final claim of a request that was dispatched."""
        if state is not lifecycle.State.COMPLETED:
            return msgspec.structs.replace(
                self.held.claim, server=self.server, state=claim.State.UNKNOWN
            )
        answer = complete_answer()
        return msgspec.structs.replace(
            self.held.claim,
            server=self.server,
            state=claim.State.COMPLETED,
            answer=answer if answer is not None and answer.fits_row() else None,
        )
