"""What is played: kinds of requests, and engines that aren't alike."""

from __future__ import annotations

import math
import random

import msgspec

# A generation counts by its size, at most so many times the kind's worth: a part that
# every one has, and a part that grows with the prompt.
FIXED_PART = 0.3
MOST_WORTH = 4.0


class Kind(msgspec.Struct, frozen=True):
    """Requests of one kind."""

    name: str
    # Arrivals a second at load 1.
    per_second: float
    # Prompt tokens: mean and spread of a log-normal distribution.
    prompt_mean: float
    prompt_spread: float
    # Output tokens, likewise.
    output_mean: float
    output_spread: float
    # Seconds to the first event that callers hope for, and for which they wait at all.
    aim: float
    deadline: float
    # What an answer in aim is worth, and a later one.
    worth: float
    late_worth: float
    # 0 goes first.
    rank: int


class Engine(msgspec.Struct, frozen=True):
    """One engine's speed; figures as learnt from completions on a calm day."""

    name: str
    slots: int
    # Seconds for a prompt token, for a step, and more of a step for each request.
    prompt_seconds: float
    step_seconds: float
    crowd_seconds: float = 0.00009


class Mix(msgspec.Struct, frozen=True):
    """A deployment's load and engines."""

    name: str
    kinds: tuple[Kind, ...]
    engines: tuple[Engine, ...]


class Request(msgspec.Struct):
    """One request as it's drawn."""

    kind: Kind
    at: float
    prompt: int
    output: int
    # What it is worth in aim, by its size.
    worth: float


def engines(fast: int, slow: int, slots: int = 5) -> tuple[Engine, ...]:
    """Return so many engines of two generations."""
    quick = [Engine(f"fast-{n}", slots, 15.7e-6, 0.0034) for n in range(fast)]
    return (*quick, *(Engine(f"slow-{n}", slots, 75e-6, 0.015) for n in range(slow)))


LABELS = Mix(
    "labels",
    (
        Kind("long", 11.0, 3700, 1.1, 120, 1.5, 0.6, 10.0, 6.8, 2.0, 0),
        Kind("text", 7.7, 2900, 1.0, 50, 1.5, 1.0, 5.0, 1.6, 0.47, 1),
        Kind("notes", 12.0, 1100, 1.0, 170, 1.5, 1.0, 12.0, 0.3, 0.09, 2),
    ),
    engines(fast=4, slow=2),
)
STANDS = Mix(
    "stands",
    (
        Kind("draft", 13.0, 3700, 1.1, 80, 1.5, 0.8, 8.0, 5.1, 1.5, 0),
        Kind("quote", 9.3, 2900, 1.0, 36, 1.5, 0.8, 4.0, 2.6, 0.78, 1),
        Kind("list", 15.6, 1100, 1.0, 120, 1.5, 0.5, 8.0, 0.31, 0.1, 2),
    ),
    engines(fast=6, slow=3, slots=4),
)
# Accounts of two ranks: all that the better one asks for goes first.
FIRST_ACCOUNTS_PART = 0.55
RANK_OF_ACCOUNT = 100


def ranked(found: Mix) -> Mix:
    """Return a mix of which accounts of two ranks send a part each."""
    parts = (FIRST_ACCOUNTS_PART, 1.0 - FIRST_ACCOUNTS_PART)
    kinds = tuple(
        msgspec.structs.replace(
            kind,
            name=f"{kind.name}-{account}",
            per_second=part * kind.per_second,
            rank=kind.rank + RANK_OF_ACCOUNT * account,
        )
        for kind in found.kinds
        for account, part in enumerate(parts)
    )
    return Mix(f"{found.name}-ranked", kinds, found.engines)


MIXES = {mix.name: mix for mix in (LABELS, STANDS, ranked(LABELS))}


def draw(mix: Mix, load: float, seconds: float, seed: int) -> list[Request]:
    """Return the requests of a run, in order of arrival."""
    source = random.Random(f"{mix.name}/{seed}")
    found = []
    for kind in mix.kinds:
        at = source.expovariate(kind.per_second * load)
        while at < seconds:
            found.append(new_request(kind, at, source))
            at += source.expovariate(kind.per_second * load)
    return sorted(found, key=lambda request: request.at)


def new_request(kind: Kind, at: float, source: random.Random) -> Request:
    """Draw one request."""
    prompt = skewed(kind.prompt_mean, kind.prompt_spread, source)
    output = skewed(kind.output_mean, kind.output_spread, source)
    size = FIXED_PART + (1.0 - FIXED_PART) * prompt / kind.prompt_mean
    return Request(kind, at, prompt, output, kind.worth * min(MOST_WORTH, size))


def skewed(mean: float, spread: float, source: random.Random) -> int:
    """Draw a whole number of a log-normal distribution with a mean."""
    middle = math.log(mean) - spread * spread / 2
    return max(1, min(int(20 * mean), round(source.lognormvariate(middle, spread))))
