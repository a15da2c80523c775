"""Refuses requests on arrival at an entry that their dispatcher would refuse anyway."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable

import logbook
import msgspec

from tealcove import clock, ids, tokenbucket
from tealcove.admission import counts, entrypromises, refusedflows
from tealcove.dispatch import messages, notices
from tealcove.membership import members
from tealcove.peers import mesh

log = logbook.Logger("admission")

# Refusals a second that an entry may make by itself; further requests are admitted.
# Each is reported in some 60 bytes, and all messages of admission together may take
# 1,000 bytes a second.
MAX_RATE = 4.0


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """A request that has arrived, before a ticket is made for it."""

    request_id: ids.RequestId
    cell: ids.CellId
    tier_rank: int
    urgency: int
    account: ids.AccountId
    digest: str
    prompt_tokens: int
    output_tokens: int
    # Seconds until its goal; 0: it has none.
    goal: float
    # Seconds until its caller gives up; 0: not stated.
    caller_remaining: float
    # Whether it goes on with a stream that its caller has received in part.
    resumes_stream: bool = False

    @property
    def may_be_refused(self) -> bool:
        """Whether an entry may refuse it by itself."""
        is_recognisable = bool(self.digest) and self.caller_remaining > 0.0
        return is_recognisable and self.goal > 0.0 and not self.resumes_stream


class Allowance(msgspec.Struct):
    """What this entry may refuse of a flow, as of one notice."""

    valid_until: ids.Instant
    slot_ms: int
    # When callers may return, earliest first.
    promised: collections.deque[ids.Instant]
    unpromised: int
    returning: frozenset[int]

    def drop_early(self, now: ids.Instant) -> None:
        """Drop the times before which others can't know of a return."""
        earliest = now + refusedflows.ENTRY_RETURN_SECONDS
        while self.promised and self.promised[0] < earliest:
            self.promised.popleft()


class LocalRefusals:
    """Applies dispatchers' notices to arriving requests, and reports the refusals.

    With a stale notice or none, requests are admitted.
    """

    def __init__(
        self,
        transport: mesh.Mesh,
        known: members.Members,
        promises: entrypromises.EntryPromises,
        return_share: float,
        counted: counts.Counts,
        schedule: Callable[[ids.CellId], None] | None = None,
    ) -> None:
        # Has the refusals of a cell's requests reported soon.
        self.schedule = schedule or self.report_later
        self.transport = transport
        self.members = known
        self.promises = promises
        self.return_share = return_share
        self.counts = counted
        self.senders: dict[ids.CellId, ids.InstanceId] = {}
        self.allowances: dict[ids.CellId, dict[refusedflows.FlowKey, Allowance]] = {}
        self.unreported: dict[ids.CellId, list[Unreported]] = {}
        self.budget = tokenbucket.TokenBucket(MAX_RATE)

    def start(self) -> None:
        """Register the message handler."""
        self.transport.handle(
            notices.AdmissionNotice,
            lambda sender, notice: self.handle_notice(sender, notice, clock.now()),
        )

    def handle_notice(
        self, sender: ids.InstanceId, notice: notices.AdmissionNotice, now: ids.Instant
    ) -> None:
        """Replace what this entry may refuse of a cell's requests."""
        age = notice.age_ms / notices.MILLISECONDS
        self.senders[notice.cell] = sender
        self.allowances[notice.cell] = {
            refusedflows.FlowKey(flow.tier_rank, flow.urgency, flow.account): Allowance(
                valid_until=ids.Instant(now + refusedflows.VALID_SECONDS - age),
                slot_ms=flow.slot_ms,
                promised=collections.deque(
                    ids.Instant(now - age + due / notices.MILLISECONDS)
                    for due in flow.promised_ms
                ),
                unpromised=flow.unpromised,
                returning=frozenset(flow.returning),
            )
            for flow in notice.flows
        }

    def refuse(self, arrival: Arrival, now: ids.Instant) -> float | None:
        """Return the seconds after which a refused caller may return.

        None if the request is admitted.
        """
        key = refusedflows.FlowKey(arrival.tier_rank, arrival.urgency, arrival.account)
        allowance = self.allowances.get(arrival.cell, {}).get(key)
        if allowance is None or now > allowance.valid_until:
            return None
        if not arrival.may_be_refused or self.is_returning(arrival, allowance, now):
            return None
        if not self.budget.allows(1.0, now):
            return None
        period = self.return_share * arrival.caller_remaining
        allowance.drop_early(now)
        if allowance.promised and allowance.promised[0] <= now + period:
            due = allowance.promised.popleft()
            is_promised = True
        elif allowance.unpromised > 0:
            allowance.unpromised -= 1
            due, is_promised = ids.Instant(now + period), False
        else:
            return None
        self.record(arrival, allowance.slot_ms, due, is_promised, now)
        return max(0.0, due - now)

    def is_returning(
        self, arrival: Arrival, allowance: Allowance, now: ids.Instant
    ) -> bool:
        """Tell whether a request may be a promised return."""
        if notices.mark_of(arrival.digest) in allowance.returning:
            return True
        return self.promises.kept.has(arrival.cell, arrival.digest)

    def record(
        self,
        arrival: Arrival,
        slot_ms: int,
        due: ids.Instant,
        is_promised: bool,
        now: ids.Instant,
    ) -> None:
        """Log a refusal, keep what it promises, and report it soon."""
        self.budget.spend(1.0)
        self.counts.refused_locally += 1
        sender = self.senders[arrival.cell]
        log.info(
            "refused on arrival: overload, as {} refuses all of tier {} urgency {} "
            "account {}, retry after {:.3f} s, {}",
            sender,
            arrival.tier_rank,
            arrival.urgency,
            arrival.account,
            due - now,
            "promised" if is_promised else "not promised",
            extra={"request": arrival.request_id, "final": True},
        )
        if is_promised:
            self.promises.keep(
                arrival.cell,
                messages.PromisedReturn(
                    digest=arrival.digest,
                    prompt_tokens=arrival.prompt_tokens,
                    output_tokens=arrival.output_tokens,
                    tier_rank=arrival.tier_rank,
                    urgency=arrival.urgency,
                    account=arrival.account,
                    slot_seconds=slot_ms / notices.MILLISECONDS,
                    ends_in=arrival.caller_remaining,
                    goal_in=arrival.goal,
                    due_in=due - now,
                ),
                sender,
                now,
            )
        waiting = self.unreported.setdefault(arrival.cell, [])
        waiting.append(Unreported(arrival, slot_ms, due, is_promised, now))
        if len(waiting) == 1:
            self.schedule(arrival.cell)

    def report_later(self, cell: ids.CellId) -> None:
        """Report the refusals of a cell's requests in some tenths of a second."""
        loop = asyncio.get_running_loop()
        loop.call_later(
            refusedflows.REPORT_SECONDS, lambda: self.report(cell, clock.now())
        )

    def report(self, cell: ids.CellId, now: ids.Instant) -> None:
        """Report the refusals of a cell's requests to the notice's sender."""
        refusals = tuple(one.reported(now) for one in self.unreported.pop(cell, ()))
        peer = self.members.endpoint_of(self.senders[cell])
        if refusals and peer is not None:
            sent = notices.LocalRefusals(cell=cell, refusals=refusals)
            self.transport.send(peer, sent)


class Unreported(msgspec.Struct, frozen=True):
    """A refusal that its dispatcher hasn't been told yet."""

    arrival: Arrival
    slot_ms: int
    due: ids.Instant
    is_promised: bool
    refused_at: ids.Instant

    def reported(self, now: ids.Instant) -> notices.LocalRefusal:
        """Return the refusal as it is sent now."""
        since = now - self.refused_at
        arrival = self.arrival
        return notices.LocalRefusal(
            digest=bytes.fromhex(arrival.digest),
            prompt_tokens=arrival.prompt_tokens,
            output_tokens=arrival.output_tokens,
            tier_rank=arrival.tier_rank,
            urgency=arrival.urgency,
            account=arrival.account,
            slot_ms=self.slot_ms,
            ms_to_end=notices.milliseconds(arrival.caller_remaining - since),
            ms_to_goal=notices.milliseconds(arrival.goal - since),
            ms_to_return=notices.milliseconds(self.due - now),
            is_promised=self.is_promised,
        )
