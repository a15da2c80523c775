"""HTTP handlers with which operators see and change the quarantine of parts."""

from __future__ import annotations

import re

import msgspec
from aiohttp import web

from tealcove import clock, ids
from tealcove.quarantine import parts, role

PATH = "/quarantine"
PART_ID = re.compile(r"[0-9a-f]{1,64}")
HTTP_BAD_REQUEST = 400


class ShownCrash(msgspec.Struct, frozen=True):
    """A crash that accuses a part, with the seconds since then."""

    server: ids.BackendServerId
    age: float


class ShownPart(msgspec.Struct, frozen=True):
    """A part as shown to operators."""

    part: ids.PartId
    is_convicted: bool
    # Whether an operator has decided that.
    is_manual: bool
    # Seconds until the conviction ends; 0: there is none.
    seconds_left: float
    # Crashes one after the other that accuse it.
    events: int
    # All crashes where it was, the oldest first.
    crashes: tuple[ShownCrash, ...]


class QuarantineHandlers:
    """Handlers for the loopback interface; they need no key."""

    def __init__(self, quarantine: role.Quarantine) -> None:
        self.quarantine = quarantine

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the handlers."""
        return [
            web.get(PATH, self.list_parts),
            web.put(f"{PATH}/{{part}}", self.convict),
            web.delete(f"{PATH}/{{part}}", self.release),
        ]

    async def list_parts(self, request: web.Request) -> web.Response:
        """Answer with all records, those of convicted parts first."""
        now = clock.now()
        shown = [self.show(part, now) for part in self.quarantine.parts.records]
        shown.sort(key=lambda one: (not one.is_convicted, -one.events, one.part))
        return respond(tuple(shown))

    async def convict(self, request: web.Request) -> web.Response:
        """Convict a part on all instances."""
        return self.decide(request, True)

    async def release(self, request: web.Request) -> web.Response:
        """End a part's conviction on all instances."""
        return self.decide(request, False)

    def decide(self, request: web.Request, is_convicted: bool) -> web.Response:
        """Apply an operator's decision and answer with the part."""
        part = ids.PartId(request.match_info["part"].lower())
        if not PART_ID.fullmatch(part):
            return web.Response(
                status=HTTP_BAD_REQUEST,
                text="Write the part's id as up to 64 hexadecimal digits.\n",
            )
        now = clock.now()
        self.quarantine.decide(part, is_convicted, now)
        return respond(self.show(part, now))

    def show(self, part: ids.PartId, now: ids.Instant) -> ShownPart:
        """Return a part as it is shown."""
        ledger = self.quarantine.parts
        record = ledger.records[part]
        is_convicted = record.is_convicted(now)
        return ShownPart(
            part=part,
            is_convicted=is_convicted,
            is_manual=record.ruling.is_manual,
            seconds_left=record.convicted_until - now if is_convicted else 0.0,
            events=ledger.events(part, now),
            crashes=show_crashes(record, now),
        )


def show_crashes(record: parts.PartRecord, now: ids.Instant) -> tuple[ShownCrash, ...]:
    """Return the crashes of a record, the oldest first."""
    found = sorted(record.crashes.values(), key=lambda crash: crash.at)
    return tuple(ShownCrash(one.server, now - one.at) for one in found)


def respond(shown: ShownPart | tuple[ShownPart, ...]) -> web.Response:
    """Return a JSON response."""
    body = msgspec.json.encode(shown)
    return web.Response(body=body, content_type="application/json")
