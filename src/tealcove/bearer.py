"""Bearer keys of client accounts and operators; only their hashes are stored."""

from __future__ import annotations

import hashlib

# Scheme that precedes the key in an Authorization header.
PREFIX = "Bearer "


def hash_key(key: str) -> str:
    """Return the hash that is stored for a key: its SHA-256 in hex."""
    return hashlib.sha256(key.encode()).hexdigest()
