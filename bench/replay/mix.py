"""The simulated workloads: kinds of requests, and engines of different speeds."""

from __future__ import annotations

import math
import random

import msgspec

# A request's worth is a fixed part of its kind's worth plus a part that grows with its
# tokens, and at most MAX_WORTH_FACTOR times the kind's worth.
FIXED_WORTH_PART = 0.3
MAX_WORTH_FACTOR = 4.0
# Longest prompt and output in multiples of their kind's mean, if the kind sets none.
MAX_LENGTH_FACTOR = 20.0


class Kind(msgspec.Struct, frozen=True):
    """Requests of one kind."""

    name: str
    # Arrivals per second at load 1.
    per_second: float
    # Prompt tokens: mean and spread of a log-normal distribution.
    prompt_mean: float
    prompt_spread: float
    # Output tokens: mean and spread of a log-normal distribution.
    output_mean: float
    output_spread: float
    # Goal for the seconds to the first event, and seconds after which callers leave.
    goal_seconds: float
    deadline: float
    # Worth of an answer within the goal, and of a later one.
    worth: float
    late_worth: float
    # Its rank within its tier; 0 is the most urgent.
    urgency: int
    # The tier rank of its accounts; 0 is scheduled first.
    tier: int = 0
    # Longest prompt and output, in multiples of their mean.
    max_prompt_factor: float = MAX_LENGTH_FACTOR
    max_output_factor: float = MAX_LENGTH_FACTOR
    # Weight of an output token in a request's size; a prompt token has weight 1.
    output_weight: float = 0.0


class Engine(msgspec.Struct, frozen=True):
    """One engine's speed, as learnt from completions without incidents."""

    name: str
    slots: int
    # Seconds per prompt token, per step, and per step for each running request.
    prompt_seconds: float
    step_seconds: float
    per_request_seconds: float = 0.00009
    # Attention cost: added seconds per prompt token for each token before it.
    attention_seconds: float = 0.0
    # Seconds from a request's arrival to the start of its prefill.
    startup_seconds: float = 0.0
    # Most prompt tokens prefilled in one step, and tokens of the first event.
    chunk: int = 1024
    first_event_tokens: int = 4


class Burst(msgspec.Struct, frozen=True):
    """A period in which the arrival rate is multiplied; `at` counts from the start."""

    at: float
    seconds: float
    times: float


class Outage(msgspec.Struct, frozen=True):
    """A crash of one engine, and for how long it stays down."""

    at: float
    seconds: float
    engine: str


class Mix(msgspec.Struct, frozen=True):
    """A deployment's load and engines, and its bursts, crashes and takeovers."""

    name: str
    kinds: tuple[Kind, ...]
    engines: tuple[Engine, ...]
    # Mean number of requests that arrive at the same instant.
    mean_group_size: float = 1.0
    # Spread of the log-normal error of the callers' estimates of their output.
    estimate_spread: float = 0.0
    bursts: tuple[Burst, ...] = ()
    outages: tuple[Outage, ...] = ()
    # When the dispatcher fails and loses its state; a new one takes over.
    takeovers: tuple[float, ...] = ()

    def load_factor(self, at: float) -> float:
        """Return the factor by which bursts multiply the load at an instant."""
        found = 1.0
        for burst in self.bursts:
            if burst.at <= at < burst.at + burst.seconds:
                found *= burst.times
        return found


class Request(msgspec.Struct):
    """One request with its randomly drawn lengths."""

    kind: Kind
    at: float
    prompt: int
    output: int
    # Its worth within the goal, which depends on its size.
    worth: float
    # The caller's estimate of the output tokens.
    expected: int
    # Weighted tokens, by which requests of a kind are compared.
    size: float


def engines(fast: int, slow: int, slots: int = 5) -> tuple[Engine, ...]:
    """Return the given numbers of fast and slow engines."""
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
# Part of the requests from accounts of the higher tier, which is scheduled first.
FIRST_ACCOUNTS_PART = 0.55


def with_tiers(found: Mix) -> Mix:
    """Return a mix whose requests are divided between accounts of two tiers."""
    parts = (FIRST_ACCOUNTS_PART, 1.0 - FIRST_ACCOUNTS_PART)
    kinds = tuple(
        msgspec.structs.replace(
            kind,
            name=f"{kind.name}-{account}",
            per_second=part * kind.per_second,
            tier=account,
        )
        for kind in found.kinds
        for account, part in enumerate(parts)
    )
    return Mix(f"{found.name}-ranked", kinds, found.engines)


# Prompt tokens prefilled per second, and seconds per step, at speed 1.
TOKENS_PER_SECOND = 157_000
STEP_SECONDS = 0.00355
# The same for the engines of the labelling mixes.
LABEL_TOKENS = 56_600
LABEL_STEP = 0.00379


def graded_engines(*times: float, slots: int, count: int = 2) -> tuple[Engine, ...]:
    """Return `count` engines of each grade; a grade is the slowdown against speed 1."""
    return tuple(
        Engine(
            f"{grade:g}-{number}",
            slots,
            grade / TOKENS_PER_SECOND,
            grade * STEP_SECONDS,
            grade * 46.2e-6,
            grade * 0.109e-9,
            0.026,
            2048,
            first_event_tokens=1,
        )
        for grade in times
        for number in range(count)
    )


def limited_kind(
    kind: Kind, max_prompt_factor: float, max_output_factor: float, weight: float = 10.0
) -> Kind:
    """Return a kind with length limits whose size includes its output tokens."""
    return msgspec.structs.replace(
        kind,
        max_prompt_factor=max_prompt_factor,
        max_output_factor=max_output_factor,
        output_weight=weight,
    )


def labelling_engines(found: tuple[Engine, ...]) -> tuple[Engine, ...]:
    """Return engines scaled to the labelling speed, with their grades kept."""
    return tuple(
        msgspec.structs.replace(
            one,
            prompt_seconds=one.prompt_seconds * TOKENS_PER_SECOND / LABEL_TOKENS,
            step_seconds=one.step_seconds * LABEL_STEP / STEP_SECONDS,
        )
        for one in found
    )


# Three kinds of different lengths on engines of three grades, of which a fast one soon
# crashes and stays down: two bursts with another crash between, near the capacity that
# remains.
STATEMENTS = Mix(
    "statements",
    (
        limited_kind(
            Kind("review", 19.0, 6610, 1.4, 382, 1.5, 0.4, 15.0, 6.8, 2.0, 0), 8.3, 10
        ),
        limited_kind(
            Kind("letter", 22.1, 628, 1.0, 292, 1.5, 0.25, 12.0, 2.3, 0.68, 1),
            5.3,
            10,
        ),
        limited_kind(
            Kind("tag", 34.9, 1800, 1.3, 23, 1.5, 0.25, 2.5, 0.29, 0.088, 2), 3.8, 10
        ),
    ),
    graded_engines(0.55, 1.0, 2.8, slots=15),
    mean_group_size=3.0,
    estimate_spread=0.5,
    bursts=(Burst(1.0, 5.0, 1.7), Burst(11.0, 2.5, 2.1)),
    outages=(Outage(1.2, 60.0, "0.55-0"), Outage(8.0, 2.0, "1-0")),
    takeovers=(24.0,),
)
# The same kinds at four to seven times the load on 45 engines.
STATEMENTS_GROWN = Mix(
    "statements-grown",
    (
        limited_kind(
            Kind("review", 111.0, 6610, 1.4, 380, 1.5, 0.445, 11.1, 6.3, 1.9, 0),
            8.3,
            10,
        ),
        limited_kind(
            Kind("letter", 81.9, 628, 1.0, 290, 1.5, 0.269, 10.7, 3.1, 0.92, 1),
            5.3,
            10,
        ),
        limited_kind(
            Kind("tag", 261.0, 1800, 1.3, 20, 1.5, 0.322, 2.7, 0.22, 0.064, 2), 3.8, 10
        ),
    ),
    graded_engines(0.55, 1.0, 2.8, slots=8, count=15),
    mean_group_size=2.0,
    estimate_spread=0.5,
    bursts=(Burst(1.0, 5.0, 1.7), Burst(11.0, 2.5, 2.1)),
    outages=tuple(Outage(8.0, 2.0, f"1-{number}") for number in range(5)),
    takeovers=(24.0,),
)
# 39 engines of three grades with 5 slots each, a third of which crash.
LABELS_LARGE = Mix(
    "labels-large",
    (
        Kind("long", 94.8, 3700, 1.1, 120, 1.5, 0.632, 10.5, 6.8, 2.0, 0),
        Kind("text", 64.9, 2900, 1.0, 50, 1.5, 1.022, 5.1, 1.6, 0.47, 1),
        Kind("notes", 100.0, 1100, 1.0, 170, 1.5, 1.013, 12.2, 0.3, 0.09, 2),
    ),
    labelling_engines(graded_engines(0.55, 1.0, 2.0, slots=5, count=13)),
    estimate_spread=0.5,
    bursts=(Burst(3.0, 6.0, 1.6), Burst(14.0, 4.0, 1.8)),
    outages=tuple(Outage(6.0, 3.0, f"0.55-{number}") for number in range(13)),
    takeovers=(24.0,),
)
# The labelling load after a shift: more short texts, on 45 engines of which a third is
# four times slower than the others; the mean of the fast ones is a little faster.
LABELS_SHIFTED = Mix(
    "labels-shifted",
    (
        limited_kind(
            Kind("long", 81.8, 3720, 1.1, 120, 1.5, 0.663, 11.1, 6.8, 2.0, 0), 14.3, 10
        ),
        limited_kind(
            Kind("text", 98.0, 2890, 1.0, 52, 1.5, 1.245, 5.2, 1.6, 0.47, 1), 13.7, 9.6
        ),
        limited_kind(
            Kind("notes", 87.0, 1110, 1.0, 172, 1.5, 1.226, 12.3, 0.3, 0.088, 2),
            3.4,
            9.9,
        ),
    ),
    labelling_engines(
        (
            *graded_engines(0.68, slots=5, count=30),
            *graded_engines(3.0, slots=5, count=15),
        )
    ),
    estimate_spread=0.5,
    bursts=(Burst(1.0, 5.0, 1.8), Burst(11.0, 2.5, 2.1)),
    outages=tuple(Outage(15.5, 2.0, f"0.68-{number}") for number in range(11)),
    takeovers=(24.0,),
)
MIXES = {
    mix.name: mix
    for mix in (
        LABELS,
        STANDS,
        with_tiers(LABELS),
        STATEMENTS,
        STATEMENTS_GROWN,
        LABELS_LARGE,
        LABELS_SHIFTED,
    )
}


def without_incidents(found: Mix) -> Mix:
    """Return a mix without its bursts, outages and takeovers."""
    return msgspec.structs.replace(found, bursts=(), outages=(), takeovers=())


def draw(mix: Mix, load: float, seconds: float, seed: int) -> list[Request]:
    """Return the requests of a run, in order of arrival."""
    source = random.Random(f"{mix.name}/{seed}")
    found = []
    for kind in mix.kinds:
        at = next_arrival(mix, kind, 0.0, load, source)
        while at < seconds:
            found.append(new_request(mix, kind, at, source))
            while source.random() < 1.0 - 1.0 / mix.mean_group_size:
                found.append(new_request(mix, kind, at, source))
            at = next_arrival(mix, kind, at, load, source)
    return sorted(found, key=lambda request: request.at)


def next_arrival(
    mix: Mix, kind: Kind, after: float, load: float, source: random.Random
) -> float:
    """Return when the next requests of a kind arrive."""
    rate = kind.per_second * load * mix.load_factor(after) / mix.mean_group_size
    return after + source.expovariate(rate)


def new_request(mix: Mix, kind: Kind, at: float, source: random.Random) -> Request:
    """Draw one request."""
    prompt = draw_length(
        kind.prompt_mean, kind.prompt_spread, kind.max_prompt_factor, source
    )
    output = draw_length(
        kind.output_mean, kind.output_spread, kind.max_output_factor, source
    )
    size = prompt + kind.output_weight * output
    mean = kind.prompt_mean + kind.output_weight * kind.output_mean
    part = FIXED_WORTH_PART + (1.0 - FIXED_WORTH_PART) * size / mean
    worth = kind.worth * min(MAX_WORTH_FACTOR, part)
    expected = output
    if mix.estimate_spread:
        expected = max(
            1, round(output * source.lognormvariate(0.0, mix.estimate_spread))
        )
    return Request(kind, at, prompt, output, worth, expected, size)


def draw_length(mean: float, spread: float, most: float, source: random.Random) -> int:
    """Draw an integer from a log-normal distribution, at most `most` times its mean."""
    middle = math.log(mean) - spread * spread / 2
    found = round(source.lognormvariate(middle, spread))
    return max(1, min(int(most * mean), found))
