"""Streams whose connection hangs since the path to their server was lost."""

from __future__ import annotations

import asyncio
import unittest.mock

import pytest

from tealcove import ids, stalls
from tealcove.dispatch import pathevidence
from tealcove.ingress import hanging, link

OWN, OTHER, FROZEN = (ids.InstanceId(name) for name in ("own", "other", "frozen"))
S0, S1 = ids.BackendServerId("s0"), ids.BackendServerId("s1")
SILENT = ids.Instant(1.0 + hanging.SILENT_SECONDS)


@pytest.fixture
def streams() -> hanging.HangingStreams:
    """Return a watch that knows that this instance lost its path to one server."""
    evidence = pathevidence.PathEvidence(lambda now: 2)
    evidence.record_lost((OWN,), S0, ids.Instant(1.0))
    evidence.record_reached(OTHER, S0, ids.Instant(1.1), ids.Instant(1.1))
    return hanging.HangingStreams(
        evidence, lambda instance, now: instance != FROZEN, stalls.Stalls()
    )


def stream(
    server: ids.BackendServerId = S0,
    used: ids.InstanceId | None = OWN,
    may_retry: bool = True,
    waits_since: float | None = 1.0,
) -> hanging.OpenStream:
    """Return a stream that uses an instance's connection."""
    outbound = unittest.mock.Mock()
    outbound.server.name = server
    outbound.trace = link.PathTrace([], reached=used)
    found = hanging.OpenStream(outbound, lambda now: may_retry, unittest.mock.Mock())
    found.waits_since = waits_since
    return found


def is_ended(streams: hanging.HangingStreams, found: hanging.OpenStream) -> bool:
    """Return whether a stream is ended by the next check."""
    with streams.watched(found), unittest.mock.patch("asyncio.get_running_loop"):
        streams.end(SILENT)
    return found.limit.reschedule.called


@pytest.mark.parametrize(
    "found", [stream(), stream(server=S1, used=FROZEN)], ids=["no path", "no helper"]
)
def test_a_silent_stream_on_a_lost_path_is_ended(
    streams: hanging.HangingStreams, found: hanging.OpenStream
) -> None:
    """A stream waited for a connection that nothing came through any more."""
    assert is_ended(streams, found)


@pytest.mark.parametrize(
    "found",
    [
        stream(server=S1),
        stream(used=OTHER),
        stream(used=None),
        stream(may_retry=False),
        stream(waits_since=1.1),
        # An event is being written to the caller.
        stream(waits_since=None),
    ],
    ids=["server", "instance", "not known", "no retry", "not silent", "slow caller"],
)
def test_other_streams_go_on(
    streams: hanging.HangingStreams, found: hanging.OpenStream
) -> None:
    """A stream was ended though its path was sound, or though it can't go on."""
    assert not is_ended(streams, found)


def test_no_more_streams_are_ended_than_may_go_on(
    streams: hanging.HangingStreams,
) -> None:
    """Streams were ended for which the retry budget had nothing left."""
    left = [True, False, False]
    both = [stream(), stream()]
    for found in both:
        found.reserve_retry = lambda now: left.pop(0)
    with streams.watched(both[0]):
        is_ended(streams, both[1])
    assert sum(found.limit.reschedule.called for found in both) == 1


def test_a_process_that_stood_still_reads_first(
    streams: hanging.HangingStreams,
) -> None:
    """An instance that had been frozen ended its streams before it read them."""
    streams.stalls.total = 0.5
    assert not is_ended(streams, stream())
    assert is_ended(streams, stream())


async def test_a_stream_that_hangs_is_ended_once(
    streams: hanging.HangingStreams,
) -> None:
    """A stream that had gone on at another server was ended, too."""
    found = stream()
    with streams.watched(found), pytest.raises(TimeoutError):
        async with asyncio.timeout(None) as found.limit:
            streams.end(SILENT)
            assert not streams.open
            await asyncio.Event().wait()
    assert not streams.open
