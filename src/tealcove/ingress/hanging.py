"""Streams whose connection hangs since the path to their server was lost."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterator

import logbook

from tealcove import ids, stalls
from tealcove.dispatch import pathevidence
from tealcove.ingress import link

log = logbook.Logger("ingress")

# Seconds without an event after which a stream hangs, if its path is lost. Connections
# may live on after the path for new ones is lost.
SILENT_SECONDS = 0.5
# Seconds between two checks for which this process may stand still.
MAX_STALL_SECONDS = 0.2


class OpenStream:
    """One attempt to stream, from its first event on."""

    def __init__(
        self,
        outbound: link.OutboundRequest,
        reserve_retry: Callable[[ids.Instant], bool],
        limit: stalls.Timeout,
    ) -> None:
        self.outbound = outbound
        # Reserves a retry; returns False if the request may not be sent again.
        self.reserve_retry = reserve_retry
        # Ends the attempt.
        self.limit = limit
        # Since when it waits for its server; None while its caller is written to.
        self.waits_since: ids.Instant | None = None

    def is_silent(self, now: ids.Instant) -> bool:
        """Tell whether its server has sent no event for longer than usual."""
        return self.waits_since is not None and (
            now - self.waits_since >= SILENT_SECONDS
        )


class HangingStreams:
    """Ends streams that hang, so that they go on at another server or another way.

    Without it, their callers would wait until the connection is given up, and their
    slots be held, though their servers may have ended long ago.
    """

    def __init__(
        self,
        evidence: pathevidence.PathEvidence,
        is_heard: Callable[[ids.InstanceId, ids.Instant], bool],
        own_stalls: stalls.Stalls,
    ) -> None:
        self.paths = evidence
        self.stalls = own_stalls
        # Tells whether an instance was heard of lately.
        self.is_heard = is_heard
        self.open: set[OpenStream] = set()
        # The seconds for which this process had stood still at the last check.
        self.stalled = 0.0

    @contextlib.contextmanager
    def watched(self, stream: OpenStream) -> Iterator[None]:
        """Watch a stream while the context is active."""
        self.open.add(stream)
        try:
            yield
        finally:
            self.open.discard(stream)

    def is_path_lost(self, outbound: link.OutboundRequest, now: ids.Instant) -> bool:
        """Tell whether the instance that reached the server can't do so any more."""
        used = outbound.trace.reached
        if used is None:
            return False
        is_lost = self.paths.is_shown_lost(used, outbound.server.name, now)
        return is_lost or not self.is_heard(used, now)

    def end(self, now: ids.Instant) -> None:
        """End all streams that hang."""
        stalled = self.stalls.stalled_seconds(now)
        has_stood_still = stalled - self.stalled > MAX_STALL_SECONDS
        self.stalled = stalled
        if has_stood_still:
            # What has arrived meanwhile wasn't read yet.
            return
        for stream in list(self.open):
            if (
                stream.is_silent(now)
                and self.is_path_lost(stream.outbound, now)
                and stream.reserve_retry(now)
            ):
                self.end_stream(stream)

    def end_stream(self, stream: OpenStream) -> None:
        """End a stream's attempt, which raises TimeoutError there."""
        log.info(
            "stream from {} hangs: its path is lost",
            stream.outbound.server.name,
            extra={"request": stream.outbound.call.request_id},
        )
        self.open.discard(stream)
        stream.limit.reschedule(asyncio.get_running_loop().time())
