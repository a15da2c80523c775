"""Measures what a dispatcher's decisions cost: python -m bench.dispatch_cost.

With --goal PART, the goal scheduler's at twice its capacity, without and with a part:
fair sharing among accounts, the load of servers that slow down when nearly full, or
copies of streams.
"""

from __future__ import annotations

import argparse
import statistics
import time
from collections.abc import Callable

import logbook

from bench import goalload
from tealcove import ids
from tealcove.dispatch import cells, fair, messages
from tealcove.resources import kinds

CELL = ids.CellId("engines/0")
ENTRY = ids.InstanceId("entry")
SERVERS = 16
SLOTS = 8
ACCOUNTS = 5
PREFIX = tuple(range(32))
# Remaining seconds of each ticket; none expires during a measurement.
DEADLINE = 3600.0
TICK_SECONDS = 0.05
# Requests per second of a cell, for the share of a core.
REQUEST_RATE = 100.0


def create_scheduler() -> fair.FairScheduler:
    """Return the scheduler of a cell with SERVERS servers."""
    servers = tuple(
        kinds.BackendServerSpec(
            name=f"s{n}", host="127.0.0.1", port=9000, data_centre="dc", slots=SLOTS
        )
        for n in range(SERVERS)
    )
    created = fair.FairScheduler()
    cell = cells.Cell(CELL, ids.PoolId("engines"), servers, 0.25, 256)
    created.configure(cell, ids.Instant(0.0))
    return created


def ticket(number: int, remaining: float = DEADLINE) -> messages.Ticket:
    """Return a ticket; tiers and accounts alternate with its number."""
    return messages.Ticket(
        ticket_id=ids.TicketId(f"tkt-{number}"),
        request_id=ids.RequestId(f"req-{number}"),
        cell=CELL,
        entry=ENTRY,
        tier_rank=number % 3,
        account=ids.AccountId(f"account-{number % ACCOUNTS}"),
        idempotent=True,
        prompt_tokens=2048,
        output_tokens=100 + number % 200,
        prefix=PREFIX,
        remaining=remaining,
    )


def completion(grant: messages.Grant) -> messages.Done:
    """Return the message that a granted request is completed."""
    return messages.Done(
        ticket_id=grant.ticket_id,
        cell=CELL,
        server=grant.server,
        outcome=messages.Outcome.COMPLETED,
        prompt_tokens=2048,
        cached_tokens=1024,
        output_tokens=100,
        first_token_seconds=0.1,
        total_seconds=2.0,
    )


class FullCell:
    """A cell whose slots are all taken, with a queue of constant length."""

    def __init__(self, queued: int) -> None:
        self.scheduler = create_scheduler()
        self.now = 0.0
        self.grants: list[messages.Grant] = []
        self.numbers = iter(range(10**9))
        for _ in range(SERVERS * SLOTS + queued):
            self.enqueue_ticket()

    def collect_grants(self, outgoing: list) -> None:
        """Record the grants among outgoing messages."""
        for out in outgoing:
            if isinstance(out.message, messages.Grant):
                self.grants.append(out.message)

    def enqueue_ticket(self) -> None:
        """Enqueue a new ticket."""
        arriving = ticket(next(self.numbers))
        self.collect_grants(self.scheduler.enqueue(arriving, ids.Instant(self.now)))

    def complete_oldest(self) -> None:
        """Complete the oldest running request."""
        ended = completion(self.grants.pop(0))
        self.collect_grants(self.scheduler.done(ended, ids.Instant(self.now)))

    def step(self) -> None:
        """Enqueue a ticket and complete a running request."""
        self.now += 1.0 / REQUEST_RATE
        self.enqueue_ticket()
        self.complete_oldest()

    def tick(self) -> None:
        """Advance the time by one tick; each fifth tick reviews all servers."""
        self.now += TICK_SECONDS
        self.scheduler.tick(ids.Instant(self.now))


def measure(step: Callable[[], None], count: int) -> float:
    """Return the mean processor time of a step in microseconds."""
    began = time.process_time()
    for _ in range(count):
        step()
    return (time.process_time() - began) / count * 1e6


def print_goal_cost(
    part: goalload.Part, times: float, seconds: float, repeats: int
) -> None:
    """Print the goal scheduler's cost of a request without and with a part of it."""
    print(f"{goalload.SERVERS} servers, {times:g} times their capacity")
    print(f"{part.value}  us a request  (least - most)")
    found: dict[goalload.Part, list[float]] = {goalload.Part.NONE: [], part: []}
    # In turn, so that other work on the machine slows both alike.
    for seed in range(repeats):
        for enabled, costs in found.items():
            costs.append(goalload.measure(times, enabled, seconds, seed))
    for enabled, costs in found.items():
        state = "on" if enabled is part else "off"
        print(
            f"{state:{len(part.value)}}  {statistics.median(costs):12.1f}"
            f"  ({min(costs):.1f} - {max(costs):.1f})"
        )
    ratio = statistics.median(on / off for off, on in zip(*found.values(), strict=True))
    print(f"on / off {ratio:.2f}")


def main() -> None:
    """Print a line for each queue length."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=2000)
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--queued", type=int, nargs="+", default=[0, 100, 1000, 10000])
    parser.add_argument("--goal", choices=["sharing", "server load", "copies"])
    parser.add_argument("--times", type=float, default=2.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    arguments = parser.parse_args()
    if arguments.goal:
        with logbook.NullHandler().applicationbound():
            part = goalload.Part(arguments.goal)
            print_goal_cost(part, arguments.times, arguments.seconds, arguments.repeats)
        return
    print("queued  us a ticket  (least - most)  us a tick  % of a core at 100/s")
    for queued in arguments.queued:
        tickets, ticks = [], []
        for _ in range(arguments.repeats):
            cell_run = FullCell(queued)
            tickets.append(measure(cell_run.step, arguments.count))
            ticks.append(measure(cell_run.tick, 100))
        each, tick = statistics.median(tickets), statistics.median(ticks)
        share = (each * REQUEST_RATE + tick / TICK_SECONDS) / 1e6 * 100
        print(
            f"{queued:6}  {each:11.1f}  ({min(tickets):.1f} - {max(tickets):.1f})"
            f"  {tick:9.1f}  {share:.2f}"
        )


if __name__ == "__main__":
    main()
