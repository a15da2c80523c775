"""Fixtures of the admission package's tests."""

from __future__ import annotations

from tealcove.dispatch.tests.conftest import asking

__all__ = ["asking"]
