"""The version of this package."""

from __future__ import annotations

VERSION = "0.1.0"
