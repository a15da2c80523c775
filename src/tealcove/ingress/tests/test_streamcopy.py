"""Tests of when an exchange lets a stream go on from its copy."""

from __future__ import annotations

import unittest.mock

import pytest
from aiohttp import web

from tealcove import errors, ids
from tealcove.backends import engine
from tealcove.catalog import declared
from tealcove.dispatch import messages, suspicion
from tealcove.dispatch.tests import builders as dispatch_builders
from tealcove.entry import problem
from tealcove.ingress import budget, events, exchange, failures, link, streamcopy
from tealcove.ingress.tests import builders

NOW = ids.Instant(100.0)
FIRST, SECOND = ids.BackendServerId("s0"), ids.BackendServerId("s1")
AMPLE = budget.Allowance(ratio=1.0, slack=10.0, window=10.0)
NONE = budget.Allowance(ratio=0.0, slack=0.0, window=10.0)
BROKEN = failures.broken("the connection was lost")
ONCE = builders.route(repeat=declared.Repeat.ONCE, is_stream=True, attempts=1)


def grant(copy_server: ids.BackendServerId | None = SECOND) -> messages.Grant:
    """Return the grant of the first server."""
    return messages.Grant(
        ticket_id=ids.TicketId("t"),
        cell=ids.CellId("engines/0"),
        server=FIRST,
        host="127.0.0.1",
        port=1,
        copy_server=copy_server,
    )


def crashed(
    allowed: budget.Allowance = AMPLE,
    suspects: suspicion.Suspects = suspicion.NOTHING,
    copy_server: ids.BackendServerId | None = SECOND,
    **changes: object,
) -> exchange.Exchange:
    """Return the exchange of a stream whose server has ended."""
    quarantine = unittest.mock.Mock()
    quarantine.suspects.return_value = suspects
    shared = builders.retry_budget(allowed, lambda now: 1, 0.0)
    services = exchange.Services(None, None, shared, None, None, None, quarantine)
    services.copying.is_enabled = True
    accepted = builders.accepted(**{"route": ONCE, **changes})
    found = builders.running(services, accepted)
    found.copy.record_attempt()
    found.sent = found.runs = 1
    found.copy.record_crash(grant(copy_server))
    return found


def goes_on(
    found: exchange.Exchange,
    server: ids.BackendServerId = FIRST,
    error: errors.BackendError = BROKEN,
) -> bool:
    """Tell whether a request is sent again after an error of a server."""
    try:
        found.check_retry(dispatch_builders.ticket(), server, error, NOW)
    except problem.ProblemError as lost:
        # It has run, whatever the server with the copy has answered.
        assert lost.problem.outcome is problem.Outcome.UNKNOWN
        return False
    return True


def test_a_stream_that_runs_once_goes_on_from_its_copy() -> None:
    found = crashed()
    assert goes_on(found)
    assert (found.copy.server, found.copy.is_wanted) == (SECOND, False)


@pytest.mark.parametrize(
    "changes",
    [
        {"copy_server": None},
        {"allowed": NONE},
        {"suspects": suspicion.Suspects(("part",), must_run_alone=True)},
        {"deadline": ids.Instant(NOW + link.MIN_REMAINING)},
    ],
)
def test_a_stream_is_lost_without_copy_budget_time_or_with_suspicion(
    changes: dict[str, object],
) -> None:
    """Guards against second sendings that load servers, crash them, or gain nothing."""
    assert not goes_on(crashed(**changes))


def test_a_stream_with_events_without_numbers_is_lost() -> None:
    """Guards against events that the caller receives twice."""
    found = crashed()
    found.stream.check([events.Event(b"", 1), events.Event(b"", None)])
    assert not goes_on(found)


@pytest.mark.parametrize(
    "error",
    [
        BROKEN,
        link.NotRunError(SECOND, 503),
        engine.NotDispatchedError("not reached", "Try another one."),
        failures.failed(engine.Server(SECOND, "127.0.0.1", 1), 500),
    ],
)
def test_there_is_no_second_attempt_elsewhere(error: errors.BackendError) -> None:
    """Guards against runs of a request on a third server, and against "not run"."""
    found = crashed()
    assert goes_on(found)
    found.copy.record_attempt()
    # As after a sending; the attempt itself takes back one that wasn't made.
    found.runs += not isinstance(error, engine.NotDispatchedError)
    assert not goes_on(found, SECOND, error)
    assert found.copy.obstacle == str(error)


def test_a_first_server_that_has_run_nothing_is_no_crash() -> None:
    """Guards against streams bound to a copy that was never made."""
    found = crashed(copy_server=None)
    found.runs = 0
    error = engine.NotDispatchedError("not reached", "Try another one.")
    assert goes_on(found, FIRST, error)
    assert (found.copy.server, found.copy.is_wanted) == (None, True)


def test_a_stream_is_counted_once_as_copied() -> None:
    """Guards against more copies than streams, by sendings that weren't made."""
    found = crashed(copy_server=None)
    for _ in range(2):
        found.copy.record_sending(grant())
    assert found.services.copying.copied == 1


def test_events_out_of_order_are_not_counted_as_received() -> None:
    """Guards against a stream that goes on after an event that wasn't passed on."""
    found = crashed()
    found.stream.check([events.Event(b"", 1)])
    with pytest.raises(engine.BrokenStreamError):
        found.stream.check([events.Event(b"", 2), events.Event(b"", 4)])
    assert found.stream.order.last == 1


def test_no_second_head_is_sent_within_a_stream() -> None:
    """Guards against a response that is written into the body of a started one."""
    found = crashed()
    found.stream.response = web.StreamResponse()
    head = link.Head(404, ())
    server = engine.Server(SECOND, "127.0.0.1", 1)
    with pytest.raises(failures.FailedAnswerError):
        found.finish_response(exchange.BufferedResponse(head, b""), server)


@pytest.mark.parametrize(
    ("route", "is_wanted"),
    [
        (ONCE, True),
        (builders.route(repeat=declared.Repeat.RESUMABLE, is_stream=True), False),
        (builders.route(repeat=declared.Repeat.ONCE, is_stream=False), False),
    ],
)
def test_copies_are_wanted_of_streams_that_run_once(
    route: declared.Route, is_wanted: bool
) -> None:
    on, off = streamcopy.Copying(is_enabled=True), streamcopy.Copying()
    assert streamcopy.StreamCopy(on, route).is_wanted is is_wanted
    assert not streamcopy.StreamCopy(off, route).is_wanted
