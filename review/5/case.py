"""A request crashes one server again and again, as that keeps its id."""

from __future__ import annotations

import asyncio
import itertools
import os
import pathlib
import sys
import time

import stand_ins

FOLDER = pathlib.Path(__file__).resolve().parent
ZONES = ("hall-vannes", "hall-lorient", "hall-quimper")
ALLOWED_RETRIES = 3
# Crashes after which the rule counts.
CRASHES = 3
# Seconds that a server is away after a crash, and between two retries of the client.
DOWN_SECONDS = 2.0
RETRY_SECONDS = 4.0
RETRIES = 12
# Seconds that a sound request runs, and between two of them.
RUN_SECONDS = 0.3
PAUSE_SECONDS = 0.1
BAD_BODY = b"a recipe that crashes its server"


class Case:
    """One run of the case."""

    def __init__(self, keeps_id: bool) -> None:
        self.record = stand_ins.Record(FOLDER / "record.txt")
        # Whether a server starts again under the id that it had.
        self.keeps_id = keeps_id
        self.site = stand_ins.Site(len(ZONES))
        self.arrivals: list[float] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.numbers = itertools.count(1)
        self.served = self.sent = 0

    async def add_server(self, zone: str) -> None:
        """Start a new server."""
        name = f"i-{next(self.numbers):04x}"
        server = stand_ins.Server(name, "label-app", self.site.store)
        server.zone = zone
        server.seconds = RUN_SECONDS
        server.hook = self.run_or_crash
        self.site.servers.append(server)
        await server.start()

    async def run_or_crash(
        self,
        server: stand_ins.Server,
        request: stand_ins.Request,
        writer: asyncio.StreamWriter,
    ) -> bool | None:
        """Crash as the bad request begins to run."""
        if request.body != BAD_BODY:
            return None
        self.arrivals.append(time.monotonic())
        self.record.add(
            f"{server.name} in {server.zone} runs bad request {request.name} and "
            "crashes"
        )
        await asyncio.sleep(0.02)
        server.crash()
        self.tasks.append(asyncio.create_task(self.bring_back(server)))
        return False

    async def bring_back(self, server: stand_ins.Server) -> None:
        """Start a crashed server again, or another one in its place."""
        await asyncio.sleep(DOWN_SECONDS)
        if self.keeps_id:
            await server.start()
        else:
            self.site.servers.remove(server)
            await self.add_server(server.zone)

    async def send_sound(self) -> None:
        """Send sound requests at all instances until cancelled."""
        for number in itertools.count():
            at = self.site.instances[number % len(ZONES)]
            body = b"sound %d" % number
            self.tasks.append(asyncio.create_task(self.send_one(at, body)))
            await asyncio.sleep(PAUSE_SECONDS)

    async def send_one(self, at: stand_ins.Instance, body: bytes) -> None:
        """Send a sound request, and record it if it isn't served."""
        name = stand_ins.new_name()
        answer = await at.call("/label/fetch", body, name)
        self.sent += 1
        if answer is not None and answer.status == 200:
            self.served += 1
            return
        status = "none" if answer is None else answer.status
        self.record.add(f"sound request {name} at {at.name} answered: {status}")

    async def send_bad(self) -> None:
        """Send the bad request again and again, at an instance of one zone."""
        at = self.site.instances[0]
        for _ in range(RETRIES):
            name = stand_ins.new_name()
            self.record.add(f"bad request {name} sent to {at.name} in {at.zone}")
            answer = await at.call("/label/fetch", BAD_BODY, name)
            status = "none" if answer is None else answer.status
            self.record.add(f"bad request {name} answered: {status}")
            await asyncio.sleep(RETRY_SECONDS)

    async def run(self) -> int:
        """Return the exit code."""
        try:
            for instance, zone in zip(self.site.instances, ZONES, strict=True):
                instance.zone = zone
            await self.site.store.start()
            for zone in ZONES:
                await self.add_server(zone)
            await self.site.configure([stand_ins.route("label", "unsafe", "label-app")])
            await self.site.start_instances()
            self.tasks.append(asyncio.create_task(self.send_sound()))
            await asyncio.sleep(2.0)
            await self.send_bad()
            self.record.add(f"sound requests served: {self.served} of {self.sent}")
            return self.judge()
        finally:
            for task in self.tasks:
                task.cancel()
            await self.site.stop()

    def judge(self) -> int:
        """Return 1 if the rule was broken, otherwise 0."""
        if len(self.arrivals) < CRASHES:
            raise stand_ins.CannotRunError("the request hasn't crashed three servers")
        since = self.arrivals[CRASHES - 1] + stand_ins.CONTACT_SECONDS
        later = sum(at > since for at in self.arrivals)
        self.record.add(
            f"{later} retries reached servers later than contact_ms after the third "
            f"crash, allowed {ALLOWED_RETRIES}"
        )
        return int(later > ALLOWED_RETRIES)


def main() -> int:
    """Run the case."""
    keeps_id = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        return await Case(keeps_id).run()

    try:
        return asyncio.run(run())
    except (stand_ins.CannotRunError, OSError) as error:
        print(f"the case can't run: {error}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
