"""The processing of a request, from acceptance to its one final answer."""

from __future__ import annotations

import abc
import asyncio

import logbook

from tealcove import clock, errors, ids
from tealcove.backends import engine
from tealcove.callermemory import holding
from tealcove.claims import claim
from tealcove.dispatch import messages, pending, requester, suspicion
from tealcove.entry import (
    admission_control,
    admitted,
    answer,
    claiming,
    failures,
    lifecycle,
    problem,
    reply,
    spans,
)
from tealcove.limits import admission

log = logbook.Logger("entry")

# Servers that are tried; a request whose connections all fail is given up.
CONNECT_ATTEMPTS = 3
RETRY_AFTER = 1.0


class Exchange(abc.ABC):
    """Runs one request in a task; callers read its `answer`."""

    answer: answer.Answer | reply.Reply

    def __init__(
        self,
        request: admitted.Request,
        tickets: requester.Requester,
        claimed: claiming.RequestClaim | None,
    ) -> None:
        self.request = request
        self.tickets = tickets
        # None for an idempotent request.
        self.claim = claimed
        self.state = lifecycle.Lifecycle()
        # Callers that read the answer; the entry cancels the task when none is left.
        self.readers = 0
        self.task: asyncio.Task[None] | None = None
        # Whether it is ended since this instance stops.
        self.is_leaving = False
        # None admits every request.
        self.admission_control: admission_control.AdmissionControl | None = None
        self.spans = spans.RequestSpans()
        self.charge: admission.Charge | None = None
        self.excluded: tuple[ids.BackendServerId, ...] = ()
        self.dispatched_at = ids.Instant(0.0)
        # What it holds of the memory for callers; set before it runs.
        self.holding = holding.unlimited(clock.now())
        self.first_token_at: ids.Instant | None = None

    @abc.abstractmethod
    async def execute(
        self, pending_ticket: pending.PendingTicket, server: engine.Server
    ) -> None:
        """Dispatch the request once and fill `answer`.

        Must call `mark_dispatched` before the first byte is written. Raises
        NotDispatchedError only if it didn't, BackendError for any other failure.
        """

    @abc.abstractmethod
    def usage(self) -> engine.Usage:
        """Return the tokens that were processed."""

    @abc.abstractmethod
    def complete_answer(self) -> claim.StoredAnswer | None:
        """Return the answer of a completed request; None if it's too long to store."""

    def predicted_tokens(self) -> int:
        """Return the tokens to charge the account with; calls to services cost none."""
        return 0

    async def cancel_leftover(self, server: engine.Server) -> None:
        """Cancel the request on the server if it may still run and can be cancelled."""
        return

    async def run(self) -> None:
        """Run the request; `answer` has always ended afterwards."""
        try:
            await self.admit()
            await self.run_with_slot()
            self.answer.end()
        except problem.ProblemError as error:
            self.answer.end(await self.check_earlier_claim(error))
        except claiming.KeptAnswerError as error:
            self.answer.end(error)
        except asyncio.CancelledError:
            if not self.is_leaving:
                self.answer.end(self.fail("cancelled"))
                raise
            asyncio.current_task().uncancel()
            self.answer.end(self.fail(messages.RefusalReason.LEAVING.value))
        except Exception:
            log.exception("request failed", extra={"request": self.request.request_id})
            self.answer.end(self.fail("internal_error"))
        finally:
            self.settle_charge()
        if self.claim is not None:
            await self.claim.record_end(self.state.state, self.complete_answer)

    def leave(self) -> None:
        """End the request with an answer, since this instance stops."""
        self.is_leaving = True
        self.task.cancel()

    async def check_earlier_claim(self, refusal: problem.ProblemError) -> Exception:
        """Return the error for a request that ends with a problem."""
        if self.claim is None or refusal.problem.outcome is not problem.Outcome.NOT_RUN:
            return refusal
        return await self.claim.check_earlier_claim(refusal)

    async def admit(self) -> None:
        """Check for quarantine and charge the account; raises ProblemError."""
        if self.admission_control is None:
            return
        request = self.request
        tokens = self.predicted_tokens()
        try:
            self.charge = await self.admission_control.admit(
                request.caller, request.digest, tokens, request.request_id
            )
        except problem.ProblemError:
            self.state.give_up()
            raise

    def settle_charge(self) -> None:
        """Replace the predicted charge by the tokens that were used."""
        if self.charge is None:
            return
        used = 0
        if self.state.state is not lifecycle.State.NOT_RUN:
            usage = self.usage()
            used = usage.prompt_tokens + usage.completion_tokens
        self.charge.settle(used)

    def report_server_lost(
        self, pending_ticket: pending.PendingTicket, server: engine.Server
    ) -> None:
        """Report that the server refuses connections, so the request is suspect."""
        if self.admission_control is None:
            return
        now = clock.now()
        wrote = now - (self.first_token_at or now)
        self.admission_control.report_server_lost(
            pending_ticket.ticket,
            server.name,
            pending_ticket.alone,
            self.dispatched_at,
            wrote > suspicion.WRITING_SECONDS,
        )

    async def run_with_slot(self) -> None:
        """Obtain a slot and run the request; retry if the connection fails."""
        for _ in range(CONNECT_ATTEMPTS):
            self.state.wait()
            pending_ticket = self.new_pending_ticket()
            granted = await self.obtain(pending_ticket)
            server = engine.Server(granted.server, granted.host, granted.port)
            await self.prepare_dispatch(pending_ticket, server)
            try:
                await self.run_granted(pending_ticket, server)
                return
            except engine.NotDispatchedError as error:
                log.info("{}", error, extra={"request": self.request.request_id})
                self.excluded = (*self.excluded, server.name)
        self.state.give_up()
        raise problem.not_run(
            messages.RefusalReason.NO_BACKEND_SERVER,
            RETRY_AFTER,
            "No backend server of the pool could be connected to.",
        )

    def new_pending_ticket(self) -> pending.PendingTicket:
        """Return a new pending ticket for this request."""
        own = self.tickets.members.own.instance
        ticket = admitted.new_ticket(self.request, own, self.excluded)
        return pending.PendingTicket(ticket, self.request.deadline, self.request.near)

    async def obtain(self, pending_ticket: pending.PendingTicket) -> messages.Grant:
        """Return the grant of a slot; raises ProblemError for a refusal."""
        try:
            with self.spans.ticket(pending_ticket):
                found = await self.tickets.obtain(pending_ticket)
        except asyncio.CancelledError:
            self.tickets.abandon(pending_ticket)
            raise
        if isinstance(found, messages.Refusal):
            self.state.give_up()
            raise problem.not_run(found.reason, self.retry_after(found))
        return found

    def retry_after(self, refusal: messages.Refusal) -> float:
        """Return the seconds after which a refused request may be sent again."""
        is_quarantined = refusal.reason is messages.RefusalReason.QUARANTINED
        if is_quarantined and self.admission_control is not None:
            return self.admission_control.remaining(self.request.digest)
        return refusal.retry_after

    async def prepare_dispatch(
        self, pending_ticket: pending.PendingTicket, server: engine.Server
    ) -> None:
        """Acquire the claim if one is needed; return the grant on failure.

        After a pause of this process the deadline may have passed already.
        """
        try:
            if self.claim is not None:
                with self.spans.claim():
                    await self.claim.acquire(server.name, self.request.deadline)
                self.state.claim()
            if clock.now() >= self.request.deadline:
                raise problem.not_run(messages.RefusalReason.DEADLINE, RETRY_AFTER)
        except BaseException:
            self.tickets.abandon(pending_ticket)
            self.state.give_up()
            raise

    async def run_granted(
        self, pending_ticket: pending.PendingTicket, server: engine.Server
    ) -> None:
        """Run the request on a granted server, and report how it ended."""
        outcome = messages.Outcome.FAILED
        try:
            with self.spans.server(server):
                await self.execute_unless_preempted(pending_ticket, server)
            self.state.complete()
            outcome = messages.Outcome.COMPLETED
        except engine.NotDispatchedError:
            outcome = messages.Outcome.NOT_SENT
            raise
        except asyncio.CancelledError:
            outcome = messages.Outcome.CANCELLED
            raise
        except failures.CrashError as error:
            outcome = messages.Outcome.CRASHED
            raise self.fail("backend_server_lost") from error
        except failures.PreemptedError as error:
            outcome = messages.Outcome.CANCELLED
            raise self.fail("preempted", error.retry_after) from error
        except errors.BackendError as error:
            raise self.fail("backend_server_failed", detail=error.problem) from error
        finally:
            self.tickets.finish(
                pending_ticket, self.done_message(pending_ticket, server, outcome)
            )
            if outcome not in (messages.Outcome.COMPLETED, messages.Outcome.NOT_SENT):
                await self.cancel_leftover(server)

    async def execute_unless_preempted(
        self, pending_ticket: pending.PendingTicket, server: engine.Server
    ) -> None:
        """Run the request, and stop it if it's preempted."""
        running = asyncio.create_task(self.execute(pending_ticket, server))
        try:
            await asyncio.wait(
                (running, pending_ticket.preempted), return_when=asyncio.FIRST_COMPLETED
            )
            if not running.done():
                raise failures.PreemptedError(
                    pending_ticket.preempted.result().retry_after
                )
            running.result()
        finally:
            if not running.done():
                running.cancel()
                await asyncio.gather(running, return_exceptions=True)
            elif not running.cancelled():
                # It failed while this was being cancelled; asyncio would log an
                # exception that was never retrieved.
                running.exception()

    def mark_dispatched(
        self, pending_ticket: pending.PendingTicket, server: engine.Server
    ) -> None:
        """Mark the request irrevocably as dispatched, before its first byte is sent."""
        if self.request.idempotent:
            self.state.dispatch()
        else:
            self.state.dispatch_claimed()
        self.dispatched_at = clock.now()
        self.spans.add_event(spans.DISPATCHED)
        self.tickets.mark_running(pending_ticket, server.name)

    def fail(
        self, reason: str, retry_after: float | None = None, detail: str = ""
    ) -> problem.ProblemError:
        """Move to the state of a failed request and return the caller's error."""
        if self.state.state in lifecycle.UNSENT:
            self.state.give_up()
        if self.state.state is lifecycle.State.NOT_RUN:
            refusal = messages.RefusalReason.NO_BACKEND_SERVER
            if self.is_leaving:
                refusal = messages.RefusalReason.LEAVING
            return problem.not_run(refusal, retry_after, detail)
        if self.request.idempotent:
            if self.state.state is lifecycle.State.DISPATCHED:
                self.state.interrupt()
            return problem.interrupted(reason, detail, retry_after)
        if self.state.state is lifecycle.State.DISPATCHED:
            self.state.lose()
        return problem.unknown(reason, detail)

    def done_message(
        self,
        pending_ticket: pending.PendingTicket,
        server: engine.Server,
        outcome: messages.Outcome,
    ) -> messages.Done:
        """Return the message that frees the slot and reports the server's speed."""
        usage = self.usage()
        now = clock.now()
        first = self.first_token_at or now
        return messages.Done(
            ticket_id=pending_ticket.ticket.ticket_id,
            cell=pending_ticket.ticket.cell,
            server=server.name,
            outcome=outcome,
            prompt_tokens=usage.prompt_tokens,
            cached_tokens=usage.cached_tokens,
            output_tokens=usage.completion_tokens,
            first_token_seconds=first - self.dispatched_at,
            total_seconds=now - self.dispatched_at,
            is_success=outcome is messages.Outcome.COMPLETED,
        )
