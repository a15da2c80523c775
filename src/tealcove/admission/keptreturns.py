"""The promised returns that passed through an entry, and which dispatcher has them."""

from __future__ import annotations

from tealcove import ids
from tealcove.dispatch import awaitedreturns, messages

Holder = awaitedreturns.Holder
# Upper bound on the returns of one cell. An entry of 150 requests a second, half of
# them refused with a promise, keeps them for up to 6 s.
MAX_KEPT = 500


class KeptReturn(awaitedreturns.AwaitedReturn):
    """A promised return of a caller that this entry has refused."""

    # The process that knows of it.
    holder: Holder
    # Whether the next in rank was told as well.
    is_copied: bool = False


class KeptReturns:
    """Promised returns by cell, kept until a second after they are due."""

    def __init__(self) -> None:
        self.by_cell: dict[ids.CellId, list[KeptReturn]] = {}

    def add(
        self,
        cell: ids.CellId,
        promised: messages.PromisedReturn,
        holder: Holder,
        now: ids.Instant,
    ) -> KeptReturn:
        """Keep a return that a dispatcher has promised."""
        self.expire(now)
        kept = self.by_cell.setdefault(cell, [])
        kept.append(KeptReturn(promised, now, holder))
        found = kept[-1]
        del kept[:-MAX_KEPT]
        return found

    def take_uncopied(
        self, cell: ids.CellId, now: ids.Instant
    ) -> tuple[messages.PromisedReturn, ...]:
        """Return the returns that no other entry knows; they count as copied."""
        found = []
        for kept in self.by_cell.get(cell, ()):
            if not kept.is_copied and not kept.is_over(now):
                kept.is_copied = True
                found.append(kept.as_of(now))
        return tuple(found)

    def hand_over(
        self, cell: ids.CellId, holder: Holder, now: ids.Instant
    ) -> tuple[messages.PromisedReturn, ...]:
        """Return the returns that a dispatcher doesn't know; it counts as told."""
        found = []
        for kept in self.by_cell.get(cell, ()):
            if kept.holder != holder and not kept.is_over(now):
                kept.holder = holder
                found.append(kept.as_of(now))
        return tuple(found)

    def has(self, cell: ids.CellId, digest: str) -> bool:
        """Tell whether a return of a request with some content is promised."""
        return any(one.promised.digest == digest for one in self.by_cell.get(cell, ()))

    def expire(self, now: ids.Instant) -> None:
        """Forget the returns that are over."""
        for cell, returns in list(self.by_cell.items()):
            kept = [one for one in returns if not one.is_over(now)]
            if kept:
                self.by_cell[cell] = kept
            else:
                del self.by_cell[cell]


def promised_return(
    ticket: messages.Ticket, refusal: messages.Refusal, waited: float
) -> messages.PromisedReturn | None:
    """Return what a refusal promises a ticket's caller; None if nothing.

    `waited` is the time from the creation of the ticket to now, in seconds.
    """
    if refusal.promised_seconds <= 0.0:
        return None
    return messages.PromisedReturn(
        digest=ticket.digest,
        prompt_tokens=ticket.prompt_tokens,
        output_tokens=ticket.output_tokens,
        tier_rank=ticket.tier_rank,
        urgency=ticket.urgency,
        account=ticket.account,
        slot_seconds=refusal.promised_seconds,
        ends_in=ticket.caller_remaining - waited,
        goal_in=ticket.goal - waited,
        due_in=refusal.retry_after,
    )
