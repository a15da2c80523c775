"""Fixtures of the dispatch package's tests."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest

from tealcove.dispatch.tests import askers


@pytest.fixture
async def asking() -> AsyncIterator[askers.Asking]:
    """Return a ticket that was just sent, and end it afterwards."""
    found = askers.Asking()
    yield found
    found.obtaining.cancel()
    await found.requester.stop()
