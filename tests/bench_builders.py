"""Builds test data for the tests of the benchmarks."""

from bench import callers, evaluation, plans, runs, usage

SHAPES = plans.shapes(short=(40, 4, 1.5), shared=32, long_deadline=8.0)


def sent(
    at: float = 0.0,
    seconds: float = 1.0,
    length: plans.Length = plans.Length.SHORT,
    outcome: callers.Outcome = callers.Outcome.COMPLETED,
    account: str = "a",
    tier: str = "line",
) -> callers.SentRequest:
    return callers.SentRequest(
        key="k",
        account=account,
        tier=tier,
        length=length,
        at=at,
        deadline=SHAPES[length].deadline,
        seconds=seconds,
        lag=0.0,
        outcome=outcome,
    )


def sent_by(account: str, good: int, refused: int) -> list[callers.SentRequest]:
    """Return an account's requests, all sent during the flood."""
    tier = account.partition("-")[0]
    served = sent(at=5.0, account=account, tier=tier)
    not_run = sent(at=5.0, account=account, tier=tier, outcome=callers.Outcome.NOT_RUN)
    return [served] * good + [not_run] * refused


def run(scenario: runs.Scenario) -> runs.Run:
    return runs.Run(
        plan=plans.ETIQUETTE_ARMOR.name,
        policy="tealcove",
        load=1.0,
        seed=1,
        seconds=14.0,
        scenario=scenario,
    )


def result(
    scenario: runs.Scenario, sent_requests: list[callers.SentRequest]
) -> runs.Result:
    """Return the result of a run in which these requests were sent."""
    observed = evaluation.Observations(
        run=run(scenario),
        plan=run(scenario).deployed_plan(),
        sent=sent_requests,
        sent_calls=[],
        call_counts=[],
        engine_counts=[],
        records=[],
        used=usage.Usage(cores={}, machine=0.0, busy=0.0),
        complaints=[],
        crashes=0,
    )
    return evaluation.evaluate(observed)
