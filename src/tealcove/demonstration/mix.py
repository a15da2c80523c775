"""The engines of the demo, and a mix of requests that overloads them."""

from __future__ import annotations

import enum
import hashlib
import random

import msgspec

from tealcove.backends import prefixes

# For the fastest engine; each other engine is slower by its own constant factor.
PREFILL_TOKENS_PER_SECOND = 16_000.0
DECODE_SECONDS_PER_TOKEN = 0.005
BATCH_SLOWDOWN = 0.02

# Arrival rate as a multiple of the engines' maximum capacity.
LOAD = 1.3
# Additional calls per second to the plain service.
SERVICE_RATE = 8.0
LONG_SHARE = 0.25
STREAM_SHARE = 0.6
CHAT_SHARE = 0.3
# Prompt templates of each client account; requests of a template share its text.
TEMPLATES = 3


class Engine(msgspec.Struct, frozen=True):
    """A model engine; `speed` is relative to the fastest one."""

    name: str
    generation: str
    speed: float
    slots: int


class Account(msgspec.Struct, frozen=True):
    """A client account and its share of the requests."""

    name: str
    tier: str
    share: float


class Shape(msgspec.Struct, frozen=True):
    """The size of a kind of request, in tokens, and its deadline in seconds."""

    prompt_tokens: int
    # Tokens of the prompt that all requests of one template share.
    shared_tokens: int
    output_tokens: int
    deadline: float


class RequestKind(enum.Enum):
    """The kind of a request."""

    COMPLETION = "completion"
    CHAT = "chat"
    # Calls of the plain service: an idempotent and a non-idempotent one.
    LOOKUP = "lookup"
    QUOTE = "quote"


ENGINE_KINDS = (RequestKind.COMPLETION, RequestKind.CHAT)

ENGINES = (
    Engine("engine-1", "g1", 0.5, 4),
    Engine("engine-2", "g1", 0.5, 6),
    Engine("engine-3", "g2", 0.65, 4),
    Engine("engine-4", "g2", 0.65, 6),
    Engine("engine-5", "g3", 0.8, 8),
    Engine("engine-6", "g4", 1.0, 6),
)
# From the highest to the lowest.
TIERS = ("high", "middle", "low")
ACCOUNTS = (
    Account("label-press", "high", 0.2),
    Account("show-floor", "high", 0.1),
    Account("sales-office", "middle", 0.2),
    Account("recipe-desk", "middle", 0.15),
    Account("archive", "low", 0.2),
    Account("old-ledger", "low", 0.15),
)
SHORT = Shape(prompt_tokens=32, shared_tokens=0, output_tokens=4, deadline=2.0)
# A hundred times longer than SHORT.
LONG = Shape(
    prompt_tokens=3200,
    shared_tokens=32 * prefixes.BLOCK_TOKENS,
    output_tokens=400,
    deadline=7.0,
)
SERVICE_DEADLINE = 2.0


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """A request that a caller sends `at` seconds after the start of the run."""

    key: str
    at: float
    account: str
    tier: str
    kind: RequestKind
    # The prompt, or the content of a call to the plain service.
    content: str
    max_tokens: int = 0
    stream: bool = False
    deadline: float

    @property
    def for_engine(self) -> bool:
        """Whether the request is for an engine, not for the plain service."""
        return self.kind in ENGINE_KINDS


def slot_seconds(engine: Engine, shape: Shape) -> float:
    """Return the time a request occupies a slot of a full engine with a warm cache."""
    uncached = shape.prompt_tokens - shape.shared_tokens
    prefill = uncached / (PREFILL_TOKENS_PER_SECOND * engine.speed)
    slowdown = 1.0 + BATCH_SLOWDOWN * (engine.slots - 1)
    step = DECODE_SECONDS_PER_TOKEN / engine.speed * slowdown
    return prefill + shape.output_tokens * step


def capacity() -> float:
    """Return an upper bound on the requests of the mix completed per second.

    It assumes that every slot is always in use and each shared text is cached.
    """
    total = 0.0
    for engine in ENGINES:
        long = LONG_SHARE * slot_seconds(engine, LONG)
        short = (1.0 - LONG_SHARE) * slot_seconds(engine, SHORT)
        total += engine.slots / (long + short)
    return total


def requests(seed: int, seconds: float) -> list[Request]:
    """Return all requests in order of time, determined by the arguments."""
    generator = random.Random(seed)
    found = [
        engine_request(generator, at) for at in times(generator, engine_rate(), seconds)
    ]
    calls = [
        service_call(generator, at) for at in times(generator, SERVICE_RATE, seconds)
    ]
    return sorted(found + calls, key=lambda request: request.at)


def engine_rate() -> float:
    """Return the requests per second for engines."""
    return LOAD * capacity()


def times(generator: random.Random, rate: float, seconds: float) -> list[float]:
    """Return the arrival times of a Poisson process."""
    found: list[float] = []
    at = generator.expovariate(rate)
    while at < seconds:
        found.append(at)
        at += generator.expovariate(rate)
    return found


def engine_request(generator: random.Random, at: float) -> Request:
    """Draw a request for an engine."""
    account = draw_account(generator)
    shape = LONG if generator.random() < LONG_SHARE else SHORT
    key = draw_key(generator)
    template = generator.randrange(TEMPLATES)
    shared = text(f"{account.name}/{template}", shape.shared_tokens)
    own = text(key, shape.prompt_tokens - shape.shared_tokens)
    return Request(
        key=key,
        at=at,
        account=account.name,
        tier=account.tier,
        kind=RequestKind.CHAT
        if generator.random() < CHAT_SHARE
        else RequestKind.COMPLETION,
        content=shared + own,
        max_tokens=shape.output_tokens,
        stream=generator.random() < STREAM_SHARE,
        deadline=shape.deadline,
    )


def service_call(generator: random.Random, at: float) -> Request:
    """Draw a call to the plain service."""
    account = draw_account(generator)
    key = draw_key(generator)
    return Request(
        key=key,
        at=at,
        account=account.name,
        tier=account.tier,
        kind=generator.choice((RequestKind.LOOKUP, RequestKind.QUOTE)),
        content=key,
        deadline=SERVICE_DEADLINE,
    )


def draw_account(generator: random.Random) -> Account:
    """Draw the account of a request."""
    shares = [account.share for account in ACCOUNTS]
    return generator.choices(ACCOUNTS, shares)[0]


def draw_key(generator: random.Random) -> str:
    """Draw a unique idempotency key."""
    return f"{generator.getrandbits(64):016x}"


def text(name: str, tokens: int) -> str:
    """Return a text of some tokens that is unique to a name."""
    size = tokens * prefixes.TOKEN_BYTES
    return hashlib.shake_128(name.encode()).hexdigest(size)[:size]
