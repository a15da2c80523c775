"""What changes of the configuration cost, and how soon they are in force.

python -m bench.slopes.changes --rates 0.05 0.5 2
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import tempfile
import time

import msgspec
from tests import deployment

from bench import cost
from bench.slopes import size, watch
from tealcove.resources import kinds

POLL_SECONDS = 0.02
AUTH = {"Authorization": f"Bearer {deployment.OPERATOR_KEY}"}
ACCOUNT = "account-00007"


class RateResult(msgspec.Struct, frozen=True):
    """One rate: times until in force, calls a second, what a follower used."""

    delays: list[float]
    reads: float
    writes: float
    follower: watch.Use


class Operator:
    """Somebody who changes one account again and again through an instance."""

    def __init__(self, fleet: deployment.Deployment) -> None:
        self.fleet = fleet
        self.url = f"{fleet.instances[0].url}/admin/v1"
        self.number = 0

    async def change(self) -> float:
        """Make a change; return the seconds until it's in force everywhere."""
        self.number += 1
        path = f"{self.url}/{kinds.Kind.CLIENT_ACCOUNT.value}/{ACCOUNT}"
        body = msgspec.json.encode({"tokens_per_second": 1000.0 + self.number})
        session = self.fleet.session
        async with session.get(path, headers=AUTH) as response:
            etag = response.headers["ETag"]
        headers = {
            **AUTH,
            "If-Match": etag,
            "Idempotency-Key": str(self.number),
            "Content-Type": "application/merge-patch+json",
        }
        body = b'{"spec":' + body + b"}"
        began = time.monotonic()
        async with session.patch(path, data=body, headers=headers) as response:
            answer = await response.json()
            if response.status != 200:
                raise RuntimeError(answer)
        await self.wait_until_in_force(answer["metadata"]["revision"])
        return time.monotonic() - began

    async def wait_until_in_force(self, revision: int) -> None:
        """Wait until every instance that serves has a revision."""
        while True:
            async with self.fleet.session.get(
                f"{self.url}/status", headers=AUTH
            ) as response:
                found = await response.json()
            force = found["in_force"]
            if found["revision"] >= revision and force["instances"] == force["of"]:
                return
            await asyncio.sleep(POLL_SECONDS)


async def measure(operator: Operator, rate: float, seconds: float) -> RateResult:
    """Make changes at a steady rate; each is waited for."""
    fleet = operator.fleet
    pid = fleet.instances[-1].process.pid
    counts = await fleet.counts(fleet.platform)
    before, began = await watch.sample(pid), time.monotonic()
    delays = []
    while (due := began + len(delays) / rate) < began + seconds:
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        delays.append(await operator.change())
    await asyncio.sleep(max(0.0, began + seconds - time.monotonic()))
    after, ended = await watch.sample(pid), time.monotonic()
    now = await fleet.counts(fleet.platform)
    return RateResult(
        delays=delays,
        reads=(now["reads"] - counts["reads"]) / (ended - began),
        writes=(now["writes"] - counts["writes"]) / (ended - began),
        follower=watch.use_between(before, after),
    )


async def run(found: argparse.Namespace) -> None:
    """Print what each rate costs."""
    with tempfile.TemporaryDirectory() as name:
        async with deployment.Deployment(pathlib.Path(name)) as fleet:
            await fleet.declare()
            await cost.declare_accounts(fleet, found.accounts)
            for _ in range(found.instances):
                await fleet.add_instance(
                    configuration={"poll_interval": found.poll_interval}
                )
            for instance in fleet.instances:
                await fleet.wait_until_ready(instance)
            await fleet.wait_for_members()
            operator = Operator(fleet)
            for rate in found.rates:
                result = await measure(operator, rate, found.seconds)
                delays = size.format_result(size.summarise(result.delays), 2)
                print(
                    f"{rate:g} changes/s, {found.instances} instances, "
                    f"{found.accounts} accounts: in force after {delays} s, "
                    f"{len(result.delays)} changes; platform {result.reads:.2f} "
                    f"reads/s and {result.writes:.2f} writes/s; a follower: "
                    f"{watch.format_use(result.follower)}",
                    flush=True,
                )


def main() -> None:
    """Run as the command line says."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", type=float, nargs="+", default=[0.05, 0.5, 2.0])
    parser.add_argument("--accounts", type=int, default=size.ACCOUNTS)
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--poll-interval", type=float, default=1.0)
    parser.add_argument("--seconds", type=float, default=15.0)
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
