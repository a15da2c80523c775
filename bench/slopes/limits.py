"""What the limits of accounts cost an entry and the homes: bench.slopes.limits.

    python -m bench.slopes.limits --accounts 30 100 300

One entry among many instances, all in this process: its reports are encoded as
on the wire and handed to the homes, whose answers go back the same way. A second
of the clock is one call of `report_all`.
"""

from __future__ import annotations

import argparse
import time

import msgspec

from bench.slopes import members as population
from bench.slopes import size
from tealcove import ids
from tealcove.limits import limit, role
from tealcove.peers import endpoint, message

TOKENS = 300.0
WARM_SECONDS = 3
SECONDS = 10
# Charges per account and second at the entry.
USES_A_SECOND = 0.1


class RecordingMesh:
    """Replaces a mesh: records and counts the messages sent."""

    def __init__(self) -> None:
        self.encoder = msgspec.msgpack.Encoder()
        self.sent: list[tuple[endpoint.Endpoint, message.Message]] = []
        self.messages = 0
        self.bytes = 0

    def handle(self, message_type: type, handler: object) -> None:
        """Handlers are called by the bench itself."""

    def send(self, peer: endpoint.Endpoint, sent: message.Message) -> bool:
        """Count a message and keep it."""
        self.sent.append((peer, sent))
        self.messages += 1
        self.bytes += len(self.encoder.encode(sent))
        return True

    def take_sent(self) -> list[tuple[endpoint.Endpoint, message.Message]]:
        """Return what was sent since the last call."""
        found, self.sent = self.sent, []
        return found


class Bench:
    """An entry, and one object that stands in for all homes."""

    def __init__(self, instances: int, accounts: int) -> None:
        self.now = population.NOW
        found = limit.Limit(rate=1000.0, burst=10_000.0)
        self.entry_mesh, self.home_mesh = RecordingMesh(), RecordingMesh()
        known = population.deployment(instances)
        self.entry = role.Limits(self.entry_mesh, known, lambda _: found, self.now)
        self.homes = role.Limits(self.home_mesh, known, lambda _: found, self.now)
        # Takes the reports of all accounts, whichever instance is their home.
        self.homes.presence.home = lambda _: known.own.instance
        self.accounts = [ids.AccountId(f"account-{n:05d}") for n in range(accounts)]
        self.entry_seconds = self.home_seconds = 0.0

    def run_second(self) -> None:
        """Let the entry use its accounts, report, and get its answers."""
        self.now = ids.Instant(self.now + 1.0)
        began = time.process_time()
        uses = max(1, int(len(self.accounts) * USES_A_SECOND))
        for account in self.accounts[:uses]:
            self.entry.charge(account, TOKENS, self.now).settle(TOKENS)
        self.accounts = self.accounts[uses:] + self.accounts[:uses]
        self.entry.report_all(self.now)
        self.entry_seconds += time.process_time() - began
        own = self.entry.members.own.instance
        began = time.process_time()
        for _, report in self.entry_mesh.take_sent():
            self.homes.handle_report(own, report, self.now)
        self.home_seconds += time.process_time() - began
        began = time.process_time()
        for _, lending in self.home_mesh.take_sent():
            self.entry.handle_lending(own, lending, self.now)
        self.entry_seconds += time.process_time() - began


def measure(instances: int, accounts: int) -> dict[str, float]:
    """Return the figures a second of one entry."""
    bench = Bench(instances, accounts)
    for account in bench.accounts:
        bench.entry.open_allowance(account, bench.now)
    for _ in range(WARM_SECONDS):
        bench.run_second()
    bench.entry_mesh.messages = bench.entry_mesh.bytes = bench.home_mesh.bytes = 0
    bench.entry_seconds = bench.home_seconds = 0.0
    for _ in range(SECONDS):
        bench.run_second()
    return {
        "reports a second": bench.entry_mesh.messages / SECONDS,
        "bytes out a second": bench.entry_mesh.bytes / SECONDS,
        "bytes in a second": bench.home_mesh.bytes / SECONDS,
        "entry, ms a second": bench.entry_seconds / SECONDS * 1e3,
        "homes, ms a second": bench.home_seconds / SECONDS * 1e3,
    }


def main() -> None:
    """Print the figures of each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, nargs="+", default=[8, 580])
    parser.add_argument("--accounts", type=int, nargs="+", default=[30, 100, 300])
    parser.add_argument("--runs", type=int, default=3)
    found = parser.parse_args()
    for instances in found.instances:
        for accounts in found.accounts:
            print(f"{accounts} accounts in use at one of {instances} instances")
            runs = [measure(instances, accounts) for _ in range(found.runs)]
            for name in runs[0]:
                result = size.summarise([one[name] for one in runs])
                print(f"  {name}: {size.format_result(result, 2)}")


if __name__ == "__main__":
    main()
