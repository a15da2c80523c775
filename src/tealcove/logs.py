"""Logs as JSON lines, on standard error or, with a bound, on standard output."""

from __future__ import annotations

import logging
import sys
import typing

import logbook
import logbook.compat
import msgspec

from tealcove import clock, linelimit, settings

LEVELS = {
    settings.Level.DEBUG: logbook.DEBUG,
    settings.Level.INFO: logbook.INFO,
    settings.Level.WARNING: logbook.WARNING,
    settings.Level.ERROR: logbook.ERROR,
}
# The keyword under which callers give the request's id: `extra={"request": ...}`.
REQUEST = "request"
# Marks a line that says why a request ended badly: `extra={..., "final": True}`.
FINAL = "final"


class Line(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of the log."""

    # ISO 8601 in UTC, for people; nothing is decided by it.
    time: str
    level: str
    # The slice that wrote the line.
    channel: str
    message: str
    instance: str
    data_centre: str
    request: str | None = None
    error: str | None = None


class JsonHandler(logbook.Handler):
    """Writes each record as one line of JSON."""

    def __init__(
        self, found: settings.Settings, stream: typing.TextIO | None = None
    ) -> None:
        super().__init__(level=logbook.DEBUG)
        self.instance = found.instance
        self.data_centre = found.data_centre
        self.lowest = LEVELS[found.log.level]
        self.debug = frozenset(found.log.debug)
        self.stream = stream or sys.stderr

    def should_handle(self, record: logbook.LogRecord) -> bool:
        """Take records of the level, and all those of a slice under scrutiny."""
        return record.level >= self.lowest or record.channel in self.debug

    def emit(self, record: logbook.LogRecord) -> None:
        """Write the line."""
        self.stream.write(self.encode(record).decode() + "\n")
        self.stream.flush()

    def encode(self, record: logbook.LogRecord) -> bytes:
        """Return the line without its end."""
        line = Line(
            time=record.time.isoformat(timespec="milliseconds") + "Z",
            level=logbook.get_level_name(record.level).lower(),
            channel=record.channel or "",
            message=record.message,
            instance=self.instance,
            data_centre=self.data_centre,
            request=record.extra[REQUEST] or None,
            error=record.formatted_exception,
        )
        return msgspec.json.encode(line)


class RateLimitedHandler(JsonHandler):
    """Writes so many lines a second at the most, and never waits for a reader.

    What is dropped is counted: `dropped` is shown among the metrics, and the next
    line that is written says how many went before it.
    """

    def __init__(
        self, found: settings.Settings, descriptor: int, max_per_second: int
    ) -> None:
        super().__init__(found)
        self.limit = linelimit.LineLimit(max_per_second)
        self.writer = linelimit.LineWriter(descriptor)
        self.reported = 0

    @property
    def dropped(self) -> int:
        """Lines that were not written since the start."""
        return self.limit.dropped

    def emit(self, record: logbook.LogRecord) -> None:
        """Write the line, unless there are too many."""
        if not self.limit.admits(weight_of(record), clock.now()):
            return
        line = self.encode(record)
        if self.limit.dropped > self.reported:
            missing = self.limit.dropped - self.reported
            self.reported = self.limit.dropped
            line = line[:-1] + f',"dropped_before":{missing}}}'.encode()
        if not self.writer.write(line + b"\n"):
            self.limit.dropped += 1


def weight_of(record: logbook.LogRecord) -> linelimit.Weight:
    """Return how much a line counts against others of its second."""
    if record.extra[FINAL]:
        return linelimit.Weight.FINAL
    if record.level >= logbook.WARNING:
        return linelimit.Weight.WARNING
    return linelimit.Weight.PLAIN


def install_rate_limited(
    found: settings.Settings, max_per_second: int
) -> RateLimitedHandler:
    """Send all records to a bounded handler on standard output, and return it."""
    handler = RateLimitedHandler(found, sys.stdout.fileno(), max_per_second)
    return push(handler)


H = typing.TypeVar("H", bound=logbook.Handler)


def push(handler: H) -> H:
    """Send all records of this process to a handler, and return it.

    The standard library's records come too, since aiohttp writes there; its
    access log stays out, because request paths may hold what callers keep secret.
    """
    handler.push_application()
    logbook.compat.redirect_logging()
    logging.getLogger().setLevel(logging.WARNING)
    return handler


def install(
    found: settings.Settings, stream: typing.TextIO | None = None
) -> JsonHandler:
    """Send all records of this process to a new handler, and return it."""
    return push(JsonHandler(found, stream))
