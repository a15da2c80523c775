"""An accepted request, and the ticket that is made from it."""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.dispatch import messages
from tealcove.entry import caller


class Work(msgspec.Struct, frozen=True, kw_only=True):
    """The work of a request; a call to a plain service counts as one token each way."""

    prompt_tokens: int = 1
    output_tokens: int = 1
    # Hashes of the prompt's blocks; see `tealcove.backends.prefixes`.
    prefix: tuple[int, ...] = ()
    model: str = ""
    adapter: str | None = None


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted request, with its routing, deadline and digests."""

    request_id: ids.RequestId
    caller: caller.Caller
    cell: ids.CellId
    near: ids.DataCentreId | None
    idempotent: bool
    deadline: ids.Instant
    work: Work
    # Digest of the content alone; identifies requests that crash servers.
    digest: str
    # Digest of method, path and body, which must be the same for a reused key.
    fingerprint: str
    key: ids.IdempotencyKey | None = None


def new_ticket(
    request: Request,
    entry: ids.InstanceId,
    excluded: tuple[ids.BackendServerId, ...],
) -> messages.Ticket:
    """Return a new ticket for a request; `remaining` is set on sending."""
    return messages.Ticket(
        ticket_id=ids.new_ticket_id(),
        request_id=request.request_id,
        cell=request.cell,
        entry=entry,
        tier_rank=request.caller.tier_rank,
        account=request.caller.account,
        idempotent=request.idempotent,
        prompt_tokens=request.work.prompt_tokens,
        output_tokens=request.work.output_tokens,
        prefix=request.work.prefix,
        remaining=0.0,
        model=request.work.model,
        adapter=request.work.adapter,
        digest=request.digest,
        excluded=excluded,
        weight=request.caller.weight,
    )
