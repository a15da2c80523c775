"""Computes a run's result from the callers' outcomes and the processes' counts."""

from __future__ import annotations

import msgspec

from bench import callers, engine, faults, plans, runs, score, tap, usage


class Observations(msgspec.Struct, kw_only=True):
    """What was recorded during a run."""

    run: runs.Run
    plan: plans.Plan
    sent: list[callers.SentRequest]
    # Calls of the plain service.
    sent_calls: list[callers.SentRequest]
    # How often each call arrived, for each plain service.
    call_counts: list[dict[str, int]]
    engine_counts: list[engine.Counts]
    records: list[tap.Record]
    used: usage.Usage
    complaints: list[str]
    crashes: int


def evaluate(observed: Observations) -> runs.Result:
    """Return the result of a run."""
    run, plan, sent = observed.run, observed.plan, observed.sent
    window = score.Window(min(faults.FAULT_START, run.seconds / 3), run.seconds)
    work, bound = score.work_and_bound(plan, sent, window)
    refusals = refusal_times(observed.records, sent)
    tiers = sorted({s.tier for s in sent}, key=plan.tiers.index)
    by_tier = {t: [s for s in sent if s.tier == t] for t in tiers}
    lengths = {n: [s for s in sent if s.length is n] for n in plan.shapes}
    all_sent = [*sent, *observed.sent_calls]
    counts = observed.engine_counts
    prompts = [selected.prompts for selected in counts]
    result = runs.Result(
        run=run,
        goodput={t: score.goodput(selected) for t, selected in by_tier.items()},
        goodput_by_length={n.value: score.goodput(f) for n, f in lengths.items()},
        ends={t: score.outcome_counts(selected) for t, selected in by_tier.items()},
        work=work,
        bound=bound,
        prefill_tokens=sum(c.prefill_tokens for c in counts),
        prefill_wasted=sum(c.prefill_wasted for c in counts),
        second_dispatches=count_repeats(prompts) + count_repeats(observed.call_counts),
        unanswered=sum(
            s.outcome in (callers.Outcome.TIMED_OUT, callers.Outcome.DISCONNECTED)
            for s in all_sent
        ),
        wrong=sum(s.outcome is callers.Outcome.WRONG for s in all_sent),
        sent_again=sum(s.attempts > 1 for s in all_sent),
        calls=score.goodput(observed.sent_calls),
        call_ends=score.outcome_counts(observed.sent_calls),
        latency={n.value: latency(selected) for n, selected in lengths.items()},
        refusal=quantiles(refusals),
        refusals=len(refusals),
        lag=score.percentile((s.lag for s in sent), 99),
        cores=observed.used.cores,
        machine=observed.used.machine,
        busy=observed.used.busy,
        scheduler_call=scheduler_call_microseconds(observed.records),
        complaints=observed.complaints[:20],
        crashes=observed.crashes,
    )
    return with_accounts(result, plan, sent)


def with_accounts(
    result: runs.Result, plan: plans.Plan, sent: list[callers.SentRequest]
) -> runs.Result:
    """Return the result with figures by account in scenarios that compare accounts."""
    run = result.run
    if run.scenario not in runs.BY_ACCOUNT:
        return result
    own = {a.name: [s for s in sent if s.account == a.name] for a in plan.accounts}
    result = msgspec.structs.replace(
        result,
        goodput_by_account={name: score.goodput(own[name]) for name in own},
        ends_by_account={name: score.outcome_counts(own[name]) for name in own},
    )
    if run.scenario is not runs.Scenario.COMPETING_ACCOUNTS:
        return result
    flood = faults.flood(run)
    window = score.Window(flood.start, flood.stop)
    in_flood = {
        name: score.goodput(s for s in own[name] if window.contains(s.at))
        for name in own
    }
    return msgspec.structs.replace(result, goodput_in_flood=in_flood)


def refusal_times(
    records: list[tap.Record], sent: list[callers.SentRequest]
) -> list[float]:
    """Return the seconds from each refusal or preemption to its answer."""
    decided = {
        record.request: record.at
        for record in records
        if isinstance(record, tap.Decision)
    }
    ended = (callers.Outcome.NOT_RUN, callers.Outcome.INTERRUPTED)
    return [
        s.answered - decided[s.request_id]
        for s in sent
        if s.request_id in decided and s.outcome in ended
    ]


def count_repeats(counts: list[dict[str, int]]) -> int:
    """Return the number of repeated arrivals, at the same server or another."""
    seen: dict[str, int] = {}
    for server_counts in counts:
        for name, times in server_counts.items():
            seen[name] = seen.get(name, 0) + times
    return sum(times - 1 for times in seen.values())


def latency(sent: list[callers.SentRequest]) -> list[float]:
    """Return p50 and p95 of the completed requests' times, or an empty list."""
    times = [s.seconds for s in sent if s.outcome is callers.Outcome.COMPLETED]
    return [score.percentile(times, percent) for percent in (50, 95) if times]


def quantiles(values: list[float]) -> list[float]:
    """Return p50, p95 and the maximum, or an empty list."""
    return [score.percentile(values, percent) for percent in (50, 95, 100) if values]


def scheduler_call_microseconds(records: list[tap.Record]) -> float:
    """Return the mean microseconds of a scheduler call."""
    costs = [record for record in records if isinstance(record, tap.Cost)]
    if not costs:
        return 0.0
    last = max(costs, key=lambda cost: cost.calls)
    return last.seconds / max(1, last.calls) * 1e6
