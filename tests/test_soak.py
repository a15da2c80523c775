"""Short seeded soaks; each seed that ever failed stays here with its cause."""

from __future__ import annotations

import pathlib

import pytest
from soak import run

SECONDS = 3.0
SEEDS = (1, 2)


@pytest.mark.parametrize("seed", SEEDS)
async def test_promises_hold_under_faults(tmp_path: pathlib.Path, seed: int) -> None:
    verdict = await run.soak(tmp_path, seed, SECONDS)
    assert verdict.broken == ()
    assert verdict.served > 0
