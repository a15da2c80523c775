"""What the entry knows of a request when it accepts it."""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.dispatch import messages
from tealcove.entry import caller


class Work(msgspec.Struct, frozen=True, kw_only=True):
    """How much work a request is; a call to a plain service counts as one unit."""

    prompt_tokens: int = 1
    output_tokens: int = 1
    # Hashes of the prompt's blocks; see `tealcove.backends.prefixes`.
    prefix: tuple[int, ...] = ()
    model: str = ""
    adapter: str | None = None


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """What the entry knows of a request when it accepts it."""

    request_id: ids.RequestId
    caller: caller.Caller
    cell: ids.CellId
    near: ids.DataCentreId | None
    idempotent: bool
    deadline: ids.Instant
    work: Work
    # Of the content alone, by which crashing requests are known again.
    digest: str
    # Of method, path and body: what a key must always come with.
    fingerprint: str
    key: ids.IdempotencyKey | None = None


def new_ticket(
    request: Request,
    entry: ids.InstanceId,
    excluded: tuple[ids.BackendServerId, ...],
) -> messages.Ticket:
    """Return a new ticket for a request; `remaining` is set when it's sent."""
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
    )
