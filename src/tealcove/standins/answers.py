"""The deterministic answers of engine stand-ins, which tests can recompute."""

from __future__ import annotations

import hashlib

KEY_BYTES = 16
# Three hex digits and a space make the four bytes that count as one token.
DIGEST_BYTES = 2
HEX_DIGITS = 3


def answer_key(prompt: str) -> bytes:
    """Return the key from which all tokens of a prompt's answer are derived."""
    return hashlib.blake2b(prompt.encode(), digest_size=KEY_BYTES).digest()


def token_text(key: bytes, index: int) -> str:
    """Return the text of the token at `index`, counted from 0."""
    digest = hashlib.blake2b(index.to_bytes(8), key=key, digest_size=DIGEST_BYTES)
    return digest.hexdigest()[:HEX_DIGITS] + " "


def text_between(key: bytes, start: int, stop: int) -> str:
    """Return the text of the tokens from `start` up to, but not including, `stop`."""
    return "".join(token_text(key, index) for index in range(start, stop))


def expected_answer(prompt: str, max_tokens: int) -> str:
    """Return the complete answer of any engine stand-in to a prompt."""
    return text_between(answer_key(prompt), 0, max_tokens)
