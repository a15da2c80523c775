"""Streams that clients take up late are refused, beside free servers."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import time

import stand_ins

FOLDER = pathlib.Path(__file__).resolve().parent
SERVICE = "tealcove-pool"
SERVERS, SLOTS = 8, 5
# Of each stream: its events, the tokens of one, and the seconds between two.
EVENTS, STRIDE, INTERVAL_SECONDS = 300, 4, 0.023
PROMPT_TOKENS = 1000
# Seconds that clients have, and after which the machine is killed.
DEADLINE_SECONDS = 10.0
KILL_SECONDS = 4.0
# Streams at the machine that is killed, and the seconds between two new ones elsewhere.
BROKEN = 16
PAUSE_SECONDS = 0.7
# Streams that servers have ended before, so that their paces are known.
WARM_STREAMS = 16
# The rule counts from so many streams that are taken up. Of these, at least this part
# of the share of new ones that begin has to go on.
COUNTED = 12
LEAST_PART = 0.5


class Stream:
    """One stream, over all tries of its client."""

    def __init__(self) -> None:
        self.name = stand_ins.new_name()
        # The try that brought its first event.
        self.first = ""
        self.began_at = time.monotonic()
        self.last_event = 0
        self.status: int | None = None


class Case:
    """One run of the case."""

    def __init__(self, has_trouble: bool) -> None:
        self.record = stand_ins.Record(FOLDER / "record.txt")
        self.has_trouble = has_trouble
        self.site = stand_ins.Site(3)
        self.tasks: set[asyncio.Task[None]] = set()
        self.is_judged = False
        # Whether each new stream began, and each that was taken up went on.
        self.began: list[bool] = []
        self.went_on: list[bool] = []

    async def run_stream(
        self,
        server: stand_ins.Server,
        request: stand_ins.Request,
        writer: asyncio.StreamWriter,
    ) -> bool | None:
        """Send the events after the last one that the client has."""
        last = int(request.headers.get("last-event-id", 0))
        server.runs.append(request)
        self.record.add(f"{server.name} runs {request.name} from event {last + 1} on")
        head = (
            f"HTTP/1.1 200 OK\r\nTealcove-Request-Id: {request.name}\r\n"
            f"Tealcove-Response-Stamp: {server.name}.{request.name}\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        # The prompt is read first.
        await asyncio.sleep(INTERVAL_SECONDS)
        writer.write(head.encode())
        for number in range(last + 1, EVENTS + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if writer.transport.is_closing():
                return False
            await asyncio.sleep(INTERVAL_SECONDS)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def read(self, stream: Stream, at: stand_ins.Instance, name: str) -> bool:
        """Send one try of a stream; return whether it was read to its end."""
        left = DEADLINE_SECONDS - (time.monotonic() - stream.began_at)
        tokens = EVENTS * STRIDE
        lines = [
            "POST /recipe/table HTTP/1.1",
            f"Host: {stand_ins.HOST}",
            f"Tealcove-Request-Id: {name}",
            f"Api-Key: {stand_ins.KEY}",
            f"Tealcove-Deadline-Ms: {int(left * 1000)}",
            f"Tealcove-Token-Count: {PROMPT_TOKENS},{tokens}",
            f"Tealcove-Length-Hint: {tokens}",
            f"Tealcove-Prefix-Hash: aa01:60,{stream.name[:8]}:{PROMPT_TOKENS - 60}",
            "Content-Length: 6",
        ]
        if stream.last_event:
            lines += [f"Last-Event-Id: {stream.last_event}", f"Resumes: {stream.first}"]
        raw = "\r\n".join(lines) + "\r\n\r\nrecipe"
        reader, writer = await asyncio.open_connection(at.host, stand_ins.CALLERS_PORT)
        try:
            async with asyncio.timeout(left):
                writer.write(raw.encode())
                head = await reader.readuntil(b"\r\n\r\n")
                stream.status = int(head.split(b" ")[1])
                if stream.status != 200:
                    return False
                return await self.read_events(stream, reader, name)
        finally:
            writer.transport.abort()

    async def read_events(
        self, stream: Stream, reader: asyncio.StreamReader, name: str
    ) -> bool:
        """Read the events of one try; return whether it has an end."""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            content = await reader.readexactly(size + 2)
            for line in content.split(b"\n"):
                if line.startswith(b"id: "):
                    stream.last_event = int(line[4:])
                    stream.first = stream.first or name
        await reader.readexactly(2)
        return True

    async def follow(
        self, at: stand_ins.Instance, others: list[stand_ins.Instance]
    ) -> None:
        """Read a new stream, and take it up elsewhere if its connection breaks."""
        stream = Stream()
        self.record.add(f"new stream {stream.name} sent to {at.name}")
        try:
            is_whole = await self.read(stream, at, stream.name)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            is_whole = False
        if self.is_judged and at in others:
            self.began.append(stream.last_event > 0)
        self.record.add(
            f"stream {stream.name} ended: status {stream.status}, "
            f"{stream.last_event} events, {'whole' if is_whole else 'broken off'}"
        )
        if is_whole or not stream.last_event:
            return
        before, name = stream.last_event, stand_ins.new_name()
        target = others[len(self.went_on) % len(others)]
        stream.status = None
        self.record.add(
            f"stream {stream.name} taken up as {name} at {target.name} after event "
            f"{before}"
        )
        place = len(self.went_on)
        self.went_on.append(False)
        try:
            is_whole = await self.read(stream, target, name)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            is_whole = False
        self.went_on[place] = stream.last_event > before
        self.record.add(
            f"stream {name} ended: status {stream.status}, {stream.last_event} events, "
            f"{'whole' if is_whole else 'broken off'}"
        )

    def start(
        self, at: stand_ins.Instance, others: list[stand_ins.Instance]
    ) -> asyncio.Task[None]:
        """Start a client with one stream."""
        task = asyncio.create_task(self.follow(at, others))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def run(self) -> int:
        """Return the exit code."""
        killed, *others = self.site.instances
        try:
            for number in range(SERVERS):
                server = stand_ins.Server(
                    f"i-{number:04x}", SERVICE, self.site.store, SLOTS
                )
                server.hook = self.run_stream
                self.site.servers.append(server)
            route = stand_ins.route("recipe", "stream", SERVICE)
            route |= {
                "timeout_ms": int(DEADLINE_SECONDS * 1000),
                "goal_ms": 600,
                "resumable": True,
                "gap_target_ms": 250,
            }
            await self.site.start([route], {"engine": {"stride": STRIDE}})
            warm = [
                self.start(self.site.instances[n % 3], others)
                for n in range(WARM_STREAMS)
            ]
            await asyncio.gather(*warm)
            self.is_judged = True
            for _ in range(BROKEN):
                self.start(killed, others)
            end = time.monotonic() + KILL_SECONDS
            await self.start_new(others, end)
            if self.has_trouble:
                self.record.add(f"{killed.name} is killed")
                await killed.kill()
            await self.start_new(others, end + DEADLINE_SECONDS)
            await asyncio.gather(*self.tasks)
            return self.judge()
        finally:
            for task in list(self.tasks):
                task.cancel()
            await self.site.stop()

    async def start_new(self, at: list[stand_ins.Instance], end: float) -> None:
        """Start new streams until an instant."""
        while time.monotonic() < end:
            self.start(at[len(self.began) % len(at)], at)
            await asyncio.sleep(PAUSE_SECONDS)

    def judge(self) -> int:
        """Return 1 if the rule was broken, otherwise 0."""
        new, taken = len(self.began), len(self.went_on)
        if not new:
            raise stand_ins.CannotRunError("no new stream has ended")
        began, went_on = sum(self.began), sum(self.went_on)
        self.record.add(f"{began} of {new} new streams began at undisturbed machines")
        self.record.add(f"{went_on} of {taken} streams that were taken up went on")
        if taken < COUNTED:
            return 0
        return int(went_on / taken < LEAST_PART * began / new)


def main() -> int:
    """Run the case."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        return await Case(has_trouble).run()

    try:
        return asyncio.run(run())
    except (stand_ins.CannotRunError, OSError) as error:
        print(f"the case can't run: {error}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
