"""Renders the report of the demo as text."""

from __future__ import annotations

from tealcove.commands import output
from tealcove.demonstration import report

NOTHING = "-"
GOOD = "Every request got one final answer; none was lost, doubled or mixed up."
BAD = "Something happened that must not: see the counts above."
HEADING = (
    "tier",
    "sent",
    "whole, in time",
    "late",
    "shed",
    "first token p50",
    "p95",
    "shed because",
)
ENGINE_HEADING = (
    "engine",
    "generation",
    "speed",
    "slots",
    "requests",
    "completed",
    "prompt tokens",
    "thrown away",
    "output tokens",
)


def render(found: report.Report) -> str:
    """Return the whole report."""
    requests = [HEADING, *(cells(row) for row in found.rows)]
    engines = [ENGINE_HEADING, *(engine_cells(one) for one in found.engines)]
    return "\n\n".join(
        (introduction(found), output.table(requests), output.table(engines), end(found))
    )


def introduction(found: report.Report) -> str:
    """Return the introductory sentence."""
    return (
        f"Requests for {found.arrival_seconds:g} s at {found.load:g} times what the "
        f"engines can do at best (seed {found.seed}):"
    )


def cells(row: report.Row) -> tuple[object, ...]:
    """Return the cells of a row of requests."""
    return (
        row.name,
        row.sent,
        f"{row.whole_in_time} ({percent(row.whole_in_time, row.sent)})",
        row.whole_late,
        sum(row.shed.values()),
        seconds(row.first_token_p50),
        seconds(row.first_token_p95),
        ", ".join(f"{reason} {count}" for reason, count in row.shed.items()) or NOTHING,
    )


def engine_cells(one: report.EngineRow) -> tuple[object, ...]:
    """Return the cells of an engine."""
    return (
        one.name,
        one.generation,
        f"{one.speed:.2f}",
        one.slots,
        one.requests,
        one.completed,
        one.prefill_tokens,
        one.prefill_wasted,
        one.decode_tokens,
    )


def end(found: report.Report) -> str:
    """Return the figures of the whole run and the verdict."""
    faults = found.faults
    lines = [
        f"wasted prefill: {found.wasted_prefill:.1%} of the prompt tokens computed",
        f"second dispatches: {faults.second_dispatches}",
        f"answers lost: {faults.lost}, mixed up: {faults.mixed_up}, "
        f"told not run but dispatched: {faults.not_run_but_dispatched}, "
        f"unexpected: {faults.unexpected}, calls nobody sent: {faults.strays}",
        BAD if faults.any() else GOOD,
    ]
    return "\n".join(lines)


def percent(part: int, whole: int) -> str:
    """Format a share as a percentage."""
    return NOTHING if whole == 0 else f"{part / whole:.0%}"


def seconds(value: float | None) -> str:
    """Format a time in seconds."""
    return NOTHING if value is None else f"{value:.2f} s"
