"""Test data for the dispatch package."""

from __future__ import annotations

import itertools
import math

import msgspec

from tealcove import ids
from tealcove.backends import engine
from tealcove.dispatch import cells, fair, goal, messages, scheduler
from tealcove.resources import kinds

CELL = ids.CellId("engines/0")
ENTRY = ids.InstanceId("entry-0")
NUMBERS = itertools.count()

PREFILL_SECONDS = 0.0001
DECODE_SECONDS = 0.01


def server(name: str, slots: int = 4, **changes: object) -> kinds.BackendServerSpec:
    found = {"generation": "g1", "data_centre": "dc-1", **changes}
    return kinds.BackendServerSpec(
        name=name, host="127.0.0.1", port=9000, slots=slots, **found
    )


def cell(*servers: kinds.BackendServerSpec, **changes: object) -> cells.Cell:
    settings = {"short_share": 0.25, "short_tokens": 256, **changes}
    return cells.Cell(CELL, ids.PoolId("engines"), servers, **settings)


def ticket(**changes: object) -> messages.Ticket:
    number = next(NUMBERS)
    found = {
        "ticket_id": ids.TicketId(f"tkt-{number}"),
        "request_id": ids.RequestId(f"req-{number}"),
        "cell": CELL,
        "entry": ENTRY,
        "tier_rank": 1,
        "account": ids.AccountId("account-0"),
        "idempotent": True,
        "prompt_tokens": 100,
        "output_tokens": 100,
        "prefix": (),
        "remaining": 30.0,
    }
    return messages.Ticket(**{**found, **changes})


def done(grant: messages.Grant, **changes: object) -> messages.Done:
    """Return the end of a `ticket()` on a server of the speed of this module."""
    found = {
        "ticket_id": grant.ticket_id,
        "cell": CELL,
        "server": grant.server,
        "outcome": messages.Outcome.COMPLETED,
        "prompt_tokens": 100,
        "cached_tokens": 0,
        "output_tokens": 100,
        "first_token_seconds": 100 * PREFILL_SECONDS + DECODE_SECONDS,
        "total_seconds": 100 * PREFILL_SECONDS + 100 * DECODE_SECONDS,
    }
    return messages.Done(**{**found, **changes})


def load(running: int = 0, **changes: object) -> engine.LoadReport:
    found = {"waiting": 0, "slots": 4, "cache_blocks": 64, **changes}
    return engine.LoadReport(running=running, **found)


def instant(seconds: float) -> ids.Instant:
    return ids.Instant(1000.0 + seconds)


def messages_of(outgoing: list[scheduler.Outgoing], kind: type) -> list:
    """Return the messages of one kind."""
    return [o.message for o in outgoing if isinstance(o.message, kind)]


def granted(outgoing: list[scheduler.Outgoing]) -> list[messages.Grant]:
    return messages_of(outgoing, messages.Grant)


def refused(outgoing: list[scheduler.Outgoing]) -> list[messages.Refusal]:
    return messages_of(outgoing, messages.Refusal)


def opened(*servers: kinds.BackendServerSpec, **changes: object) -> fair.FairScheduler:
    """Return a scheduler that has learnt the speed of its servers."""
    found = fair.FairScheduler()
    found.configure(cell(*servers, **changes), instant(0))
    for spec in servers:
        train(found, spec.name)
    found.tick(instant(0))
    return found


def goal_scheduler(*slots: int) -> goal.GoalScheduler:
    """Return a goal scheduler with servers of these numbers of slots: s0, s1, ..."""
    found = goal.GoalScheduler()
    servers = [server(f"s{number}", count) for number, count in enumerate(slots)]
    found.configure(cell(*servers), instant(0.0))
    return found


def statement(name: str, **changes: object) -> messages.ServerStatement:
    """Return what a server's answers state; nothing of a limit if not changed."""
    found = {"start": ids.NO_START, "rate": None, "age": math.inf, **changes}
    return messages.ServerStatement(server=ids.BackendServerId(name), **found)


def train(found: fair.FairScheduler, name: str, factor: float = 1.0) -> None:
    """Let a server complete requests at `factor` times the usual duration."""
    grant = messages.Grant(
        ticket_id=ids.TicketId("taught"), cell=CELL, server=name, host="", port=0
    )
    for prompt in (100, 1000):
        first = (prompt * PREFILL_SECONDS + DECODE_SECONDS) * factor
        total = first + 99 * DECODE_SECONDS * factor
        seen = done(
            grant,
            prompt_tokens=prompt,
            first_token_seconds=first,
            total_seconds=total,
        )
        found.done(seen, instant(0))


def fill(
    found: fair.FairScheduler, count: int, now: ids.Instant, **changes: object
) -> list[messages.Grant]:
    """Grant slots to so many new tickets."""
    grants = []
    for _ in range(count):
        grants.extend(granted(found.enqueue(ticket(**changes), now)))
    return grants


def refresh_tickets(
    found: fair.FairScheduler, now: ids.Instant, *lost: ids.InstanceId
) -> None:
    """Let all entries but lost ones resend their tickets."""
    tickets = [waiting.ticket for waiting in found.state.queue.tickets.values()]
    for name, server in found.state.fleet.servers.items():
        for running in server.running.values():
            resent = msgspec.structs.replace(running.ticket, running_on=name)
            tickets.append(resent)
    for one in tickets:
        if one.entry not in lost:
            found.enqueue(one, now)
