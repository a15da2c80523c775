"""Chained hashes of a prompt's blocks, used to find shared prefixes."""

from __future__ import annotations

import hashlib

# The size of a token in bytes of UTF-8: one estimate for all models.
TOKEN_BYTES = 4
BLOCK_TOKENS = 64
BLOCK_BYTES = BLOCK_TOKENS * TOKEN_BYTES
HASH_BYTES = 8
# Maximum number of hashed blocks of a prompt; the rest counts as uncached.
MAX_BLOCKS = 256


def count_tokens(text: str) -> int:
    """Estimate the number of tokens of a text, at least 1."""
    return max(1, -(-len(text.encode()) // TOKEN_BYTES))


def chain(prompt: str) -> tuple[int, ...]:
    """Return a hash per complete block; each includes all blocks before it."""
    content = prompt.encode()
    blocks = min(len(content) // BLOCK_BYTES, MAX_BLOCKS)
    hashes = []
    previous = b""
    for number in range(blocks):
        block = content[number * BLOCK_BYTES : (number + 1) * BLOCK_BYTES]
        digest = hashlib.blake2b(previous + block, digest_size=HASH_BYTES)
        previous = digest.digest()
        hashes.append(int.from_bytes(previous))
    return tuple(hashes)
