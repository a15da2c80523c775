"""Digests of request content, the same at every entry."""

from __future__ import annotations

import hashlib

DIGEST_BYTES = 16
# Separates method, path and body, so that their concatenation is unambiguous.
SEPARATOR = b"\0"


def digest_prompt(prompt: str) -> str:
    """Return the digest of a request to a model engine."""
    return digest(prompt.encode())


def digest_call(method: str, path: str, body: bytes) -> str:
    """Return the digest of a call to a plain service."""
    return digest(SEPARATOR.join((method.encode(), path.encode(), body)))


def digest(content: bytes) -> str:
    """Return the digest of some bytes, in hex."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()
