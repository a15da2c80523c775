"""Sends calls to backend servers directly, or through an instance that reaches them."""

from __future__ import annotations

import abc
import contextlib
from collections.abc import AsyncGenerator, Callable, Iterator, Mapping

import logbook

from tealcove import clock, errors, ids
from tealcove.backends import engine
from tealcove.dispatch import pathevidence
from tealcove.ingress import link
from tealcove.relay import helpers, raw, wire

log = logbook.Logger("relay")

# Seconds between two requests by which an instance that is cut off from the servers
# finds out whether its paths are back; each may lose a connect timeout.
PROBE_INTERVAL = 1.0
# Seconds for which an attempt looks for a way to its server: three connect timeouts.
SEARCH_SECONDS = 0.75


class DeclinedError(engine.NotDispatchedError):
    """A helper answered that it sent nothing to the server."""

    def __init__(self, helper: helpers.Helper, result: wire.Result) -> None:
        super().__init__(
            f"{helper.instance} sent nothing: {result.value}", "Use another instance."
        )
        self.result = result


class Backends(raw.RawLink):
    """Sends calls to servers, or to a helper with an order for a server."""

    @abc.abstractmethod
    def send(
        self,
        outbound: link.OutboundRequest,
        helper: helpers.Helper | None,
        dispatched: Callable[[], None],
    ) -> AsyncGenerator[link.Head | bytes, None]:
        """Send a call directly, or through a helper; see link.BackendLink.send.

        Raises DeclinedError if the helper sent nothing, also after `dispatched`.
        """

    @abc.abstractmethod
    async def check(self, helper: helpers.Helper, order: wire.Order) -> wire.Result:
        """Let a helper check a server; raises BackendError."""


class PathFinder(link.BackendLink):
    """Uses this instance's own path to a server, or else one of another instance."""

    def __init__(
        self,
        backends: Backends,
        own: ids.InstanceId,
        found: helpers.Helpers,
        evidence: pathevidence.PathEvidence,
    ) -> None:
        self.backends = backends
        self.own = own
        self.helpers = found
        self.paths = evidence
        self.next_probe = pathevidence.NEVER
        # Count of calls that were answered through other instances.
        self.relayed = 0

    async def send(
        self, outbound: link.OutboundRequest, dispatched: Callable[[], None]
    ) -> AsyncGenerator[link.Head | bytes, None]:
        """See BackendLink."""
        began = clock.now()
        failure: engine.NotDispatchedError | None = None
        for helper in self.ways(outbound, began):
            if failure is not None and self.is_too_late(outbound, began, clock.now()):
                break
            try:
                parts = self.send_by(helper, outbound, dispatched)
                async with contextlib.aclosing(parts):
                    async for part in parts:
                        yield part
                return
            except engine.NotDispatchedError as error:
                self.record_failure(helper, outbound, error, clock.now())
                failure = error
        raise failure

    def is_too_late(
        self, outbound: link.OutboundRequest, began: ids.Instant, now: ids.Instant
    ) -> bool:
        """Tell whether an attempt shouldn't try another way to its server."""
        return now - began >= SEARCH_SECONDS or outbound.is_over(now)

    def ways(
        self, outbound: link.OutboundRequest, now: ids.Instant
    ) -> Iterator[helpers.Helper | None]:
        """Yield the ways to a server, the first to try first; None is the direct one.

        Helpers are chosen only when they are needed, since that looks at all members.
        The direct way comes last if it's lost: if nobody is known to reach the server,
        its slot was granted to find out whether it is back.
        """
        server = outbound.server.name
        is_direct = self.is_direct(server, now)
        if is_direct:
            yield None
        else:
            outbound.trace.lost.append(self.own)
        yield from self.helpers.choose(server, clock.now())
        if not is_direct:
            yield None

    def is_direct(self, server: ids.BackendServerId, now: ids.Instant) -> bool:
        """Tell whether this instance should try its own path to a server."""
        if not self.paths.is_lost(self.own, server, now):
            return True
        if now < self.next_probe or not self.paths.is_cut_off(self.own, now):
            return False
        self.next_probe = ids.Instant(now + PROBE_INTERVAL)
        return True

    async def send_by(
        self,
        helper: helpers.Helper | None,
        outbound: link.OutboundRequest,
        dispatched: Callable[[], None],
    ) -> AsyncGenerator[link.Head | bytes, None]:
        """Send a call by one way, and record that it leads to the server."""
        connected_at = clock.now()

        def connected() -> None:
            nonlocal connected_at
            connected_at = clock.now()
            if helper is None:
                self.record_reached(self.own, outbound, connected_at)
            dispatched()

        parts = self.backends.send(outbound, helper, connected)
        try:
            async with contextlib.aclosing(parts):
                async for part in parts:
                    if isinstance(part, link.Head):
                        self.record_answer(helper, outbound, connected_at)
                    yield part
        except link.NotRunError:
            self.record_answer(helper, outbound, connected_at)
            raise

    def record_reached(
        self,
        instance: ids.InstanceId,
        outbound: link.OutboundRequest,
        at: ids.Instant,
    ) -> None:
        """Record which instance's path leads to a call's server."""
        outbound.trace.reached = instance
        outbound.trace.reached_at = at
        self.paths.record_reached(instance, outbound.server.name, at, clock.now())

    def record_answer(
        self,
        helper: helpers.Helper | None,
        outbound: link.OutboundRequest,
        at: ids.Instant,
    ) -> None:
        """Record that a server answers; a direct way was recorded when it was used."""
        if helper is None:
            return
        self.relayed += 1
        log.info(
            "sent to {} through {}",
            outbound.server.name,
            helper.instance,
            extra={"request": outbound.call.request_id},
        )
        self.record_reached(helper.instance, outbound, at)

    def record_failure(
        self,
        helper: helpers.Helper | None,
        outbound: link.OutboundRequest,
        error: engine.NotDispatchedError,
        now: ids.Instant,
    ) -> None:
        """Record that a call couldn't be sent by a way."""
        server = outbound.server.name
        log.info(
            "{} not reached by {}: {}",
            server,
            self.own if helper is None else helper.instance,
            error,
            extra={"request": outbound.call.request_id},
        )
        if helper is None:
            lost = self.own
        elif isinstance(error, DeclinedError) and not is_declined(error):
            lost = helper.instance
        else:
            # Neither says anything of the helper's path: it wasn't reached, or it
            # declined.
            return
        if lost not in outbound.trace.lost:
            outbound.trace.lost.append(lost)
        self.paths.record_lost((lost,), server, now)

    async def refuses_connections(self, outbound: link.OutboundRequest) -> bool:
        """See BackendLink; a helper confirms that not only this path is lost."""
        if not await self.backends.is_refused(outbound.server):
            return False
        server = outbound.server.name
        remaining = outbound.remaining(clock.now())
        order = wire.Order(outbound.grant, remaining, is_check=True)
        for helper in self.helpers.choose(server, clock.now()):
            try:
                result = await self.backends.check(helper, order)
            except errors.BackendError:
                continue
            if result is wire.Result.REACHED:
                self.record_other_path(helper, outbound, clock.now())
                return False
            if result is wire.Result.UNREACHABLE:
                return True
        return not self.paths.is_lost(self.own, server, clock.now())

    async def is_replaced(self, outbound: link.OutboundRequest) -> bool:
        """See BackendLink."""
        return await self.backends.is_replaced(outbound.server)

    def record_other_path(
        self,
        helper: helpers.Helper,
        outbound: link.OutboundRequest,
        now: ids.Instant,
    ) -> None:
        """Record that a helper reaches a server that this instance doesn't."""
        outbound.trace.lost.append(self.own)
        self.paths.record_lost((self.own,), outbound.server.name, now)
        self.record_reached(helper.instance, outbound, now)


def is_declined(error: engine.NotDispatchedError) -> bool:
    """Tell whether a helper answered that it didn't even try to reach the server."""
    return isinstance(error, DeclinedError) and error.result is wire.Result.DECLINED


def check_result(helper: helpers.Helper | None, headers: Mapping[str, str]) -> None:
    """Raise DeclinedError if a helper answered itself."""
    result = wire.result_of(headers)
    if helper is not None and result is not None:
        raise DeclinedError(helper, result)
