"""Settings of an engine stand-in, and the faults that tests inject."""

from __future__ import annotations

import msgspec

from tealcove.standins import backend, backend_settings


class EngineSettings(backend_settings.BackendSettings, kw_only=True):
    """Settings of one engine stand-in; every field has a default."""

    name: str = "engine"
    generation: str = "g1"
    prefill_tokens_per_second: backend_settings.Positive = 8000.0
    # For a request that runs alone.
    decode_seconds_per_token: backend_settings.Positive = 0.02
    # Share by which each additional running request slows a decode step.
    batch_slowdown: backend_settings.Seconds = 0.02
    # Blocks of `tealcove.backends.prefixes.BLOCK_TOKENS` tokens.
    cache_blocks: backend_settings.Count = 1024
    # Delay of cache events, and the share of them that is never published.
    event_lag: backend_settings.Seconds = 0.5
    event_gap_share: backend_settings.Share = 0.02
    # Time for which a request without a connection can be resumed.
    resume_seconds: backend_settings.Seconds = 5.0
    checks_fencing: bool = True
    # Loaded versions by name.
    models: dict[str, str] = msgspec.field(default_factory=dict)
    adapters: dict[str, str] = msgspec.field(default_factory=dict)
    role: str = "both"
    # Duration of an order that loads a model or an adapter.
    load_seconds: backend_settings.Seconds = 0.0
    # A prompt with this text crashes the engine that starts it; empty: none does.
    crash_marker: str = ""
    # Minimum duration of a step; if decode steps are longer, each event has one token.
    tick_seconds: backend_settings.Positive = 0.005
    # Seed of the random choice of dropped cache events.
    seed: int = 0


class EngineFaults(backend.Faults, kw_only=True):
    """Faults of an engine; `wrong_id` replaces the id and the text everywhere."""

    # Break the connection after this many tokens.
    cut_after_tokens: backend_settings.Count | None = None
    # Number of connections that `cut_after_tokens` breaks.
    cut_times: backend_settings.Count = 1
    # Number of answers with the right header and the events of another request.
    wrong_event_id: backend_settings.Count = 0
    # Number of answers with one event duplicated, two swapped, or one missing.
    duplicate_chunk: backend_settings.Count = 0
    reorder_chunk: backend_settings.Count = 0
    drop_chunk: backend_settings.Count = 0
    # While True, new cache events are never published.
    drop_cache_events: bool = False
