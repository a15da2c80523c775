"""What a copy of many client accounts costs: python -m bench.slopes.configuration.

Memory is measured with real instances: python -m bench.cost --parts memory.
"""

from __future__ import annotations

import argparse
import asyncio
import time
from collections.abc import Callable

import msgspec

from bench import cost
from bench.slopes import size
from tealcove import ids
from tealcove.resources import (
    codec,
    copy,
    decision,
    edits,
    kinds,
    log,
    snapshots,
    store,
)
from tealcove.storage import memory

CHANGES = 40


def configuration(accounts: int) -> copy.Configuration:
    """Return a configuration of so many accounts."""
    tier = codec.Change(
        revision=ids.Revision(1),
        kind=kinds.Kind.SERVICE_TIER,
        name="low",
        changed_by="ops",
        nonce="",
        resource=kinds.Resource(
            kind=kinds.Kind.SERVICE_TIER,
            metadata=kinds.Metadata(
                name="low", revision=1, generation=1, changed_by="ops"
            ),
            spec=kinds.ServiceTierSpec(rank=2),
        ),
    )
    changes = [cost.account_change(ids.Revision(n + 2), n) for n in range(accounts)]
    return copy.empty().with_changes([tier, *changes])


def mean_milliseconds(act: Callable[[], object], count: int) -> float:
    """Return the mean processor time of a call in milliseconds."""
    began = time.process_time()
    for _ in range(count):
        act()
    return (time.process_time() - began) / count * 1e3


def change(current: copy.Configuration) -> codec.Change:
    """Return the next change of one account."""
    return cost.account_change(ids.Revision(current.revision + 1), 7)


def change_request(current: copy.Configuration) -> decision.ChangeRequest:
    """Return what an operator asks for to change an account."""
    found = current.get(kinds.Kind.CLIENT_ACCOUNT, "account-00007")
    spec = msgspec.structs.replace(found.spec, tokens_per_second=current.revision + 1.0)
    return decision.ChangeRequest(
        operator="ops",
        kind=kinds.Kind.CLIENT_ACCOUNT,
        name="account-00007",
        edit=edits.Put(spec),
        if_match=found.metadata.revision,
        idempotency_key=str(current.revision),
    )


async def measure_store(current: copy.Configuration) -> dict[str, float]:
    """Return the calls to the platform and the time of a change through the API."""
    platform = memory.MemoryPlatform()
    own = copy.ConfigurationCopy()
    own.activate(current)
    row = codec.encode(log.Head(revision=current.revision, snapshot=current.revision))
    platform.table.rows[log.HEADS, log.HEAD_KEY] = memory.table.Row(
        log.HEADS, log.HEAD_KEY, row, 1
    )
    writer = store.ResourceStore(platform.table, platform.objects, own)
    reads, writes = platform.read_count, platform.write_count
    began = time.process_time()
    for _ in range(CHANGES):
        await writer.change(change_request(own.current))
    spent = time.process_time() - began
    return {
        "ms to write one change": spent / CHANGES * 1e3,
        "reads a change": (platform.read_count - reads) / CHANGES,
        "writes a change": (platform.write_count - writes) / CHANGES,
    }


def measure(accounts: int) -> dict[str, float]:
    """Return the figures of one size."""
    current = configuration(accounts)
    content = snapshots.encode(current)
    found = {
        "snapshot, bytes": float(len(content)),
        "bytes of one change": float(len(codec.encode(change(current)))),
        "ms to read a snapshot": mean_milliseconds(
            lambda: snapshots.decode(content), 3
        ),
        "ms to make a snapshot": mean_milliseconds(
            lambda: snapshots.encode(current), 3
        ),
        "ms to follow one change": mean_milliseconds(
            lambda: current.with_changes([change(current)]), 20
        ),
    }
    found.update(asyncio.run(measure_store(current)))
    return found


def main() -> None:
    """Print the figures of each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--accounts", type=int, nargs="+", default=[1000, 10000, 39000])
    parser.add_argument("--runs", type=int, default=3)
    found = parser.parse_args()
    for accounts in found.accounts:
        print(f"{accounts} accounts")
        runs = [measure(accounts) for _ in range(found.runs)]
        for name in runs[0]:
            result = size.summarise([one[name] for one in runs])
            print(f"  {name}: {size.format_result(result, 2)}")


if __name__ == "__main__":
    main()
