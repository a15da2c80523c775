"""An entry whose tickets are granted at once, with a service in the test."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
from aiohttp import web

from tealcove import bearer, ids, plan, settings
from tealcove.backends import http_service
from tealcove.dispatch import messages, pending, requester, spread
from tealcove.entry import http
from tealcove.membership import members
from tealcove.membership import messages as membership_messages
from tealcove.resources import copy, kinds

KEY = "key-of-a"
LONGEST_BODY = 1 << 20
GENEROUS_SECONDS = 20.0
POLL = 0.005
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def heartbeat() -> membership_messages.Heartbeat:
    """Return the heartbeat of a serving instance."""
    return membership_messages.Heartbeat(
        instance=ids.InstanceId("i"),
        incarnation=ids.Incarnation("1"),
        lifecycle=membership_messages.Lifecycle.SERVING,
        data_centre=ids.DataCentreId("d"),
        host="127.0.0.1",
        http_port=1,
        peer_host="127.0.0.1",
        peer_port=2,
        revision=ids.Revision(1),
    )


class InstantTickets(requester.Requester):
    """Grants the only server to every ticket and records how each ended."""

    def __init__(self, known: members.Members, port: int) -> None:
        spreading = spread.Spread(copy.ConfigurationCopy(), lambda centre: 0.0)
        super().__init__(None, known, 1.0, spreading)
        self.port = port
        self.ended: list[messages.Outcome] = []

    async def obtain(self, request: pending.PendingTicket) -> messages.Grant:
        return messages.Grant(
            ticket_id=request.ticket.ticket_id,
            cell=request.ticket.cell,
            server=ids.BackendServerId("s"),
            host="127.0.0.1",
            port=self.port,
        )

    def finish(self, request: pending.PendingTicket, done: messages.Done) -> None:
        self.ended.append(done.outcome)

    def abandon(self, request: pending.PendingTicket) -> None:
        self.ended.append(messages.Outcome.NOT_SENT)


def resource(kind: kinds.Kind, name: str, spec: kinds.Spec) -> kinds.Resource:
    """Return a resource as a configuration copy holds it."""
    metadata = kinds.Metadata(
        name=name, revision=ids.Revision(1), generation=1, changed_by="ops"
    )
    return kinds.Resource(kind=kind, metadata=metadata, spec=spec)


def configuration() -> copy.ConfigurationCopy:
    """Return a configuration of one account, one service pool and one rule."""
    server = kinds.BackendServerSpec(
        name="s", host="127.0.0.1", port=1, data_centre="d"
    )
    account = kinds.ClientAccountSpec(tier="t", key_hashes=(bearer.hash_key(KEY),))
    found = [
        resource(kinds.Kind.SERVICE_TIER, "t", kinds.ServiceTierSpec(rank=0)),
        resource(kinds.Kind.CLIENT_ACCOUNT, "a", account),
        resource(
            kinds.Kind.SERVICE_POOL, "p", kinds.ServicePoolSpec(servers=(server,))
        ),
        resource(
            kinds.Kind.ROUTING_RULE,
            "r",
            kinds.RoutingRuleSpec(pool="p", path_prefix="/app/"),
        ),
    ]
    held = copy.ConfigurationCopy()
    held.activate(plan.build_configuration(found))
    return held


class RunningEntry:
    """A listening entry and the session of its caller."""

    def __init__(self, session: aiohttp.ClientSession, entry: http.Entry) -> None:
        self.session = session
        self.entry = entry

    def call(
        self, method: str, path: str, **more: object
    ) -> aiohttp.client._RequestContextManager:
        headers = {"Authorization": f"Bearer {KEY}", **more.pop("headers", {})}
        return self.session.request(method, path, headers=headers, **more)

    async def wait_until_joined(self) -> None:
        """Wait until two callers wait for the only request in progress."""
        (running,) = self.entry.joinable.values()
        async with asyncio.timeout(GENEROUS_SECONDS):
            while running.readers < 2:  # noqa: ASYNC110
                await asyncio.sleep(POLL)


@contextlib.asynccontextmanager
async def listening(routes: list[web.RouteDef]) -> AsyncIterator[int]:
    """Serve routes on a free port."""
    app = web.Application(client_max_size=LONGEST_BODY)
    app.add_routes(routes)
    runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    try:
        yield runner.addresses[0][1]
    finally:
        await runner.cleanup()


@contextlib.asynccontextmanager
async def running(handler: Handler) -> AsyncIterator[RunningEntry]:
    """Run an entry that forwards to a service with one handler."""
    services = http_service.HttpServiceClient()
    await services.start()
    known = members.Members(heartbeat(), 1.0, 10.0)
    async with listening([web.route("*", "/{path:.*}", handler)]) as service_port:
        tickets = InstantTickets(known, service_port)
        found = settings.Settings("i", "d")
        entry = http.Entry(found, configuration(), known, None, services, tickets, None)
        async with listening(entry.routes()) as port:
            url = f"http://127.0.0.1:{port}"
            async with aiohttp.ClientSession(url, auto_decompress=False) as session:
                yield RunningEntry(session, entry)
    await services.stop()
