"""Defines the two measured deployments: their sizes, engines and callers."""

from __future__ import annotations

import enum
import itertools

import msgspec

from tealcove.backends import prefixes

# For an engine of generation g3. Other generations are slower by one factor in
# all respects, so that the capacity doesn't depend on the placement of requests.
PREFILL_TOKENS_PER_SECOND = 16_000.0
DECODE_SECONDS_PER_TOKEN = 0.004
BATCH_SLOWDOWN = 0.02
SPEEDS = {"g3": 1.0, "g2": 0.67, "g1": 0.4}
# A client is a few milliseconds away from the entries of its own data centre.
CLIENT_DELAY = 0.003
# Accounts of each tier in a plan with equal accounts.
EQUAL_ACCOUNTS = 5
# Time factors of three engines in a row in a plan with uneven engines.
UNEVEN_FACTORS = (0.68, 0.68, 3.0)


class Length(enum.Enum):
    """The two kinds of requests for engines, and calls of the plain service."""

    SHORT = "short"
    LONG = "long"
    CALL = "call"


# Calls of the plain service per second, and their deadline in seconds. Half of
# them are not idempotent.
CALL_RATE = 10.0
CALL_DEADLINE = 2.0


class Shape(msgspec.Struct, frozen=True):
    """The size of a kind of request, in tokens, and its deadline in seconds."""

    prompt_tokens: int
    # Length of the prompt prefix that all requests of one template share.
    shared_tokens: int
    output_tokens: int
    deadline: float


class Engine(msgspec.Struct, frozen=True):
    """A model engine."""

    data_centre: str
    generation: str
    slots: int
    # Time that work takes, as a multiple of what it takes on its generation.
    time_factor: float = 1.0

    @property
    def speed(self) -> float:
        """The speed as a fraction of the fastest generation's usual one."""
        return SPEEDS[self.generation] / self.time_factor

    @property
    def full_step_seconds(self) -> float:
        """Duration of a decode step when every slot is occupied."""
        slowdown = 1.0 + BATCH_SLOWDOWN * (self.slots - 1)
        return DECODE_SECONDS_PER_TOKEN / self.speed * slowdown

    def slot_seconds(self, shape: Shape) -> float:
        """Return the seconds a request occupies a slot of a full, warm engine."""
        uncached = shape.prompt_tokens - shape.shared_tokens
        prefill = uncached / (PREFILL_TOKENS_PER_SECOND * self.speed)
        return prefill + shape.output_tokens * self.full_step_seconds


class Account(msgspec.Struct, frozen=True):
    """A client account and its share of all requests."""

    name: str
    tier: str
    share: float


class Plan(msgspec.Struct, frozen=True):
    """A deployment and its workload."""

    name: str
    data_centres: tuple[str, ...]
    # One-way delay in seconds between any two data centres.
    delay: float
    instances_per_data_centre: int
    engines: tuple[Engine, ...]
    services: int
    service_path: str
    # Tiers, the highest first.
    tiers: tuple[str, ...]
    accounts: tuple[Account, ...]
    shapes: dict[Length, Shape]
    long_share: float
    # Prompt templates of each account.
    templates: int
    # Share of each engine's slots that is reserved for short requests.
    short_share: float
    cache_blocks: int

    @property
    def non_idempotent_path(self) -> str:
        """Path prefix of the calls that are not idempotent."""
        return f"{self.service_path}once/"

    def share(self, length: Length) -> float:
        """Return the share of requests of this length."""
        return self.long_share if length is Length.LONG else 1.0 - self.long_share

    def mean_slot_seconds(self, engine: Engine) -> float:
        """Return the mean seconds that a request of the mix occupies a slot."""
        return sum(
            self.share(length) * engine.slot_seconds(shape)
            for length, shape in self.shapes.items()
        )

    def capacity(self) -> float:
        """Return the maximum throughput in requests of the mix per second.

        The sum over the engines of slots / mean slot seconds: every slot is
        always occupied, decode steps last as long as with all slots occupied, and the
        shared part of a prompt is always cached. No policy can sustain more.
        """
        return sum(e.slots / self.mean_slot_seconds(e) for e in self.engines)

    def work(self, length: Length) -> float:
        """Return a request's cost in units of the mean request of the mix."""
        first = self.engines[0]
        return first.slot_seconds(self.shapes[length]) / self.mean_slot_seconds(first)


def with_equal_accounts(plan: Plan) -> Plan:
    """Return a plan in which several equal accounts divide each tier's share."""
    shares = {tier: 0.0 for tier in plan.tiers}
    for account in plan.accounts:
        shares[account.tier] += account.share
    accounts = tuple(
        Account(f"{tier}-{number}", tier, shares[tier] / EQUAL_ACCOUNTS)
        for tier in plan.tiers
        for number in range(EQUAL_ACCOUNTS)
    )
    return msgspec.structs.replace(plan, accounts=accounts)


def with_uneven_engines(plan: Plan) -> Plan:
    """Return a plan in which two of three engines are fast and one is slow."""
    factors = itertools.cycle(UNEVEN_FACTORS)
    engines = tuple(
        msgspec.structs.replace(engine, time_factor=factor)
        for engine, factor in zip(plan.engines, factors, strict=False)
    )
    return msgspec.structs.replace(plan, engines=engines)


def shapes(
    short: tuple[int, int, float], shared: int, long_deadline: float
) -> dict[Length, Shape]:
    """Return the short shape (prompt, output, deadline) and one 100 times as long."""
    prompt, output, deadline = short
    return {
        Length.SHORT: Shape(prompt, 0, output, deadline),
        Length.LONG: Shape(
            100 * prompt,
            shared * prefixes.BLOCK_TOKENS,
            100 * output,
            long_deadline,
        ),
    }


ETIQUETTE_ARMOR = Plan(
    name="etiquette-armor",
    data_centres=("vannes", "lorient", "quimper"),
    delay=0.0015,
    instances_per_data_centre=2,
    engines=(
        Engine("vannes", "g3", 8),
        Engine("vannes", "g3", 8),
        Engine("lorient", "g2", 8),
        Engine("lorient", "g2", 8),
        Engine("quimper", "g1", 4),
        Engine("quimper", "g1", 4),
    ),
    services=3,
    service_path="/labels/",
    tiers=("line", "desk", "batch"),
    accounts=(
        Account("cannery-concarneau", "line", 0.25),
        Account("biscuits-pont-aven", "line", 0.15),
        Account("dairy-redon", "line", 0.05),
        Account("creperies-union", "desk", 0.25),
        Account("recipe-archive", "batch", 0.30),
    ),
    shapes=shapes(short=(40, 4, 1.5), shared=32, long_deadline=8.0),
    long_share=0.25,
    templates=4,
    short_share=0.125,
    cache_blocks=512,
)

MAKINDU = Plan(
    name="makindu",
    data_centres=("kasarani", "westlands", "karen", "embakasi"),
    delay=0.0005,
    instances_per_data_centre=2,
    engines=(
        Engine("kasarani", "g3", 8),
        Engine("kasarani", "g3", 8),
        Engine("kasarani", "g1", 4),
        Engine("westlands", "g2", 8),
        Engine("westlands", "g2", 8),
        Engine("karen", "g2", 8),
        Engine("karen", "g1", 4),
        Engine("embakasi", "g3", 8),
        Engine("embakasi", "g1", 4),
    ),
    services=4,
    service_path="/ledger/",
    tiers=("floor", "office", "batch"),
    accounts=(
        Account("showground-north", "floor", 0.20),
        Account("showground-south", "floor", 0.20),
        Account("sales-office", "office", 0.15),
        Account("night-crew", "office", 0.15),
        Account("old-ledger-import", "batch", 0.30),
    ),
    shapes=shapes(short=(60, 3, 1.5), shared=64, long_deadline=8.0),
    long_share=0.35,
    templates=4,
    short_share=0.125,
    cache_blocks=768,
)

PLANS = {plan.name: plan for plan in (ETIQUETTE_ARMOR, MAKINDU)}
