"""Callers that use the addresses of the directory, and what they must be served."""

from __future__ import annotations

import asyncio
import itertools

import aiohttp
import msgspec

from soak import callers, deployment, disturbances, overloading
from tealcove import clock, ids
from tealcove.platform import names

PATHS = ("/safe/x", "/once/x")
CALLERS = 12
# The last byte of the first caller's IP number; instances have the first ones.
FIRST_HOST = 100
# Seconds after which a caller asks the directory again, and between its requests.
ASK_SECONDS = 1.0
PAUSE_SECONDS = 0.2
# Seconds between two requests straight to a weak instance.
PROBE_SECONDS = 0.2
OVERLOADED = "instance_overloaded"
ASK_TIMEOUT = aiohttp.ClientTimeout(total=1.0)
# Seconds after which an overloaded instance must refuse, and after which one that isn't
# overloaded any more must serve: callers give up after 3 s. One that waits for an
# overloaded instance, or returns to it, must not find it as it was until then.
REFUSING_SECONDS = 3.0
RETURN_SECONDS = 3.0
# The least share of requests of undisturbed callers that must be served at one of two
# addresses. With less, callers lose more than beside another account's flood.
MIN_SHARE = 0.95
# Fewer requests aren't judged.
MIN_REQUESTS = 50


class Request(msgspec.Struct, frozen=True):
    """A caller's request over all its tries."""

    sent_at: ids.Instant
    is_served: bool


class Counts(msgspec.Struct, frozen=True):
    """What callers saw while instances were overloaded, and after."""

    # Requests of callers that used the directory, and how many were served.
    sent: int = 0
    served: int = 0
    # Requests straight to instances that had been overloaded for a while, and how many
    # were refused at once.
    overloaded: int = 0
    refused: int = 0
    # The same to instances that had been sound for a while, and how many were served.
    sound: int = 0
    returned: int = 0


class DirectedCallers(callers.Callers):
    """Callers with addresses of the directory, and probes of the weak instances."""

    def __init__(
        self,
        running: deployment.Deployment,
        log: disturbances.DisturbanceLog,
        seed: int,
    ) -> None:
        super().__init__(running, log, seed, PATHS)
        self.probes = callers.Callers(running, log, seed, PATHS)
        self.probes.request_prefix = "probe"
        self.requests: list[Request] = []
        self.members = {one.listen["callers"]: one for one in running.members}

    @property
    def all_results(self) -> list[callers.CallResult]:
        """See Callers."""
        return [*self.results, *self.probes.results]

    async def run(self) -> None:
        """Run all callers and probes until `is_stopping` is set."""
        async with asyncio.TaskGroup() as group:
            for number in range(CALLERS):
                group.create_task(self.call_directed(number))
            for member in overloading.weak(self.running):
                group.create_task(self.probe(member))

    async def call_directed(self, number: int) -> None:
        """Run one caller with an IP number of its own."""
        host = f"{self.running.network}.{FIRST_HOST + number}"
        connector = aiohttp.TCPConnector(local_addr=(host, 0))
        async with aiohttp.ClientSession(
            connector=connector, timeout=callers.TIMEOUT
        ) as session:
            known: list[deployment.Member] = []
            asked_at = ids.Instant(0.0)
            while not self.is_stopping:
                if clock.now() - asked_at >= ASK_SECONDS:
                    known = await self.ask(session) or known
                    asked_at = clock.now()
                if known:
                    await self.request(session, known)
                await asyncio.sleep(PAUSE_SECONDS)

    async def ask(self, session: aiohttp.ClientSession) -> list[deployment.Member]:
        """Return the instances that a random one's directory names, or none."""
        member = self.random.choice(self.running.members)
        url = f"http://{member.listen['directory']}{names.RESOLVE_PATH}"
        try:
            async with session.get(
                url, params={"zone": "dc-1"}, timeout=ASK_TIMEOUT
            ) as response:
                found = (await response.json()).get("addrs", [])
        except (aiohttp.ClientError, TimeoutError):
            return []
        return [self.members[address] for address in found]

    async def request(
        self, session: aiohttp.ClientSession, known: list[deployment.Member]
    ) -> None:
        """Send a request, and once more to the second address if it is refused."""
        path = self.random.choice(self.paths)
        sent_at = clock.now()
        for member in known[:2]:
            ended = await self.try_once(session, path, member=member)
            if not (is_overloaded(ended) or ended.answer.is_unreached):
                break
        is_served = ended.answer.status == deployment.HTTP_OK
        self.requests.append(Request(sent_at, is_served))

    async def probe(self, member: deployment.Member) -> None:
        """Send requests to one instance, whatever the directory says."""
        async with aiohttp.ClientSession(timeout=callers.TIMEOUT) as session:
            for number in itertools.count():
                if self.is_stopping:
                    return
                path = self.paths[number % len(self.paths)]
                await self.probes.try_once(session, path, member=member)
                await asyncio.sleep(PROBE_SECONDS)


def is_overloaded(one: callers.CallResult) -> bool:
    """Tell whether a request was refused by an instance that is overloaded."""
    return callers.reason_of(one.answer) == OVERLOADED


def count(
    overloader: overloading.Overloader, calling: DirectedCallers, until: ids.Instant
) -> Counts:
    """Count what callers saw until the end of the faults, and probes until theirs."""
    probes = calling.probes.results
    periods = overloader.periods
    beyond = [one for one in probes if is_beyond(one, periods)]
    sound = [one for one in probes if is_sound(one, periods)]
    sent = [one for one in calling.requests if one.sent_at < until]
    return Counts(
        sent=len(sent),
        served=sum(one.is_served for one in sent),
        overloaded=len(beyond),
        refused=sum(map(is_overloaded, beyond)),
        sound=len(sound),
        returned=sum(one.answer.status == deployment.HTTP_OK for one in sound),
    )


def is_beyond(one: callers.CallResult, periods: list[overloading.Overload]) -> bool:
    """Tell whether an instance had been overloaded for a while, and stayed so."""
    return any(
        found.member == one.member
        and found.since + REFUSING_SECONDS <= one.sent_at
        and one.ended_at <= found.until
        for found in periods
    )


def is_sound(one: callers.CallResult, periods: list[overloading.Overload]) -> bool:
    """Tell whether an instance had not been overloaded for a while, and wasn't."""
    return not any(
        found.member == one.member
        and found.since <= one.ended_at
        and one.sent_at < found.until + RETURN_SECONDS
        for found in periods
    )


def violations(
    running: deployment.Deployment, found: Counts, ended: list[callers.CallResult]
) -> list[str]:
    """Return what callers of overloaded instances must not see."""
    broken = []
    if found.sent >= MIN_REQUESTS and found.served < MIN_SHARE * found.sent:
        broken.append(f"{found.served} of {found.sent} served at given addresses")
    if found.refused < found.overloaded:
        accepted = found.overloaded - found.refused
        broken.append(f"{accepted} of {found.overloaded} not refused when overloaded")
    if found.returned < found.sound:
        broken.append(f"{found.returned} of {found.sound} served by sound instances")
    run = {run.request_id for server in running.servers for run in server.runs}
    broken.extend(
        f"{one.request_id} {one.path}: refused with 503, but has run"
        for one in ended
        if one.answer.status == 503 and one.request_id in run
    )
    return broken
