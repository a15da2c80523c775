"""Logs as JSON lines on standard error, or rate-limited on standard output."""

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
# Key of the request's id in a record: `extra={"request": ...}`.
REQUEST = "request"
# Marks a record that says why a request failed: `extra={..., "final": True}`.
FINAL = "final"


class Line(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of the log."""

    # ISO 8601 in UTC, for information only.
    time: str
    level: str
    # The component that wrote the line.
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
        """Accept records of at least the level, and all in `log.debug`."""
        return record.level >= self.lowest or record.channel in self.debug

    def emit(self, record: logbook.LogRecord) -> None:
        """Write the line."""
        self.stream.write(self.encode(record).decode() + "\n")
        self.stream.flush()

    def encode(self, record: logbook.LogRecord) -> bytes:
        """Return the line without its line end."""
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
        try:
            return msgspec.json.encode(line)
        except UnicodeEncodeError:
            return msgspec.json.encode(escaped(line))


def escaped(line: Line) -> Line:
    """Return a line whose text is valid, as that of a caller's header may not be."""
    found = {
        name: value.encode(errors="backslashreplace").decode()
        for name, value in msgspec.structs.asdict(line).items()
        if value is not None
    }
    return Line(**found)


class RateLimitedHandler(JsonHandler):
    """Limits the lines written a second, and never blocks on a slow reader.

    Dropped lines are counted: `dropped` is exposed as a metric, and the next line
    written says how many were dropped before it.
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
        """Return the number of lines dropped since the start."""
        return self.limit.dropped

    def emit(self, record: logbook.LogRecord) -> None:
        """Write the line unless the limit is exceeded."""
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
    """Return the weight that decides up to which limit a record is written."""
    if record.extra[FINAL]:
        return linelimit.Weight.FINAL
    if record.level >= logbook.WARNING:
        return linelimit.Weight.WARNING
    return linelimit.Weight.PLAIN


def install_rate_limited(
    found: settings.Settings, max_per_second: int
) -> RateLimitedHandler:
    """Send all records to a rate-limited handler on standard output; return it."""
    handler = RateLimitedHandler(found, sys.stdout.fileno(), max_per_second)
    return push(handler)


H = typing.TypeVar("H", bound=logbook.Handler)


def push(handler: H) -> H:
    """Send all records of this process to a handler, and return it.

    Records of the standard library's `logging` are included, since aiohttp uses it, but
    not its access log, because request paths may contain secrets of callers.
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
