"""Speeds of backend servers, estimated from completed requests."""

from __future__ import annotations

import statistics
from collections.abc import Iterable

import msgspec

from tealcove.dispatch import regression

# An unknown server is assumed to be fast: an estimate that is too slow would refuse
# requests that it could serve, and so never be corrected.
DEFAULT_PREFILL_SECONDS = 0.00002
DEFAULT_DECODE_SECONDS = 0.001
# Relative slowdown of a token by each further request in the batch.
DEFAULT_SLOWDOWN = 0.02
# Shorter prompts don't allow an estimate of the time per prompt token.
MIN_PREFILL_TOKENS = 64
# Output tokens of the reference request by which servers are sorted.
MEDIAN_OUTPUT = 64
# Spans of the regressions' priors: uncached prompt tokens, and other requests.
PREFILL_SPAN = 1000.0
BATCH_SPAN = 7.0
# Output tokens from which a request counts with full weight.
FULL_WEIGHT_TOKENS = 32


class Speed(msgspec.Struct):
    """A server's service times, by uncached prompt tokens and by batch size."""

    # Seconds to the first token, by uncached prompt tokens.
    prefill: regression.LinearRegression
    # Seconds of each further token, by other requests in the batch.
    decode: regression.LinearRegression
    observations: int = 0
    # Whether its prior is other servers' speed and not the default.
    is_seeded: bool = False

    def predict(self, uncached: float, output: float, others: float) -> float:
        """Return the seconds from dispatch to the last token.

        `uncached` and `output` are tokens, `others` requests in the same batch.
        """
        # Inlined, since each ticket calls this twice per server of its cell.
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
        """Update the estimate with a completed request."""
        if self.observations == 0 and not self.is_seeded:
            self.seed(uncached, output, first_token_seconds, total_seconds)
        self.prefill.observe(max(0.0, uncached), first_token_seconds, decay=decay)
        if output > 1:
            step = (total_seconds - first_token_seconds) / (output - 1)
            weight = min(1.0, output / FULL_WEIGHT_TOKENS)
            self.decode.observe(others, step, weight, decay)
        self.observations += 1

    def seed(self, uncached: float, output: float, first: float, total: float) -> None:
        """Set the prior from the first observation, as the default is only a guess."""
        step = (total - first) / (output - 1) if output > 1 else first
        slope = DEFAULT_PREFILL_SECONDS
        if uncached >= MIN_PREFILL_TOKENS:
            slope = max(slope, (first - step) / uncached)
        self.prefill = regression.LinearRegression.from_prior(step, slope, PREFILL_SPAN)
        self.decode = regression.LinearRegression.from_prior(
            step, step * DEFAULT_SLOWDOWN, BATCH_SPAN
        )


def default() -> Speed:
    """Return the speed assumed for an unknown server."""
    return Speed(
        regression.LinearRegression.from_prior(
            0.0, DEFAULT_PREFILL_SECONDS, PREFILL_SPAN
        ),
        regression.LinearRegression.from_prior(DEFAULT_DECODE_SECONDS, 0.0, BATCH_SPAN),
    )


def with_prior(speed: Speed) -> Speed:
    """Return a speed with another one as prior, for a server's own observations."""
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


def median(candidates: Iterable[Speed]) -> Speed | None:
    """Return the median of observed speeds; None when there are none.

    Of an even number it is the faster middle one, so that of two servers the slow one
    is detected. It is the speed of one server: combining the intercept of one with
    the slope of another could give a speed that is faster than any server's.
    """
    observed = [speed for speed in candidates if speed.observations > 0]
    if not observed:
        return None
    uncached = statistics.fmean(speed.prefill.mean() for speed in observed)
    others = statistics.fmean(speed.decode.mean() for speed in observed)
    ordered = sorted(
        observed, key=lambda speed: speed.predict(uncached, MEDIAN_OUTPUT, others)
    )
    return ordered[(len(ordered) - 1) // 2]
