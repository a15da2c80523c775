"""The figures of the demo, its text and its verdict."""

from __future__ import annotations

import collections

import msgspec
import pytest

from tealcove.demonstration import callers, mix, report, table
from tealcove.demonstration.tests import builders
from tealcove.standins import engine_counts, service

End = callers.End
COUNTS = engine_counts.EngineCounts(
    dispatches={"req-1": 1},
    completed={"req-1": 1},
    prefill_tokens=4000,
    prefill_wasted=500,
    decode_tokens=1200,
)
NOT_RUN = builders.answer(End.NOT_RUN, reason="overload", request_id="req-2")
SENT = [
    builders.sent(builders.answer(first_token=0.25)),
    builders.sent(builders.answer(first_token=0.5), seconds=1.9),
    builders.sent(builders.answer(), seconds=2.1, tier="middle"),
    builders.sent(NOT_RUN, tier="low"),
    builders.sent(NOT_RUN, tier="low"),
    builders.sent(builders.answer(End.INTERRUPTED, reason="preempted"), tier="low"),
    builders.sent(builders.answer(), kind=mix.RequestKind.QUOTE),
]


def test_text(snapshot):
    engines = tuple(report.engine_row(found, COUNTS) for found in mix.ENGINES)
    found = report.Report(
        seed=1,
        arrival_seconds=8.0,
        load=mix.LOAD,
        rows=report.rows(SENT),
        engines=engines,
        wasted_prefill=report.wasted_share(engines),
        faults=report.find_faults(SENT, [COUNTS], service.ServiceCounts()),
    )
    assert not found.faults.any()
    assert table.render(found) == snapshot


def test_mix_is_the_same_for_the_same_seed(snapshot):
    found = mix.requests(1, 8.0)
    assert found == mix.requests(1, 8.0)
    assert found != mix.requests(2, 8.0)
    kinds = (f"{one.tier} {one.kind.value} {one.max_tokens}" for one in found)
    counts = sorted(collections.Counter(kinds).items())
    assert "\n".join(f"{kind}: {count}" for kind, count in counts) == snapshot


@pytest.mark.parametrize(
    ("end", "field"),
    [
        (End.LOST, "lost"),
        (End.MIXED_UP, "mixed_up"),
        (End.UNKNOWN, "unexpected"),
        (End.REJECTED, "unexpected"),
        # An engine has counted a request with this id.
        (End.NOT_RUN, "not_run_but_dispatched"),
    ],
)
def test_bad_ends_are_faults(end, field):
    sent = [builders.sent(builders.answer(end))]
    found = report.find_faults(sent, [COUNTS], service.ServiceCounts())
    assert [msgspec.structs.asdict(found)[field], found.any()] == [1, True]


@pytest.mark.parametrize(
    ("engines", "plain"),
    [
        ([COUNTS, COUNTS], service.ServiceCounts()),
        ([], service.ServiceCounts(dispatches={"req-1": 2})),
        ([], service.ServiceCounts(keys={"key": 2})),
    ],
    ids=["two engines", "same id", "same key"],
)
def test_second_dispatches_are_faults(engines, plain):
    assert report.find_faults([], engines, plain).second_dispatches == 1


def test_call_without_a_request_is_a_fault():
    """Guards against calls to a plain service that no caller has sent.

    The dispatcher polled the service for cache events, which only engines have, since
    it didn't check the kind of servers of the cell.
    """
    plain = service.ServiceCounts(dispatches={"": 3, "req-1": 1})
    found = report.find_faults([], [], plain)
    assert (found.strays, found.second_dispatches) == (3, 0)
