"""The limit on requests that a backend server's answer names."""

from __future__ import annotations

import pytest

from tealcove.platform import backendlink


@pytest.mark.parametrize(
    ("written", "rate"),
    [
        ("1.7", 1.7),
        ("3", 3.0),
        ("0", 0.0),
        (None, None),
        ("", None),
        ("soon", None),
        ("-1", None),
        ("nan", None),
        ("inf", None),
    ],
)
def test_only_a_readable_limit_counts(written: str | None, rate: float | None) -> None:
    """A garbled header would stop a server or lift its limit."""
    assert backendlink.read_limit(written) == rate
