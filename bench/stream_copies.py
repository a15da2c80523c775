"""What copies of streams save when a fifth of the backend servers crash at once.

python -m bench.stream_copies

Streams that run once are sent to two instances beside stand-in servers, of which a
fifth crash once. Prints a row of a table for each case, over all seeds.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import statistics

import aiohttp
import msgspec
from tests import platform_site

from tealcove import clock
from tealcove.front import settings
from tealcove.platform import names

SERVERS = 30
INSTANCES = 2
CRASHED_SHARE = 0.2
# Streams a second, for how many seconds they begin, and when servers crash.
RATE = 50.0
SECONDS = 4.0
CRASH_AT = 2.5
# Seconds to a first event and between two, and the number of events.
PREFILL_SECONDS = 0.1
EVENT_SECONDS = 0.04
EVENTS = 25
# Output tokens, as a caller states them.
OUTPUT_TOKENS = 100
# The pause within which callers rate a stream as in time, in seconds.
IN_TIME_PAUSE = 0.4
ROUTE = platform_site.route("stream/copied", "stream", attempts=1, timeout_ms=10000)
# Cases: whether streams are copied, and the tokens of their prompts.
COLUMNS = 10
CASES = ((False, 1000), (True, 1000), (True, 4000))


class Sent(msgspec.Struct):
    """A stream of a caller."""

    request_id: str
    is_whole: bool = False
    # Seconds of its longest pause after the first event.
    pause: float = 0.0


class Figures(msgspec.Struct):
    """What became of the streams of some runs."""

    sent: int = 0
    lost: int = 0
    # Lost streams whose copy was on a server that crashed as well.
    lost_with_copy: int = 0
    # Streams whose copy was started, and bytes of the copies.
    copied: int = 0
    bytes: int = 0
    # The pauses of the streams that went on.
    pauses: list[float] = []

    def row(self, name: str) -> str:
        """Return the row of a table."""
        late = sum(pause >= IN_TIME_PAUSE for pause in self.pauses)
        middle = statistics.median(self.pauses) if self.pauses else 0.0
        longest = max(self.pauses, default=0.0)
        return (
            f"| {name} | {self.sent} | {self.copied} | {self.lost} | "
            f"{self.lost_with_copy} | {len(self.pauses)} | {middle:.3f} | "
            f"{longest:.3f} | {late} | {self.bytes / 1e9:.2f} |"
        )


async def stream(running: platform_site.Site, number: int, prompt: int) -> Sent:
    """Send one stream and measure its pauses."""
    at = running.instances[number % INSTANCES]
    sent = Sent(f"b-{number}")
    headers = {
        "Host": platform_site.HOST,
        names.REQUEST_ID: sent.request_id,
        names.API_KEY: platform_site.KEY,
        names.DEADLINE_MS: "9000",
        names.TOKEN_COUNT: f"{prompt},{OUTPUT_TOKENS}",
    }
    url = f"http://{at.settings.listen.callers}/stream/copied/{number}"
    body = f"prompt {number}".encode()
    last = None
    try:
        async with running.session.post(url, headers=headers, data=body) as response:
            async for _ in response.content.iter_any():
                if last is not None:
                    sent.pause = max(sent.pause, clock.now() - last)
                last = clock.now()
            sent.is_whole = response.status == 200
    except aiohttp.ClientError:
        sent.is_whole = False
    return sent


async def run(is_copied: bool, prompt: int, seed: int, figures: Figures) -> None:
    """Add the figures of one run."""
    chosen = random.Random(seed)
    changes = {"stream_copies": settings.StreamCopies(enabled=is_copied)}
    async with platform_site.connected_site(SERVERS, INSTANCES, **changes) as running:
        await running.declare(platform_site.configuration(ROUTE))
        for server in running.servers:
            server.event_count = EVENTS
            server.event_interval = EVENT_SECONDS
            server.prefill_seconds = PREFILL_SECONDS
        streams = []
        began = clock.now()
        crash = asyncio.create_task(crash_some(running, chosen))
        while clock.now() - began < SECONDS:
            streams.append(asyncio.create_task(stream(running, len(streams), prompt)))
            await asyncio.sleep(chosen.expovariate(RATE))
        ended = await asyncio.gather(*streams)
        await crash
        add(running, ended, figures)


async def crash_some(running: platform_site.Site, chosen: random.Random) -> None:
    """Crash a share of the servers at the same moment."""
    await asyncio.sleep(CRASH_AT)
    count = int(CRASHED_SHARE * SERVERS)
    await asyncio.gather(*(s.crash() for s in chosen.sample(running.servers, count)))


def add(running: platform_site.Site, ended: list[Sent], figures: Figures) -> None:
    """Add what became of the streams of one run."""
    figures.sent += len(ended)
    lost = {one.request_id for one in ended if not one.is_whole}
    figures.lost += len(lost)
    gone = {f"127.0.0.1:{s.port}" for s in running.servers if s.is_down}
    figures.lost_with_copy += sum(
        run.request_id in lost and run.headers.get(names.KV_BACKUP) in gone
        for server in running.servers
        for run in server.runs
    )
    figures.copied += sum(one.copying.copied for one in running.instances)
    figures.bytes += sum(server.copies.sent_bytes for server in running.servers)
    continued = {
        run.request_id
        for server in running.servers
        for run in server.runs
        if names.KV_FROM in run.headers
    }
    figures.pauses += [
        one.pause for one in ended if one.request_id in continued and one.is_whole
    ]


async def measure(seeds: int) -> None:
    """Print a table with a row for each case."""
    print(
        "| case | streams | with copy | lost | lost with the copy's "
        "server | went on | median pause, s | longest, s | late | GB copied |"
    )
    print("| --- " * COLUMNS + "|")
    for is_copied, prompt in CASES:
        figures = Figures()
        for seed in range(seeds):
            await run(is_copied, prompt, seed, figures)
        kind = "copies" if is_copied else "no copies"
        print(figures.row(f"{kind}, {prompt} prompt tokens"), flush=True)


def main() -> None:
    """Parse the arguments and measure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    asyncio.run(measure(parser.parse_args().seeds))


if __name__ == "__main__":
    main()
