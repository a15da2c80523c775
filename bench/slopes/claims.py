"""What a claim writer costs by the changes a second: python -m bench.slopes.claims.

The writer, its table client and a link to itself run here; the platform's
stand-in is a process of its own.
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import tempfile
import time

import msgspec
from tests import deployment

from bench.slopes import members as population
from bench.slopes import size
from tealcove import ids
from tealcove.claims import claim, messages, writer
from tealcove.membership import members
from tealcove.peers import endpoint, mesh
from tealcove.platform import storeadapter

INTERVAL = 0.02
ANSWER_TIMEOUT = 10.0


class Bench:
    """A writer and an entry in one process."""

    def __init__(self, fleet: deployment.Deployment) -> None:
        own = population.heartbeat(0)
        self.mesh = mesh.Mesh(
            own.instance, own.incarnation, endpoint.Endpoint("127.0.0.1", 0)
        )
        self.members = members.Members(own, 1.0, 10.0)
        rows = storeadapter.StoreTable(fleet.client)
        self.writer = writer.Writer(self.mesh, self.members, rows, INTERVAL)
        # Claims sent and not answered yet.
        self.unanswered = 0
        self.all_answered = asyncio.Event()
        self.bytes = 0

    async def start(self) -> None:
        """Listen."""
        await self.mesh.start()
        self.members.update_own(
            peer_host=self.mesh.listen.host, peer_port=self.mesh.listen.port
        )
        self.mesh.handle(messages.RowVerdict, self.count_verdict)
        self.writer.start()

    async def stop(self) -> None:
        """End the writer."""
        await self.writer.stop()
        await self.mesh.stop()

    def count_verdict(
        self, sender: ids.InstanceId, verdict: messages.RowVerdict
    ) -> None:
        """Count a verdict."""
        if verdict.verdict is not messages.Verdict.COMMITTED:
            raise RuntimeError(verdict)
        self.bytes += len(self.mesh.codec.encode(verdict))
        self.unanswered -= 1
        if not self.unanswered:
            self.all_answered.set()

    async def send_claims(self, rate: float, seconds: float) -> int:
        """Send claims at a steady rate and wait for the verdicts."""
        began, count = time.monotonic(), 0
        while time.monotonic() - began < seconds:
            sent = new_claim()
            self.bytes += len(self.mesh.codec.encode(sent))
            self.unanswered += 1
            self.all_answered.clear()
            self.mesh.send(self.mesh.listen, sent)
            count += 1
            await asyncio.sleep(max(0.0, began + count / rate - time.monotonic()))
        async with asyncio.timeout(ANSWER_TIMEOUT):
            await self.all_answered.wait()
        return count


def new_claim() -> messages.RowChange:
    """Return the change that takes a claim no other has taken."""
    nonce = str(ids.new_incarnation())
    wanted = claim.Claim(
        nonce=nonce,
        entry=ids.InstanceId("instance-000"),
        incarnation=ids.new_incarnation(),
        request_id=ids.RequestId(f"req-{nonce}"),
        server=ids.BackendServerId("engine-1"),
        fingerprint="0" * 64,
        claimed_at=1.7e9,
    )
    return messages.RowChange(
        change_id=nonce,
        key=claim.row_key(ids.AccountId("account-00001"), ids.IdempotencyKey(nonce)),
        expected=None,
        value=claim.encode(wanted),
    )


async def run(found: argparse.Namespace) -> None:
    """Print what each rate costs."""
    with tempfile.TemporaryDirectory() as name:
        async with deployment.Deployment(pathlib.Path(name)) as fleet:
            bench = Bench(fleet)
            await bench.start()
            await bench.send_claims(found.rates[0], 1.0)
            for rate in found.rates:
                results = []
                for _ in range(found.runs):
                    results.append(await measure(bench, rate, found.seconds))
                for name in results[0]:
                    result = size.summarise([one[name] for one in results])
                    print(
                        f"{rate:g}/s {name}: {size.format_result(result)}", flush=True
                    )
            await bench.stop()


async def measure(bench: Bench, rate: float, seconds: float) -> dict[str, float]:
    """Return the figures of one run."""
    fleet = bench.writer.rows
    platform = await counts(fleet)
    bench.bytes = 0
    began, spent = time.monotonic(), time.process_time()
    count = await bench.send_claims(rate, seconds)
    spent, took = time.process_time() - spent, time.monotonic() - began
    now = await counts(fleet)
    return {
        "% of a core": spent / took * 100,
        "us a claim": spent / count * size.MICROSECONDS,
        "writes a second": (now["writes"] - platform["writes"]) / took,
        "message bytes a claim": bench.bytes / count,
    }


async def counts(rows: storeadapter.StoreTable) -> dict[str, int]:
    """Return what the platform's stand-in has counted."""
    reply = await rows.platform.read("/standin/counts", {})
    return msgspec.json.decode(reply.content)


def main() -> None:
    """Run as the command line says."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", type=float, nargs="+", default=[50, 200, 800])
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--runs", type=int, default=3)
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
