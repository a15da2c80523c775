"""Tests that the platform's names are used only inside the adapter."""

from __future__ import annotations

import pathlib
import re

import tealcove

ROOT = pathlib.Path(tealcove.__file__).parent
# Stand-ins imitate the platform, so they use its names as well.
INSIDE = ("platform", "standins")
NAMES = re.compile(
    r"rows-(tx|get|feed)|blob-(put|get|drop)|/resolve|/readyz|row_version|since_rev"
    r"|expect_rev|tombstone|goal_ms|gap_target_ms|api_keys|rate_per_s"
    r"|Tealcove-(Request-Id|Deadline-Ms|Response-Stamp|Token-Count|Prefix-Hash"
    r"|Tenant|Expect-Instance|Not-Executed|Instance|Length-Hint)"
    r"|Store-Era"
    r"|\btenants?\b",
    re.IGNORECASE,
)
# Paths of the product's own interface that equal one of the platform's.
OWN = {"probes.py": "/readyz", "listener.py": "/readyz", "parts.py": "/readyz"}
MOST_LINES = 1500


def test_no_other_module_uses_platform_names():
    found = []
    for path in ROOT.rglob("*.py"):
        parts = path.relative_to(ROOT).parts
        if parts[0] in INSIDE or "tests" in parts:
            continue
        for match in NAMES.finditer(path.read_text("utf-8")):
            if match[0] != OWN.get(path.name):
                found.append(f"{path.relative_to(ROOT)}: {match[0]}")
    assert found == []


def test_the_adapter_stays_small():
    files = (ROOT / "platform").glob("*.py")
    assert sum(len(f.read_text("utf-8").splitlines()) for f in files) < MOST_LINES
