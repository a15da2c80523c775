"""What backend servers state in the headers of their answers."""

from __future__ import annotations

import unittest.mock

import multidict
import pytest

from tealcove import count
from tealcove.dispatch import statements
from tealcove.platform import answers, names


def response(status: int, *headers: tuple[str, str]) -> unittest.mock.Mock:
    """Return a response with these header lines."""
    found = multidict.CIMultiDict(headers)
    return unittest.mock.Mock(ok=status < 400, status=status, headers=found)


@pytest.mark.parametrize(
    ("written", "rate"),
    [
        ("1.7", 1.7),
        ("3", 3.0),
        ("0", 0.0),
        ("", None),
        ("soon", None),
        ("-1", None),
        ("nan", None),
        ("inf", None),
    ],
)
def test_only_a_readable_limit_counts(written: str, rate: float | None) -> None:
    """A garbled header would stop a server."""
    assert count.read_number(written) == rate


@pytest.mark.parametrize(
    ("status", "headers", "stated"),
    [
        (200, {}, statements.RequestLimit(None)),
        (200, {names.REQUEST_LIMIT: "2.3"}, statements.RequestLimit(2.3)),
        (200, {names.REQUEST_LIMIT: "soon"}, None),
        (500, {}, None),
        (500, {names.REQUEST_LIMIT: "2.3"}, statements.RequestLimit(2.3)),
    ],
)
def test_only_a_success_without_the_header_ends_a_limit(
    status: int, headers: dict[str, str], stated: statements.RequestLimit | None
) -> None:
    """Each error of a server in need lifted its limit until the next answer."""
    found = response(status, *headers.items())
    assert answers.statement_of(found).limit == stated


@pytest.mark.parametrize(
    ("written", "is_leaving"),
    [
        ((), False),
        (("1",), True),
        ((" 1 ",), True),
        (("0", "1"), True),
        (("0",), False),
        (("",), False),
        (("true",), False),
        (("-1",), False),
    ],
)
@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_answers_of_any_status_may_say_that_the_server_leaves(
    status: int, written: tuple[str, ...], is_leaving: bool
) -> None:
    """A garbled header would take a server out of service for good."""
    found = response(status, *((names.LEAVING, value) for value in written))
    assert answers.statement_of(found).is_leaving is is_leaving


@pytest.mark.parametrize(
    ("written", "seconds"),
    [
        ((), 0.0),
        (("3",), 3.0),
        (("0.25",), 0.25),
        (("0",), 0.0),
        (("-3",), 0.0),
        (("nan",), 0.0),
        (("inf",), 0.0),
        (("soon",), 0.0),
        (("",), 0.0),
        (("Wed, 21 Oct 2026 07:28:00 GMT",), 0.0),
        (("1", "4", "2"), 4.0),
        (("1, 4",), 4.0),
        (("soon", "2"), 2.0),
        (("99999999999",), answers.MAX_REST_SECONDS),
    ],
)
def test_only_a_readable_rest_counts(written: tuple[str, ...], seconds: float) -> None:
    """A garbled header would stop a server, or fail the request."""
    found = response(503, *((names.RETRY_AFTER, value) for value in written))
    assert answers.statement_of(found).rest == seconds


@pytest.mark.parametrize("status", [200, 429, 500, 502])
def test_only_a_rejection_asks_for_rest(status: int) -> None:
    """A caller's own failure would take a server from all other callers."""
    found = response(status, (names.RETRY_AFTER, "3"))
    assert answers.statement_of(found).rest == 0.0


@pytest.mark.parametrize(
    ("status", "headers", "stated"),
    [
        (200, {}, statements.RejectionLimit(None)),
        (200, {names.BRITTLE: "4"}, statements.RejectionLimit(4.0)),
        (200, {names.BRITTLE: "-1"}, None),
        (503, {}, None),
        (503, {names.BRITTLE: "0"}, statements.RejectionLimit(0.0)),
    ],
)
def test_only_a_success_without_the_header_ends_brittleness(
    status: int, headers: dict[str, str], stated: statements.RejectionLimit | None
) -> None:
    """A brittle server counted as sound after any error without the header."""
    found = response(status, *headers.items())
    assert answers.statement_of(found).rejections == stated
