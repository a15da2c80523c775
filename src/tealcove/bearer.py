"""Bearer keys of client accounts and operators, which are kept as hashes only."""

from __future__ import annotations

import hashlib

# What stands before the key in an Authorization header.
PREFIX = "Bearer "


def hash_key(key: str) -> str:
    """Return what is stored of a key: its SHA-256 in hex."""
    return hashlib.sha256(key.encode()).hexdigest()
