"""The limit on requests that a backend server's answer names."""

from __future__ import annotations

import unittest.mock

import pytest

from tealcove.ingress import link
from tealcove.platform import backendlink, names


@pytest.mark.parametrize(
    ("written", "rate"),
    [
        ("1.7", 1.7),
        ("3", 3.0),
        ("0", 0.0),
        ("", None),
        ("soon", None),
        ("-1", None),
        ("nan", None),
        ("inf", None),
    ],
)
def test_only_a_readable_limit_counts(written: str, rate: float | None) -> None:
    """A garbled header would stop a server."""
    assert backendlink.read_limit(written) == rate


@pytest.mark.parametrize(
    ("ok", "headers", "stated"),
    [
        (True, {}, link.StatedLimit(None)),
        (True, {names.REQUEST_LIMIT: "2.3"}, link.StatedLimit(2.3)),
        (True, {names.REQUEST_LIMIT: "soon"}, None),
        (False, {}, None),
        (False, {names.REQUEST_LIMIT: "2.3"}, link.StatedLimit(2.3)),
    ],
)
def test_only_a_success_without_the_header_ends_a_limit(
    ok: bool, headers: dict[str, str], stated: link.StatedLimit | None
) -> None:
    """Each error of a server in need lifted its limit until the next answer."""
    response = unittest.mock.Mock(ok=ok, headers=headers)
    assert backendlink.stated_limit(response) == stated
