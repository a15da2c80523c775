"""Speeds of a backend server, learnt from what entries saw at completion."""

from __future__ import annotations

import msgspec

# The share that a new observation has in the estimate.
WEIGHT = 0.2
DEFAULT_PREFILL_SECONDS = 0.0005
DEFAULT_DECODE_SECONDS = 0.02


class Speed(msgspec.Struct):
    """Seconds that a server takes for a token of each kind."""

    prefill_seconds: float = DEFAULT_PREFILL_SECONDS
    decode_seconds: float = DEFAULT_DECODE_SECONDS
    observations: int = 0

    def predict(self, uncached_tokens: int, output_tokens: int) -> float:
        """Return the seconds from dispatch to the last token."""
        prefill = uncached_tokens * self.prefill_seconds
        return prefill + output_tokens * self.decode_seconds

    def observe(
        self,
        uncached_tokens: int,
        output_tokens: int,
        first_token_seconds: float,
        total_seconds: float,
    ) -> None:
        """Learn from a completed request."""
        if uncached_tokens > 0:
            seen = first_token_seconds / uncached_tokens
            self.prefill_seconds = self.blend(self.prefill_seconds, seen)
        if output_tokens > 0:
            seen = (total_seconds - first_token_seconds) / output_tokens
            self.decode_seconds = self.blend(self.decode_seconds, seen)
        self.observations += 1

    def blend(self, old: float, seen: float) -> float:
        """Return the new estimate; the first observation replaces the default."""
        weight = 1.0 if self.observations == 0 else WEIGHT
        return old + weight * (seen - old)
