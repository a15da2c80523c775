"""Speeds of backend servers, learnt from what entries saw at completion."""

from __future__ import annotations

import statistics
from collections.abc import Iterable

import msgspec

from tealcove.dispatch import regression

# Where nothing is known, a server is taken for a fast one: a guess that is too
# slow would refuse requests that it could serve, and so never be corrected.
DEFAULT_PREFILL_SECONDS = 0.00002
DEFAULT_DECODE_SECONDS = 0.001
# Part by which each further request in the batch slows a token.
DEFAULT_SLOWDOWN = 0.02
# Prompts below this are too short to tell the time that a token of them takes.
MIN_PREFILL_TOKENS = 64
# Output tokens of the request by which servers are put in order.
MEDIAN_OUTPUT = 64
# What a line that a server starts from is taken to be known for.
PREFILL_SPAN = 1000.0
BATCH_SPAN = 7.0
# Decoded tokens from which a request counts as a whole observation.
FULL_WEIGHT_TOKENS = 32


class Speed(msgspec.Struct):
    """How long a server takes, by uncached prompt tokens and by batch size."""

    # Seconds to the first token, by uncached prompt tokens.
    prefill: regression.LinearRegression
    # Seconds of each further token, by other requests in the batch.
    decode: regression.LinearRegression
    observations: int = 0
    # Whether it starts from other servers' speeds, not from the default.
    is_seeded: bool = False

    def predict(self, uncached: float, output: float, others: float) -> float:
        """Return the seconds from dispatch to the last token.

        `uncached` and `output` are tokens, `others` requests in the same batch.
        """
        # Written out, since a ticket costs this twice for each server of its cell.
        prefill, decode = self.prefill, self.decode
        first = prefill.intercept + prefill.slope * uncached
        step = decode.intercept + decode.slope * others
        return first + step * (output - 1.0) if output > 1.0 else first

    def observe(
        self,
        uncached: float,
        output: float,
        others: float,
        first_token_seconds: float,
        total_seconds: float,
        decay: float = regression.DECAY,
    ) -> None:
        """Learn from a completed request."""
        if self.observations == 0 and not self.is_seeded:
            self.seed(uncached, output, first_token_seconds, total_seconds)
        self.prefill.observe(max(0.0, uncached), first_token_seconds, decay=decay)
        if output > 1:
            step = (total_seconds - first_token_seconds) / (output - 1)
            weight = min(1.0, output / FULL_WEIGHT_TOKENS)
            self.decode.observe(others, step, weight, decay)
        self.observations += 1

    def seed(self, uncached: float, output: float, first: float, total: float) -> None:
        """Start from the first observation, since the default is no knowledge."""
        step = (total - first) / (output - 1) if output > 1 else first
        slope = DEFAULT_PREFILL_SECONDS
        if uncached >= MIN_PREFILL_TOKENS:
            slope = max(slope, (first - step) / uncached)
        self.prefill = regression.LinearRegression.from_prior(step, slope, PREFILL_SPAN)
        self.decode = regression.LinearRegression.from_prior(
            step, step * DEFAULT_SLOWDOWN, BATCH_SPAN
        )


def default() -> Speed:
    """Return the speed of a server of which nothing is known."""
    return Speed(
        regression.LinearRegression.from_prior(
            0.0, DEFAULT_PREFILL_SECONDS, PREFILL_SPAN
        ),
        regression.LinearRegression.from_prior(DEFAULT_DECODE_SECONDS, 0.0, BATCH_SPAN),
    )


def copy(speed: Speed) -> Speed:
    """Return a speed to start from, which its own observations soon replace."""
    prefill, decode = speed.prefill, speed.decode
    return Speed(
        regression.LinearRegression.from_prior(
            prefill.intercept, prefill.slope, PREFILL_SPAN
        ),
        regression.LinearRegression.from_prior(
            decode.intercept, decode.slope, BATCH_SPAN
        ),
        is_seeded=True,
    )


def median(found: Iterable[Speed]) -> Speed | None:
    """Return the middle one of observed speeds; None when there are none.

    Of an even number it is the faster middle one, so that of two servers the
    slow one is seen to be slow. It is one server's speed as a whole: a mixture of
    one's intercept and another's slope may be faster than any server is.
    """
    observed = [speed for speed in found if speed.observations > 0]
    if not observed:
        return None
    uncached = statistics.fmean(speed.prefill.mean() for speed in observed)
    others = statistics.fmean(speed.decode.mean() for speed in observed)
    ordered = sorted(
        observed, key=lambda speed: speed.predict(uncached, MEDIAN_OUTPUT, others)
    )
    return ordered[(len(ordered) - 1) // 2]
