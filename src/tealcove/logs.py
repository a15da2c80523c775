"""Logs as JSON lines on standard error."""

from __future__ import annotations

import logging
import sys
import typing

import logbook
import logbook.compat
import msgspec

from tealcove import settings

LEVELS = {
    settings.Level.DEBUG: logbook.DEBUG,
    settings.Level.INFO: logbook.INFO,
    settings.Level.WARNING: logbook.WARNING,
    settings.Level.ERROR: logbook.ERROR,
}
# The keyword under which callers give the request's id: `extra={"request": ...}`.
REQUEST = "request"


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
        self.stream.write(msgspec.json.encode(line).decode() + "\n")
        self.stream.flush()


def install(
    found: settings.Settings, stream: typing.TextIO | None = None
) -> JsonHandler:
    """Send all records of this process to a new handler, and return it.

    The standard library's records come too, since aiohttp writes there; its
    access log stays out, because request paths may hold what callers keep secret.
    """
    handler = JsonHandler(found, stream)
    handler.push_application()
    logbook.compat.redirect_logging()
    logging.getLogger().setLevel(logging.WARNING)
    return handler
