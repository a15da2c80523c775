"""Settings of an engine stand-in, and the faults that tests switch on."""

from __future__ import annotations

import msgspec

from tealcove.standins import backend, backend_settings


class EngineSettings(backend_settings.BackendSettings, kw_only=True):
    """How one engine stand-in behaves; every field has a default."""

    name: str = "engine"
    generation: str = "g1"
    prefill_tokens_per_second: backend_settings.Positive = 8000.0
    # Of a request that runs alone.
    decode_seconds_per_token: backend_settings.Positive = 0.02
    # Part by which each further running request slows a decode step.
    batch_slowdown: backend_settings.Seconds = 0.02
    # Blocks of `tealcove.backends.prefixes.BLOCK_TOKENS` tokens.
    cache_blocks: backend_settings.Count = 1024
    # Time until a cache event is published, and the part that never is.
    event_lag: backend_settings.Seconds = 0.5
    event_gap_share: backend_settings.Share = 0.02
    # How long a request without a connection is kept.
    resume_seconds: backend_settings.Seconds = 5.0
    checks_fencing: bool = True
    # Versions by name.
    models: dict[str, str] = msgspec.field(default_factory=dict)
    adapters: dict[str, str] = msgspec.field(default_factory=dict)
    role: str = "both"
    # Duration of an order that loads a model or an adapter.
    load_seconds: backend_settings.Seconds = 0.0
    # A prompt with this text kills the engine that starts it; empty: none does.
    crash_marker: str = ""
    # Shortest time between two steps; a slower step is one token per event.
    tick_seconds: backend_settings.Positive = 0.005
    # Of the choice of cache events that get lost.
    seed: int = 0


class EngineFaults(backend.Faults, kw_only=True):
    """Faults of an engine; `wrong_id` spoils id and text throughout."""

    # Break the connection once this many tokens were sent on it.
    cut_after_tokens: backend_settings.Count | None = None
    # Number of connections to break in that way.
    cut_times: backend_settings.Count = 1
    # Answers with the right header whose events are another request's.
    wrong_event_id: backend_settings.Count = 0
    # Answers in which one event comes twice, two events are swapped, one is missing.
    duplicate_chunk: backend_settings.Count = 0
    reorder_chunk: backend_settings.Count = 0
    drop_chunk: backend_settings.Count = 0
    # No cache event of this time is ever published.
    drop_cache_events: bool = False
