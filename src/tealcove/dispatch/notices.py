"""Messages by which entries learn what a dispatcher refuses, and report refusals.

Times are whole milliseconds from the sending, which take a third of a float's bytes.
"""

from __future__ import annotations

import zlib

import msgspec

from tealcove import ids
from tealcove.dispatch import messages
from tealcove.peers import message

MILLISECONDS = 1000
# Number of different marks; one takes at most three bytes.
MARKS = 2**16


class RefusedFlow(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Requests of a tier, kind and account, all of which a dispatcher refuses now.

    A new field must come last and have a default; see peers.message.Message.
    """

    tier_rank: int
    urgency: int
    account: ids.AccountId
    # For how long one of them holds a slot, as a mean.
    slot_ms: int
    # Times at which a caller may return that are reserved for the entry.
    promised_ms: tuple[int, ...]
    # How many further requests the entry may refuse, without a promise.
    unpromised: int
    # Marks of the requests whose promised return is due, which aren't refused.
    returning: tuple[int, ...] = ()


class AdmissionNotice(message.Message):
    """What a dispatcher currently refuses entirely, for one entry."""

    cell: ids.CellId
    flows: tuple[RefusedFlow, ...]
    # Since the decision.
    age_ms: int = 0


class LocalRefusal(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A request that an entry refused by a notice.

    A new field must come last and have a default; see peers.message.Message.
    """

    # The digest of its content; its hexadecimal form has twice the bytes.
    digest: bytes
    prompt_tokens: int
    output_tokens: int
    tier_rank: int
    urgency: int
    account: ids.AccountId
    slot_ms: int
    # Until its caller gives up, its goal, and the time at which it may return.
    ms_to_end: int
    ms_to_goal: int
    ms_to_return: int
    is_promised: bool


class LocalRefusals(message.Message):
    """The requests that an entry has refused since its last report."""

    cell: ids.CellId
    refusals: tuple[LocalRefusal, ...]


def mark_of(digest: str) -> int:
    """Return a short mark of a request's content, for notices.

    Two contents may have one mark; then a request is sent to the dispatcher.
    """
    return zlib.crc32(digest.encode()) % MARKS


def milliseconds(seconds: float) -> int:
    """Return a duration in whole milliseconds."""
    return round(seconds * MILLISECONDS)


def ticket_of(
    refusal: LocalRefusal, cell: ids.CellId, entry: ids.InstanceId
) -> messages.Ticket:
    """Return the ticket that an entry would have sent for a refused request."""
    return messages.Ticket(
        ticket_id=ids.TicketId(""),
        request_id=ids.RequestId(""),
        cell=cell,
        entry=entry,
        tier_rank=refusal.tier_rank,
        account=refusal.account,
        idempotent=True,
        prompt_tokens=refusal.prompt_tokens,
        output_tokens=refusal.output_tokens,
        prefix=(),
        remaining=refusal.ms_to_end / MILLISECONDS,
        digest=refusal.digest.hex(),
        # A goal of 0 would mean that it has none.
        goal=max(1, refusal.ms_to_goal) / MILLISECONDS,
        urgency=refusal.urgency,
        caller_remaining=refusal.ms_to_end / MILLISECONDS,
        takes_notices=True,
    )
