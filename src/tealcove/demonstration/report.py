"""The report of the demo, from results of callers and counts of engines."""

from __future__ import annotations

import collections
import math
import typing

import msgspec

from tealcove.demonstration import callers, mix
from tealcove.standins import engine_counts, service

PLAIN_SERVICE = "plain service"
NO_ID = ""


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """The figures of one tier's engine requests, or of the plain service's calls."""

    name: str
    sent: int
    whole_in_time: int
    whole_late: int
    # Requests without a result, by end and reason.
    shed: dict[str, int]
    # Seconds from sending to the first token of streamed answers.
    first_token_p50: float | None
    first_token_p95: float | None


class EngineRow(msgspec.Struct, frozen=True, kw_only=True):
    """The counts of one engine; tokens are those that it computed."""

    name: str
    generation: str
    # Relative to the fastest engine.
    speed: float
    slots: int
    requests: int
    completed: int
    prefill_tokens: int
    prefill_wasted: int
    decode_tokens: int


class Faults(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of violations; all 0 in a good run."""

    # Requests without a final answer.
    lost: int
    # Answers to another request, or fragments presented as complete.
    mixed_up: int
    # Dispatches of a request beyond its first, over all backend servers.
    second_dispatches: int
    # Requests answered with `not_run` that a backend server has received.
    not_run_but_dispatched: int
    # Valid requests that were rejected, and unknown ends with all servers alive.
    unexpected: int
    # Calls without a request id at the plain service, which no caller has sent.
    strays: int

    def any(self) -> bool:
        """Tell whether there was any violation."""
        return any(msgspec.structs.astuple(self))


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """All figures of a run; times are in seconds."""

    seed: int
    arrival_seconds: float
    # Arrival rate of engine requests, as a multiple of the engines' maximum capacity.
    load: float
    rows: tuple[Row, ...]
    engines: tuple[EngineRow, ...]
    # Share of all computed prompt tokens that was wasted.
    wasted_prefill: float
    faults: Faults


UNEXPECTED = (callers.End.REJECTED, callers.End.UNKNOWN)


def rows(sent: list[callers.CallResult]) -> tuple[Row, ...]:
    """Return a row per tier, the highest first, and one for the plain service."""
    by_name: dict[str, list[callers.CallResult]] = {name: [] for name in mix.TIERS}
    by_name[PLAIN_SERVICE] = []
    for one in sent:
        for_engine = one.request.for_engine
        by_name[one.request.tier if for_engine else PLAIN_SERVICE].append(one)
    return tuple(row(name, group) for name, group in by_name.items())


def row(name: str, sent: list[callers.CallResult]) -> Row:
    """Return the row of a group of requests."""
    whole = [one for one in sent if one.answer.end is callers.End.WHOLE]
    in_time = [one for one in whole if one.in_time]
    without_result = [one for one in sent if one.answer.end is not callers.End.WHOLE]
    first = [one.answer.first_token for one in whole if one.answer.first_token]
    return Row(
        name=name,
        sent=len(sent),
        whole_in_time=len(in_time),
        whole_late=len(whole) - len(in_time),
        shed=dict(
            collections.Counter(reason_of(one) for one in without_result).most_common()
        ),
        first_token_p50=percentile(first, 0.5),
        first_token_p95=percentile(first, 0.95),
    )


def reason_of(one: callers.CallResult) -> str:
    """Return the end and reason of a request without a result."""
    answer = one.answer
    return f"{answer.end.value}: {answer.reason}" if answer.reason else answer.end.value


def percentile(values: typing.Iterable[float], share: float) -> float | None:
    """Return the least value that is greater than or equal to a share of all."""
    ordered = sorted(values)
    if not ordered:
        return None
    return ordered[math.ceil(share * len(ordered)) - 1]


def engine_row(found: mix.Engine, counts: engine_counts.EngineCounts) -> EngineRow:
    """Return the row of an engine."""
    return EngineRow(
        name=found.name,
        generation=found.generation,
        speed=found.speed,
        slots=found.slots,
        requests=sum(counts.dispatches.values()),
        completed=len(counts.completed),
        prefill_tokens=counts.prefill_tokens,
        prefill_wasted=counts.prefill_wasted,
        decode_tokens=counts.decode_tokens,
    )


def wasted_share(engines: typing.Iterable[EngineRow]) -> float:
    """Return the share of the computed prompt tokens that was wasted."""
    engines = tuple(engines)
    computed = sum(one.prefill_tokens for one in engines)
    return sum(one.prefill_wasted for one in engines) / max(1, computed)


def find_faults(
    sent: list[callers.CallResult],
    engines: typing.Iterable[engine_counts.EngineCounts],
    plain: service.ServiceCounts,
) -> Faults:
    """Compare the results of callers with the counts of backend servers."""
    dispatches: collections.Counter[str] = collections.Counter()
    for counts in (plain, *engines):
        dispatches.update(counts.dispatches)
    strays = dispatches.pop(NO_ID, 0)
    ends = collections.Counter(one.answer.end for one in sent)
    not_run = [one for one in sent if one.answer.end is callers.End.NOT_RUN]
    repeated_keys = sum(count - 1 for count in plain.keys.values())
    repeated_ids = sum(count - 1 for count in dispatches.values())
    return Faults(
        lost=ends[callers.End.LOST],
        mixed_up=ends[callers.End.MIXED_UP],
        second_dispatches=max(repeated_ids, repeated_keys),
        not_run_but_dispatched=sum(
            one.answer.request_id in dispatches for one in not_run
        ),
        unexpected=sum(ends[end] for end in UNEXPECTED),
        strays=strays,
    )
