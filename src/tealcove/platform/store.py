"""HTTP client for the platform's store."""

from __future__ import annotations

import ssl
from collections.abc import Callable
from typing import NoReturn

import aiohttp
import logbook
import msgspec

from tealcove import errors, ids, keepalive, stalls
from tealcove.backends import attempt as attempts
from tealcove.backends import bodies, connector
from tealcove.platform import names, wire
from tealcove.storage import feed, revisions

log = logbook.Logger("platform")

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_GONE = 410
HTTP_PRECONDITION_FAILED = 412
HTTP_TOO_MANY_REQUESTS = 429
HTTP_SERVER_ERROR = 500
HTTP_UNAVAILABLE = 503
# Statuses with which the store guarantees that it didn't process the call.
REFUSED_STATUSES = (HTTP_TOO_MANY_REQUESTS, HTTP_UNAVAILABLE)
# Statuses of a valid reply to a read; any other means that it failed.
READ_STATUSES = (HTTP_OK, HTTP_NOT_FOUND, HTTP_GONE)
# Exceptions of a call without a complete reply; they include failures to connect.
CALL_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, attempts.SecondWriteError)
JSON_TYPE = "application/json"
# Rows per page of a read, the store's maximum, and bytes of a page of the longest rows.
PAGE_ROWS = 500
MAX_REPLY_BYTES = 48 * 2**20
# Seconds that a read may take beyond its silence timeout: enough for 9 MB on a link of
# 5 Mbit/s.
READ_TIME_MARGIN = 15.0
# Seconds that a feed call may take beyond its own wait. The store's replies take 4 ms,
# and 60 times as long when it's slow.
FEED_MARGIN = 1.5
# The same for a feed call without a wait, which is used while the store is failing: the
# sooner it times out, the sooner the store's recovery is detected.
PROBE_MARGIN = 0.75
# Seconds after which a silent connection is broken. Until then, an instance that waits
# for an answer to a long poll serves with an old configuration.
SILENCE_SECONDS = 2


class Timeouts(msgspec.Struct, frozen=True):
    """Limits of one call, in seconds."""

    # To establish a connection; when it expires, nothing has been sent.
    connect: float = 1.0
    # To receive the complete reply, including the connection time.
    total: float = 5.0


class StoreClient(feed.Feed):
    """Calls the store in one HTTP session that all its users share.

    Opens no connection before the first call. Must be created and closed in the
    event loop that uses it.
    """

    def __init__(
        self,
        url: str,
        timeouts: Timeouts | None = None,
        tls: ssl.SSLContext | None = None,
        own_stalls: stalls.Stalls | None = None,
    ) -> None:
        self.url = url.rstrip("/")
        self.timeouts = timeouts or Timeouts()
        self.stalls = own_stalls or stalls.Stalls()
        # Counters for metrics; a failure is a call without a usable reply.
        self.calls = 0
        self.failures = 0
        # The highest era that an answer named.
        self.era = ids.NO_ERA
        self.session = aiohttp.ClientSession(
            connector=connector.StallTolerantConnector(
                self.stalls,
                self.timeouts.connect,
                ssl=tls or True,
                socket_factory=keepalive.socket_factory(SILENCE_SECONDS),
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            # aiohttp retries a PUT or DELETE by itself when a reused connection
            # breaks. After a lost reply that would apply the write twice and hide
            # the loss.
            middlewares=(attempts.forbid_second_write,),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def read_all(self, table: str) -> feed.Page:
        """See Feed."""
        found, version = await self.read_range(table, "", None)
        entries = tuple(row.entry() for row in found)
        return feed.Page(entries, version)

    async def read_range(
        self, table: str, start: str, limit: int | None
    ) -> tuple[list[wire.WireRow], int]:
        """Return rows from a key on, all of them without a limit, and the version.

        The version is that of the first page: changes during the read of further pages
        are in the feed from that version on.
        """
        found: list[wire.WireRow] = []
        version = None
        while True:
            wanted = PAGE_ROWS if limit is None else min(PAGE_ROWS, limit - len(found))
            page = await self.read_page(table, start, wanted)
            version = page.row_version if version is None else version
            if revisions.era_of(page.row_version) != revisions.era_of(version):
                raise wire.unavailable("the store was restored between two pages")
            found.extend(page.rows)
            is_enough = limit is not None and len(found) >= limit
            if not page.has_more or not page.rows or is_enough:
                return found, version
            start = page.rows[-1].key + "\0"

    async def read_page(self, table: str, start: str, limit: int) -> wire.WirePage:
        """Return one page of rows from a key on."""
        params = {"table": table, "part": "", "limit": str(limit)}
        if start:
            params["from"] = start
        reply = await self.read(names.READ_PATH, params, self.timeouts.total)
        if reply.status != HTTP_OK:
            raise wire.unavailable(f"a read was answered by status {reply.status}")
        return wire.decode_page(reply)

    async def wait_for_changes(
        self,
        table: str,
        since: int,
        seconds: float,
        arriving: Callable[[], None] | None = None,
    ) -> feed.Page:
        """See Feed."""
        if self.era > revisions.era_of(since):
            # The store might hold the call for its whole wait before it answers.
            raise wire.restored(self.era, since)
        # Despite its name, since_rev is the store version from which to continue.
        params = {
            "table": table,
            "since_rev": str(revisions.number_of(since)),
            "wait_ms": str(int(seconds * 1000)),
        }
        silence = seconds + FEED_MARGIN if seconds else PROBE_MARGIN
        reply = await self.read(names.FEED_PATH, params, silence, arriving)
        if reply.status == HTTP_GONE:
            raise feed.HistoryLostError(
                f"the changes of {table} since {revisions.text(since)} are no longer "
                "kept",
                "Read the whole table.",
            )
        if reply.status != HTTP_OK:
            raise wire.unavailable(f"a feed was answered by status {reply.status}")
        if reply.era != revisions.era_of(since):
            # What was written below the same number of this era would be missed.
            raise wire.restored(reply.era, since)
        page = wire.decode_page(reply)
        entries = tuple(row.entry() for row in page.rows)
        return feed.Page(entries, page.row_version)

    async def read(
        self,
        path: str,
        params: dict[str, str],
        silence: float,
        arriving: Callable[[], None] | None = None,
    ) -> wire.Reply:
        """Return the reply to a read; `silence` limits the seconds without a byte.

        With a short limit on the whole reply, a large document would never get through
        a slow link: a starting instance would read its first part again and again.
        Raises PlatformUnavailableError, since a failed read changed nothing and may be
        retried.
        """
        limits = aiohttp.ClientTimeout(
            total=silence + READ_TIME_MARGIN, sock_read=silence
        )
        try:
            reply = await self.call("GET", path, params, None, limits, None, arriving)
        except CALL_ERRORS as error:
            raise wire.unavailable(f"a read failed: {error_text(error)}") from error
        if reply.status not in READ_STATUSES:
            raise wire.unavailable(f"a read was answered by status {reply.status}")
        return reply

    async def write(
        self, method: str, path: str, content: bytes, headers: dict[str, str]
    ) -> wire.Reply:
        """Return the reply to a write that was applied or whose condition failed.

        Raises PlatformUnavailableError if it was certainly not applied, and
        OutcomeUnknownError if it may have been applied.
        """
        limits = aiohttp.ClientTimeout(total=None)
        try:
            async with self.stalls.timeout(self.timeouts.total):
                reply = await self.call(method, path, {}, content, limits, headers)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise wire.unavailable(f"no connection: {error_text(error)}") from error
        except CALL_ERRORS as error:
            raise wire.unknown(f"the reply is missing: {error_text(error)}") from error
        if reply.status in (HTTP_OK, HTTP_PRECONDITION_FAILED):
            return reply
        raise_for_status(reply)

    async def call(
        self,
        method: str,
        path: str,
        params: dict[str, str],
        content: bytes | None,
        limits: aiohttp.ClientTimeout,
        headers: dict[str, str] | None = None,
        arriving: Callable[[], None] | None = None,
    ) -> wire.Reply:
        """Send one request and return the complete reply; raises aiohttp's errors."""
        self.calls += 1
        era = self.era
        is_usable = False
        try:
            async with self.session.request(
                method,
                self.url + path,
                params=params,
                data=content,
                headers=headers or {"Content-Type": JSON_TYPE},
                allow_redirects=False,
                timeout=limits,
            ) as response:
                if arriving is not None and response.status == HTTP_OK:
                    arriving()
                named = wire.era_named(response.headers.getall(names.STORE_ERA, []))
                if named is not None:
                    era = named
                    self.note_era(named)
                body = await bodies.read(response, MAX_REPLY_BYTES)
                reply = wire.Reply(response.status, body, era)
            is_usable = reply.status not in REFUSED_STATUSES
            is_usable = is_usable and reply.status < HTTP_SERVER_ERROR
            return reply
        finally:
            self.failures += not is_usable

    def note_era(self, era: ids.Era) -> None:
        """Record and log a higher era; a late answer may name an earlier one."""
        if era > self.era:
            log.info("the store names era {}, {} before", era, self.era)
            self.era = era


def raise_for_status(reply: wire.Reply) -> NoReturn:
    """Raise the error for the status of a write's reply."""
    problem = f"a write was answered by status {reply.status}"
    if reply.status in REFUSED_STATUSES:
        raise wire.unavailable(problem)
    if reply.status >= HTTP_SERVER_ERROR:
        # The store or a proxy may respond like this after the write was applied.
        raise wire.unknown(problem)
    raise errors.PlatformError(
        f"the platform refused a call: status {reply.status}",
        "Check that the platform's address and version are the right ones.",
    )


def error_text(error: BaseException) -> str:
    """Return an error's text, or its type if it has none, as for a timeout."""
    return str(error) or type(error).__name__
