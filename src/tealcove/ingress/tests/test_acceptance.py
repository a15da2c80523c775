"""Tests of the service that a request goes to."""

from __future__ import annotations

import pytest

from tealcove import ids
from tealcove.catalog import declared, lookup
from tealcove.ingress import acceptance, call, tickets
from tealcove.ingress.tests import builders

OTHER = ids.PoolId("others")


def accept(received: call.Call) -> tickets.AcceptedRequest:
    """Accept a request to a route that two services share."""
    shares = (declared.Share(builders.SERVICE, 1.0), declared.Share(OTHER, 1.0))
    route = builders.route(
        shares=shares, is_stream=True, repeat=declared.Repeat.RESUMABLE
    )
    current = lookup.Lookup(builders.catalog(route), ids.Revision(1))
    return acceptance.accept(received, current, ids.Instant(0.0))


@pytest.mark.parametrize("number", range(20))
def test_a_stream_is_resumed_at_the_service_that_began_it(number: int) -> None:
    """Its try has another id, by which the shares would choose another service."""
    begun = accept(builders.received(request_id=ids.RequestId(f"r-{number}")))
    resumed = accept(
        builders.received(
            request_id=ids.RequestId(f"again-{number}"),
            last_event=3,
            resumes=begun.call.request_id,
        )
    )
    assert resumed.service == begun.service


@pytest.mark.parametrize("last_event", [None, 0])
def test_a_stream_without_events_begins_anew(last_event: int | None) -> None:
    found = accept(builders.received(last_event=last_event, resumes="r-0"))
    assert not found.resumes_stream
