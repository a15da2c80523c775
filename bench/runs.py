"""The parameters and the result of a load run."""

from __future__ import annotations

import enum

import msgspec

from bench import plans, score


class Scenario(enum.Enum):
    """The fault that is injected during a run."""

    NONE = "none"
    BURST = "burst"
    STRAGGLER = "straggler"
    ENGINE_CRASH = "engine crash"
    PLATFORM_OUTAGE = "platform outage"
    ENTRY_KILLED = "entry killed"
    # Unlike requests whose prompts begin with the same bad block crash engines.
    CRASHING_PART = "crashing part"
    # One of several equal accounts sends many times its usual demand.
    COMPETING_ACCOUNTS = "competing accounts"
    # Engines of unlike speed, some of which are slowed down in turn.
    UNEVEN_SERVERS = "uneven servers"


# Scenarios whose results have figures by account.
BY_ACCOUNT = (Scenario.COMPETING_ACCOUNTS, Scenario.UNEVEN_SERVERS)


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """The parameters of a run."""

    plan: str
    policy: str
    load: float
    seed: int
    seconds: float
    scenario: Scenario = Scenario.NONE
    # Only the highest tier sends anything.
    alone: bool = False
    # Overrides the plan's share of slots reserved for short requests.
    short_share: float | None = None

    def deployed_plan(self) -> plans.Plan:
        """Return the plan as the scenario changes it."""
        plan = plans.PLANS[self.plan]
        if self.scenario is Scenario.COMPETING_ACCOUNTS:
            return plans.with_equal_accounts(plan)
        if self.scenario is Scenario.UNEVEN_SERVERS:
            return plans.with_uneven_engines(plan)
        return plan


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a run; shares are fractions of 1, times are in seconds."""

    run: Run
    goodput: dict[str, score.Share]
    goodput_by_length: dict[str, score.Share]
    ends: dict[str, dict[str, int]]
    # Good work in the window and its bound, as multiples of the capacity.
    work: float
    bound: float
    prefill_tokens: int
    prefill_wasted: int
    second_dispatches: int
    # Requests whose callers got no final answer.
    unanswered: int
    wrong: int
    sent_again: int
    # Calls of the plain service; older results have none.
    calls: score.Share = score.Share(0, 0)
    call_ends: dict[str, int] = msgspec.field(default_factory=dict)
    latency: dict[str, list[float]]
    # From the decision to refuse or preempt a request to its answer: p50, p95, worst.
    refusal: list[float]
    refusals: int
    # p99 of the sending delay. With a high one, the tool measures its own load.
    lag: float
    # Cores used, by kind of process.
    cores: dict[str, float]
    # Share of the engines' slots that was occupied while requests were sent.
    busy: float = 0.0
    # Share of the machine's cores that was busy, including other programs.
    machine: float = 0.0
    # Mean microseconds of a scheduler call.
    scheduler_call: float
    complaints: list[str]
    # Engines that crashed.
    crashes: int = 0
    # By account, in the scenarios of BY_ACCOUNT only; the last one counts the requests
    # that were sent during the flood, in the scenario that has one.
    goodput_by_account: dict[str, score.Share] | msgspec.UnsetType = msgspec.UNSET
    ends_by_account: dict[str, dict[str, int]] | msgspec.UnsetType = msgspec.UNSET
    goodput_in_flood: dict[str, score.Share] | msgspec.UnsetType = msgspec.UNSET
