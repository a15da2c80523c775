"""Generates a run's requests deterministically from its plan, load and seed."""

from __future__ import annotations

import hashlib
import random

import msgspec

from bench import plans
from tealcove.backends import prefixes

# Load added during a burst, as a multiple of the capacity.
EXTRA_BURST_LOAD = 3.0
# Demand of a flooding account, as a multiple of its usual one.
FLOOD_FACTOR = 15.0


class Request(msgspec.Struct, frozen=True):
    """A request that a caller sends `at` seconds into the run."""

    key: str
    at: float
    account: str
    tier: str
    data_centre: str
    length: plans.Length
    prompt: str
    max_tokens: int
    deadline: float
    # Calls of the plain service have a path of their own.
    path: str = "/v1/completions"


class Period(msgspec.Struct, frozen=True):
    """A period in which some accounts send more requests, in seconds into the run."""

    start: float
    stop: float


def generate(
    plan: plans.Plan,
    load: float,
    seconds: float,
    seed: int,
    tiers: tuple[str, ...],
    burst: Period | None = None,
) -> list[Request]:
    """Return the arrivals of a run in order of time.

    In a burst, all tiers but the highest send more requests.

    Each account is a Poisson process with its own random generator, so that a
    tier's requests are the same whether or not other tiers send any.
    """
    requests: list[Request] = []
    for account in plan.accounts:
        if account.tier not in tiers:
            continue
        rate = load * plan.capacity() * account.share
        requests.extend(
            account_arrivals(plan, account, rate, (0.0, seconds), f"{seed}")
        )
        if burst is not None and account.tier != plan.tiers[0]:
            rate = EXTRA_BURST_LOAD * plan.capacity() * account.share
            span = (burst.start, burst.stop)
            requests.extend(
                account_arrivals(plan, account, rate, span, f"{seed}-burst")
            )
    return sorted(requests, key=lambda request: request.at)


def generate_flood(
    plan: plans.Plan, load: float, seed: int, flood: Period
) -> list[Request]:
    """Return what the plan's first account sends in a flood beyond its usual demand."""
    account = plan.accounts[0]
    rate = (FLOOD_FACTOR - 1.0) * load * plan.capacity() * account.share
    span = (flood.start, flood.stop)
    return account_arrivals(plan, account, rate, span, f"{seed}-flood")


def account_arrivals(
    plan: plans.Plan,
    account: plans.Account,
    rate: float,
    span: tuple[float, float],
    seed: str,
) -> list[Request]:
    """Return one account's arrivals at a rate in requests per second."""
    rng = random.Random(f"{plan.name}/{account.name}/{seed}")
    at, stop = span
    requests: list[Request] = []
    while True:
        at += rng.expovariate(rate)
        if at >= stop:
            return requests
        name = f"{account.name}-{seed}-{len(requests)}"
        requests.append(generate_request(plan, account, name, at, rng))


def generate_request(
    plan: plans.Plan,
    account: plans.Account,
    name: str,
    at: float,
    rng: random.Random,
) -> Request:
    """Return a random request of an account."""
    is_long = rng.random() < plan.long_share
    length = plans.Length.LONG if is_long else plans.Length.SHORT
    shape = plan.shapes[length]
    template = rng.randrange(plan.templates)
    shared = unique_text(f"{account.name}/{template}", shape.shared_tokens)
    own = unique_text(f"{plan.name}/{name}", shape.prompt_tokens - shape.shared_tokens)
    return Request(
        key=name,
        at=at,
        account=account.name,
        tier=account.tier,
        data_centre=rng.choice(plan.data_centres),
        length=length,
        prompt=shared + own,
        max_tokens=shape.output_tokens,
        deadline=shape.deadline,
    )


def generate_calls(plan: plans.Plan, seconds: float, seed: int) -> list[Request]:
    """Return the calls of the plain service, every second one not idempotent."""
    rng = random.Random(f"{plan.name}/calls/{seed}")
    requests: list[Request] = []
    at = rng.expovariate(plans.CALL_RATE)
    while at < seconds:
        name = f"call-{seed}-{len(requests)}"
        folder = plan.non_idempotent_path if len(requests) % 2 else plan.service_path
        account = rng.choice(plan.accounts)
        call = Request(
            key=name,
            at=at,
            account=account.name,
            tier=account.tier,
            data_centre=rng.choice(plan.data_centres),
            length=plans.Length.CALL,
            prompt=unique_text(name, 16),
            max_tokens=0,
            deadline=plans.CALL_DEADLINE,
            path=f"{folder}{name}",
        )
        requests.append(call)
        at += rng.expovariate(plans.CALL_RATE)
    return requests


def unique_text(name: str, tokens: int) -> str:
    """Return a text of the given number of tokens, unique to the name."""
    size = tokens * prefixes.TOKEN_BYTES
    return hashlib.shake_128(name.encode()).hexdigest(size)[:size]
