"""The copies of runs that a stand-in server sends to others and keeps for them."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Coroutine

import aiohttp
import msgspec
from aiohttp import web

from tealcove import clock, decoding, ids, tasks
from tealcove.platform import names

# Path of the parts of copies that servers send to each other; a request id follows.
COPY_PATH = "/kv-copy/"
# Seconds between two parts of a copy, and to set up each transfer.
PART_INTERVAL = 0.1
SETUP_SECONDS = 0.005
# Seconds after the last part for which a copy is kept.
HANDLE_SECONDS = 3.0
# Bytes of the KV cache for each token, and tokens in each event of a stream.
TOKEN_BYTES = 18_432
EVENT_TOKENS = 4


class Progress(msgspec.Struct):
    """How far a run has come, as sent in each part of its copy."""

    is_prompt_read: bool = False
    events: int = 0

    def bytes_of(self, prompt_tokens: int) -> int:
        """Return the bytes of the run's KV cache."""
        read = prompt_tokens if self.is_prompt_read else 0
        return TOKEN_BYTES * (read + EVENT_TOKENS * self.events)


class Copy(msgspec.Struct):
    """A copy that is kept for another server."""

    progress: Progress
    updated_at: ids.Instant


class PoolCopies:
    """The copies that one stand-in server keeps, and those of its own runs."""

    def __init__(self) -> None:
        self.kept: dict[str, Copy] = {}
        # The progress of its own runs.
        self.running: dict[str, Progress] = {}
        # Whether it has memory for copies.
        self.has_room = True
        # Bytes of the copies that it has sent.
        self.sent_bytes = 0
        self.sending: set[asyncio.Task[None]] = set()
        self.session: aiohttp.ClientSession | None = None

    async def stop(self) -> None:
        """Close the connections to other servers."""
        self.lose()
        if self.session is not None:
            await self.session.close()

    def lose(self) -> None:
        """Forget everything, as at the end of a process."""
        for task in self.sending:
            task.cancel()
        self.kept.clear()

    def receive(self, request: web.Request, body: bytes) -> web.Response:
        """Keep a part of a copy, or drop the copy of a run that has ended."""
        run = request.path.removeprefix(COPY_PATH)
        if request.method == "DELETE":
            self.kept.pop(run, None)
        elif self.has_room:
            progress = decoding.decode_json(body, Progress)
            self.kept[run] = Copy(progress, clock.now())
        return web.Response()

    def find(self, request: web.Request, now: ids.Instant) -> Progress | None:
        """Return the progress from which a request is to go on; None: no copy."""
        run = request.headers[names.KV_FROM].rpartition("/")[2]
        found = self.kept.get(run)
        is_own = run == request.headers[names.REQUEST_ID]
        if found is None or not is_own or now - found.updated_at > HANDLE_SECONDS:
            return None
        return found.progress

    @contextlib.asynccontextmanager
    async def copied(self, request: web.Request) -> AsyncIterator[Progress]:
        """Send copies of a run while the context is active, if it is to be copied.

        The context is the run's progress, which a copy that is kept here has begun.
        """
        run = request.headers[names.REQUEST_ID]
        kept = self.kept.pop(run, None) if names.KV_FROM in request.headers else None
        progress = self.running[run] = Progress() if kept is None else kept.progress
        parts = None
        # Held while a message on the copy is sent: no part may arrive after its end.
        lock = asyncio.Lock()
        if names.KV_BACKUP in request.headers:
            sending = self.send_parts(request, progress, lock)
            parts = self.start(sending, "parts of a copy")
        try:
            yield progress
        except BaseException:
            if parts is not None:
                parts.cancel()
            raise
        finally:
            self.running.pop(run, None)
        if parts is not None and not parts.cancelling():
            # Not awaited: the client may close its connection, which cancels the
            # handler of the request.
            self.start(self.send_end(request, parts, lock), "end of a copy")

    def start(
        self, work: Coroutine[object, object, None], name: str
    ) -> asyncio.Task[None]:
        """Send messages on a copy in the background."""
        task = tasks.start(work, name)
        self.sending.add(task)
        task.add_done_callback(self.sending.discard)
        return task

    async def send_end(
        self, request: web.Request, parts: asyncio.Task[None], lock: asyncio.Lock
    ) -> None:
        """Have the copy of a run that has ended dropped, after its last part."""
        async with lock:
            parts.cancel()
            await self.send("DELETE", request, b"")

    async def send_parts(
        self, request: web.Request, progress: Progress, lock: asyncio.Lock
    ) -> None:
        """Send what has been added to a run's KV cache, again and again."""
        prompt, _, _ = request.headers.get(names.TOKEN_COUNT, "0").partition(",")
        sent = 0
        while True:
            await asyncio.sleep(SETUP_SECONDS)
            async with lock:
                size = progress.bytes_of(int(prompt))
                await self.send("PUT", request, msgspec.json.encode(progress))
            self.sent_bytes += size - sent
            sent = size
            await asyncio.sleep(PART_INTERVAL)

    async def send(self, method: str, request: web.Request, body: bytes) -> None:
        """Send a message on a run to the server that keeps its copy."""
        if self.session is None:
            self.session = aiohttp.ClientSession()
        address = request.headers[names.KV_BACKUP]
        run = request.headers[names.REQUEST_ID]
        url = f"http://{address}{COPY_PATH}{run}"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self.session.request(method, url, data=body):
                pass
