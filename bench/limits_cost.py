"""What the limits of accounts cost an entry: python -m bench.limits_cost.

Microseconds of processor time for each admission, of three kinds of account; and
bytes a second between an entry and the homes for each account in use.
"""

from __future__ import annotations

import argparse
import contextlib
import time

from bench.slopes import limits as slope
from bench.slopes import members as population
from bench.slopes import size
from tealcove import ids
from tealcove.limits import limit, role

ADMISSIONS = 50_000
TOKENS = 300.0
ACCOUNT = ids.AccountId("account")
MICROSECONDS = 1e6
PLENTY = limit.Limit(rate=1e12, burst=1e12)
NOTHING = limit.Limit(rate=1e-9, burst=1e-9)


def admission(found: limit.Limit | None) -> float:
    """Return the microseconds of one admission, or refusal, and its settling."""
    known = population.deployment(1)
    limits = role.Limits(slope.RecordingMesh(), known, lambda _: found, population.NOW)
    with contextlib.suppress(role.OverLimitError):
        limits.charge(ACCOUNT, TOKENS, population.NOW)
    began = time.process_time()
    for _ in range(ADMISSIONS):
        with contextlib.suppress(role.OverLimitError):
            limits.charge(ACCOUNT, TOKENS, population.NOW).settle(TOKENS)
    return (time.process_time() - began) / ADMISSIONS * MICROSECONDS


def main() -> None:
    """Print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--accounts", type=int, default=300)
    parser.add_argument("--instances", type=int, default=580)
    parser.add_argument("--runs", type=int, default=3)
    found = parser.parse_args()
    kinds = {"no limit": None, "admitted": PLENTY, "over its limit": NOTHING}
    for name, kind in kinds.items():
        runs = [admission(kind) for _ in range(found.runs)]
        print(f"{name}: {size.format_result(size.summarise(runs), 2)} us")
    runs = [slope.measure(found.instances, found.accounts) for _ in range(found.runs)]
    for name in ("bytes out a second", "bytes in a second"):
        each = [run[name] / found.accounts for run in runs]
        print(f"{name} and account: {size.format_result(size.summarise(each), 1)}")


if __name__ == "__main__":
    main()
