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
NEVER_REACHED = limit.Limit(rate=1e12, burst=1e12)
ALWAYS_EXCEEDED = limit.Limit(rate=1e-9, burst=1e-9)


def admission_microseconds(account_limit: limit.Limit | None) -> float:
    """Return the microseconds of admitting or refusing a request and settling it."""
    known = population.deployment(1)
    limits = role.Limits(
        slope.RecordingMesh(), known, lambda _: account_limit, population.NOW
    )
    with contextlib.suppress(role.OverLimitError):
        limits.charge(ACCOUNT, TOKENS, population.NOW)
    started = time.process_time()
    for _ in range(ADMISSIONS):
        with contextlib.suppress(role.OverLimitError):
            limits.charge(ACCOUNT, TOKENS, population.NOW).settle(TOKENS)
    return (time.process_time() - started) / ADMISSIONS * MICROSECONDS


def main() -> None:
    """Measure and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--accounts", type=int, default=300)
    parser.add_argument("--instances", type=int, default=580)
    parser.add_argument("--runs", type=int, default=3)
    arguments = parser.parse_args()
    kinds = {
        "no limit": None,
        "admitted": NEVER_REACHED,
        "over its limit": ALWAYS_EXCEEDED,
    }
    for name, kind in kinds.items():
        runs = [admission_microseconds(kind) for _ in range(arguments.runs)]
        print(f"{name}: {size.format_result(size.summarise(runs), 2)} us")
    runs = [
        slope.measure(arguments.instances, arguments.accounts)
        for _ in range(arguments.runs)
    ]
    for name in ("bytes out a second", "bytes in a second"):
        each = [run[name] / arguments.accounts for run in runs]
        print(f"{name} and account: {size.format_result(size.summarise(each), 1)}")


if __name__ == "__main__":
    main()
