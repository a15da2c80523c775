"""The base class of the engine and service stand-ins, and their process."""

from __future__ import annotations

import abc
import asyncio
import signal
import sys

import msgspec
from aiohttp import web

from tealcove import ids
from tealcove.standins import backend_load, backend_settings, server


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults that any backend server can have; a new set replaces the whole old one.

    Fields that hold a number of answers are decremented for each faulty answer.
    """

    # Below 1: all work takes longer, as on a straggler.
    speed_factor: backend_settings.Positive = 1.0
    # For this long nothing runs, and only the /standin/ endpoints answer.
    freeze_seconds: backend_settings.Seconds = 0.0
    # For this long the port is closed and connections are refused.
    refuse_seconds: backend_settings.Seconds = 0.0
    # Number of answers that carry another request's id.
    wrong_id: backend_settings.Count = 0
    # The load report is no longer updated.
    stale_load: bool = False
    # None: the state set by the settings or by SIGTERM.
    state: backend_settings.BackendState | None = None


class Announcement(msgspec.Struct, frozen=True):
    """A lifecycle event of a stand-in process, printed to standard output."""

    event: str
    name: str
    port: int
    # Set for the last event, after which the counts can no longer be requested.
    counts: object = None


class BackendStandin(server.StandinServer, abc.ABC):
    """Base of a backend server with its state, load report, faults and counts."""

    FAULTS: type[Faults] = Faults

    def __init__(
        self,
        settings: backend_settings.BackendSettings,
        counts: msgspec.Struct,
    ) -> None:
        super().__init__(settings.name, settings.host, settings.port)
        self.settings = settings
        self.counts = counts
        self.faults = self.FAULTS()
        self.state = settings.state
        self.leaving_since: ids.Instant | None = None
        self.load = backend_load.LaggingLoad(settings.load_lag)

    @abc.abstractmethod
    def report(self) -> backend_load.LoadReport:
        """Return the present load."""

    def add_routes(self, app: web.Application) -> None:
        """Add the endpoints that every backend server has."""
        app.add_routes(
            [
                web.get("/load", self.show_load),
                web.get("/health", self.show_health),
                web.get("/standin/counts", self.show_counts),
                web.get("/standin/faults", self.show_faults),
                web.put("/standin/faults", self.put_faults),
            ]
        )

    async def start(self) -> None:
        """Start listening on `port`."""
        await super().start()
        now = server.loop_time()
        self.set_state(self.state, now)

    def start_leaving(self) -> None:
        """Switch to the leaving state."""
        self.set_state(backend_settings.BackendState.LEAVING, server.loop_time())

    def set_state(self, state: backend_settings.BackendState, now: ids.Instant) -> None:
        """Change the state; /health shows it at once, /load only after the lag."""
        leaving = state is backend_settings.BackendState.LEAVING
        if not leaving:
            self.leaving_since = None
        elif self.leaving_since is None:
            self.leaving_since = now
        self.state = state
        self.sample_load(now)

    def count_if_leaving(self, request_id: str, now: ids.Instant) -> None:
        """Count a request that arrived after the server began to leave."""
        if self.leaving_since is not None:
            seconds = now - self.leaving_since
            self.counts.sent_while_leaving.setdefault(request_id, seconds)

    def sample_load(self, now: ids.Instant) -> None:
        """Record a sample of the load for later reports."""
        self.load.sample(self.report(), now)

    async def apply_faults(self, faults: Faults) -> None:
        """Replace the set of faults."""
        now = server.loop_time()
        self.load.show(now)
        self.faults = faults
        self.load.stale = faults.stale_load
        self.freeze(faults.freeze_seconds)
        if faults.state is not None:
            self.set_state(faults.state, now)
        await self.refuse(faults.refuse_seconds)

    def consume_fault(self, field: str) -> bool:
        """Decrement a fault's counter; return False if it was 0."""
        left = getattr(self.faults, field)
        if left == 0:
            return False
        setattr(self.faults, field, left - 1)
        return True

    async def show_load(self, request: web.Request) -> web.Response:
        """Answer the lagging load report."""
        now = server.loop_time()
        self.sample_load(now)
        return server.json_response(self.load.show(now))

    async def show_health(self, request: web.Request) -> web.Response:
        """Answer the present state."""
        return server.json_response(backend_settings.Health(self.state))

    async def show_counts(self, request: web.Request) -> web.Response:
        """Answer the counts."""
        return server.json_response(self.counts)

    async def show_faults(self, request: web.Request) -> web.Response:
        """Answer the active faults."""
        return server.json_response(self.faults)

    async def put_faults(self, request: web.Request) -> web.Response:
        """Replace the faults."""
        await self.apply_faults(await server.decode_body(request, self.FAULTS))
        return server.json_response(self.faults)


def announce(event: str, backend: BackendStandin, counts: object = None) -> None:
    """Print one JSON line for the parent process."""
    line = Announcement(event, backend.name, backend.port, counts)
    sys.stdout.write(msgspec.json.encode(line).decode() + "\n")
    sys.stdout.flush()


async def serve_until_signal(backend: BackendStandin) -> None:
    """Run a stand-in until SIGTERM or SIGINT, then finish its running requests.

    It keeps listening for `linger_seconds`: a request in transit when the
    signal arrives would otherwise reach a closed port after it was written,
    and its sender couldn't tell whether it ran.
    """
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    await backend.start()
    announce("listening", backend)
    await stop_requested.wait()
    backend.start_leaving()
    await asyncio.sleep(backend.settings.linger_seconds)
    await backend.idle.wait()
    await backend.stop()
    announce("stopped", backend, backend.counts)
