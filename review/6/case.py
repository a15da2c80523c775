"""A bad version gets most requests while its dispatcher can't read the order."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import sys
import time

import stand_ins

FOLDER = pathlib.Path(__file__).resolve().parent
SERVICE = "label-app"
# Servers of each version, their slots, and how long they work on a request.
SERVERS, SLOTS = 4, 4
OLD_SECONDS, NEW_SECONDS = 0.17, 0.06
RATE = 80.0
# The new version fails this part of the requests of one route, a fifth of all.
FAILED = 0.7
BAD_ROUTE_PART = 0.2
# The cut of one machine from the store, and how long before the order it begins.
CUT_SECONDS, AHEAD_SECONDS = 5.5, 0.3
PERIOD_SECONDS = 15.0
# The bounds of the rule.
CANARY_SHARE, CANARY_SLACK = 0.1, 50
ROLLBACK_SECONDS, BAD_ANSWERS = 5.0, 50


class Case:
    """One run of the case."""

    def __init__(self, has_trouble: bool) -> None:
        self.record = stand_ins.Record(FOLDER / "record.txt")
        self.has_trouble = has_trouble
        self.site = stand_ins.Site(3)
        # As the template has it where `bounds.canary_share` is set.
        self.site.settings = {"rollouts": {"enabled": True}}
        self.proxies: dict[str, stand_ins.Proxy] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.statuses: dict[str, int] = {}
        self.bad: list[stand_ins.Request] = []
        # When clients sent requests, and when bad answers were made.
        self.sent: dict[str, float] = {}
        self.bad_answers: list[float] = []

    async def run_new(
        self,
        server: stand_ins.Server,
        request: stand_ins.Request,
        writer: asyncio.StreamWriter,
    ) -> bool | None:
        """Run a request at the new version."""
        server.runs.append(request)
        self.bad.append(request)
        await asyncio.sleep(server.seconds)
        if request.target.startswith("/status/") and random.random() < FAILED:
            self.bad_answers.append(time.monotonic())
            server.answer(writer, request, b"failed", "500 Internal Server Error")
        else:
            server.answer(writer, request, b"new")
        return True

    async def send_one(self, at: stand_ins.Instance) -> None:
        """Send one request."""
        route = "status" if random.random() < BAD_ROUTE_PART else "fetch"
        name = stand_ins.new_name()
        self.sent[name] = time.monotonic()
        answer = await at.call(f"/{route}/x", b"label", name)
        status = "none" if answer is None else str(answer.status)
        self.statuses[status] = self.statuses.get(status, 0) + 1

    async def load(self, at: list[stand_ins.Instance], end: float) -> None:
        """Send requests at some instances until an instant."""
        while time.monotonic() < end:
            task = asyncio.create_task(self.send_one(random.choice(at)))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1 / RATE)

    def find_dispatcher(self) -> stand_ins.Instance:
        """Return the instance that grants the slots of the service."""

        def count(one: stand_ins.Instance) -> int:
            return one.log.read_text(encoding="utf-8").count('"granted ')

        return max(self.site.instances, key=count)

    async def add_servers(self, version: str, seconds: float) -> None:
        """Start the servers of a version."""
        for number in range(SERVERS):
            name = f"i-{version}-{number}"
            server = stand_ins.Server(name, SERVICE, self.site.store, SLOTS)
            server.version, server.seconds = version, seconds
            if version != "v1":
                server.hook = self.run_new
            self.site.servers.append(server)
            await server.start()

    async def watch(self) -> None:
        """Record the states that the system writes."""
        before = None
        while True:
            row = self.site.store.rows.get(("status", "", f"rollout/{SERVICE}"))
            found = None if row is None else json.loads(row[0])
            if found is not None and found["state"] != before:
                before = found["state"]
                self.record.add(f"status: {found}")
            await asyncio.sleep(0.05)

    async def run(self) -> int:
        """Return the exit code."""
        site = self.site
        try:
            await site.store.start()
            for one in site.instances:
                proxy = self.proxies[one.name] = stand_ins.Proxy(site.store.port)
                await proxy.start()
                one.store_port = proxy.port
            await self.add_servers("v1", OLD_SECONDS)
            routes = [
                stand_ins.route(name, "safe", SERVICE) for name in ("fetch", "status")
            ]
            await site.configure(routes)
            await site.start_instances()
            await self.load(site.instances, time.monotonic() + 3.0)
            dispatcher = self.find_dispatcher()
            others = [one for one in site.instances if one is not dispatcher]
            if self.has_trouble:
                self.record.add(f"{dispatcher.name} is cut off from the store")
                proxy = self.proxies[dispatcher.name]
                proxy.is_cut = True
                loop = asyncio.get_running_loop()
                loop.call_later(CUT_SECONDS, proxy.heal)
            await self.load(others, time.monotonic() + AHEAD_SECONDS)
            return await self.roll_out(others)
        finally:
            for task in list(self.tasks):
                task.cancel()
            await site.stop()
            for proxy in self.proxies.values():
                proxy.stop()

    async def roll_out(self, others: list[stand_ins.Instance]) -> int:
        """Order the roll-out; return the exit code at its deadline."""
        order = {"service": SERVICE, "to": "v2", "period_s": PERIOD_SECONDS}
        key = f"rollout/{SERVICE}"
        await self.site.store.put("op", key, json.dumps(order).encode())
        ordered = time.monotonic()
        self.record.add(f"order: {order}")
        watching = asyncio.create_task(self.watch())
        await self.add_servers("v2", NEW_SECONDS)
        await self.load(others, ordered + PERIOD_SECONDS)
        watching.cancel()
        return self.judge(ordered)

    def judge(self, ordered: float) -> int:
        """Return 1 if the rule was broken, otherwise 0."""
        end = ordered + PERIOD_SECONDS
        reached = [
            request
            for server in self.site.servers
            for request in server.runs
            if ordered <= request.at <= end
        ]
        if not reached:
            raise stand_ins.CannotRunError("no request reached the service")
        bad = [request for request in self.bad if request.at <= end]
        allowed = CANARY_SHARE * len(reached) + CANARY_SLACK
        late = 0
        if len(self.bad_answers) >= BAD_ANSWERS:
            since = self.bad_answers[BAD_ANSWERS - 1] + ROLLBACK_SECONDS
            late = sum(self.sent.get(one.name, 0.0) > since for one in bad)
        self.record.add(f"answers by status: {self.statuses}")
        self.record.add(
            f"{len(reached)} requests reached the service, {len(bad)} of them the bad "
            f"version, allowed {allowed:.0f}; {len(self.bad_answers)} bad answers"
        )
        self.record.add(f"{late} were sent over 5 s after the 50th, allowed 0")
        return int(len(bad) > allowed or late > 0)


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
