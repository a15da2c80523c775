"""The requests of a run, the same for the same plan, load and seed."""

from __future__ import annotations

import hashlib
import random

import msgspec

from bench import plans
from tealcove.backends import prefixes

# Multiples of the capacity that come on top during a burst.
BURST_LOAD = 3.0


class Request(msgspec.Struct, frozen=True):
    """One request that a caller is going to send, `at` seconds into the run."""

    key: str
    at: float
    account: str
    tier: str
    data_centre: str
    length: plans.Length
    prompt: str
    max_tokens: int
    deadline: float
    # Of a call of the plain service.
    path: str = "/v1/completions"


class Burst(msgspec.Struct, frozen=True):
    """A time in which all but the highest tier send much more."""

    start: float
    stop: float


def generate(
    plan: plans.Plan,
    load: float,
    seconds: float,
    seed: int,
    tiers: tuple[str, ...],
    burst: Burst | None = None,
) -> list[Request]:
    """Return the arrivals of a run in order of time.

    Each account arrives by a Poisson process with numbers of its own, so that a
    tier's requests are the same whether or not other tiers send any.
    """
    found: list[Request] = []
    for account in plan.accounts:
        if account.tier not in tiers:
            continue
        rate = load * plan.capacity() * account.share
        found.extend(stream(plan, account, rate, (0.0, seconds), f"{seed}"))
        if burst is not None and account.tier != plan.tiers[0]:
            rate = BURST_LOAD * plan.capacity() * account.share
            span = (burst.start, burst.stop)
            found.extend(stream(plan, account, rate, span, f"{seed}-burst"))
    return sorted(found, key=lambda request: request.at)


def stream(
    plan: plans.Plan,
    account: plans.Account,
    rate: float,
    span: tuple[float, float],
    seed: str,
) -> list[Request]:
    """Return one account's arrivals at a rate a second."""
    drawn = random.Random(f"{plan.name}/{account.name}/{seed}")
    at, stop = span
    found: list[Request] = []
    while True:
        at += drawn.expovariate(rate)
        if at >= stop:
            return found
        name = f"{account.name}-{seed}-{len(found)}"
        found.append(draw(plan, account, name, at, drawn))


def draw(
    plan: plans.Plan,
    account: plans.Account,
    name: str,
    at: float,
    drawn: random.Random,
) -> Request:
    """Return one request of an account."""
    is_long = drawn.random() < plan.long_share
    length = plans.Length.LONG if is_long else plans.Length.SHORT
    shape = plan.shapes[length]
    template = drawn.randrange(plan.templates)
    shared = text(f"{account.name}/{template}", shape.shared_tokens)
    own = text(f"{plan.name}/{name}", shape.prompt_tokens - shape.shared_tokens)
    return Request(
        key=name,
        at=at,
        account=account.name,
        tier=account.tier,
        data_centre=drawn.choice(plan.data_centres),
        length=length,
        prompt=shared + own,
        max_tokens=shape.output_tokens,
        deadline=shape.deadline,
    )


def calls(plan: plans.Plan, seconds: float, seed: int) -> list[Request]:
    """Return the calls of the plain service, every second one not repeatable."""
    drawn = random.Random(f"{plan.name}/calls/{seed}")
    found: list[Request] = []
    at = drawn.expovariate(plans.CALL_RATE)
    while at < seconds:
        name = f"call-{seed}-{len(found)}"
        folder = plan.once_path if len(found) % 2 else plan.service_path
        account = drawn.choice(plan.accounts)
        call = Request(
            key=name,
            at=at,
            account=account.name,
            tier=account.tier,
            data_centre=drawn.choice(plan.data_centres),
            length=plans.Length.CALL,
            prompt=text(name, 16),
            max_tokens=0,
            deadline=plans.CALL_DEADLINE,
            path=f"{folder}{name}",
        )
        found.append(call)
        at += drawn.expovariate(plans.CALL_RATE)
    return found


def text(name: str, tokens: int) -> str:
    """Return a text of so many tokens that no other name has."""
    size = tokens * prefixes.TOKEN_BYTES
    return hashlib.shake_128(name.encode()).hexdigest(size)[:size]
