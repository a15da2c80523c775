"""Client accounts in a compact encoding, so that 39,000 of them fit in memory."""

from __future__ import annotations

import collections
from collections.abc import Iterator, Mapping

import msgspec

from tealcove import decoding, ids
from tealcove.resources import kinds


class PackedAccount(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A client account without field names and with binary hashes."""

    name: str
    revision: ids.Revision
    generation: int
    changed_by: str
    tier: str
    key_hashes: tuple[bytes, ...]
    tokens_per_second: float | None
    burst_tokens: float | None
    # None: it has none of its own, which takes a byte in place of nine.
    weight: float | None = None


ENCODER = msgspec.msgpack.Encoder()
DECODER = decoding.Decoder(msgspec.msgpack.Decoder(PackedAccount))


def pack(resource: kinds.Resource) -> bytes:
    """Encode a resource of kind ClientAccount compactly."""
    spec = resource.spec
    packed = PackedAccount(
        name=resource.metadata.name,
        revision=resource.metadata.revision,
        generation=resource.metadata.generation,
        changed_by=resource.metadata.changed_by,
        tier=spec.tier,
        key_hashes=tuple(bytes.fromhex(text) for text in spec.key_hashes),
        tokens_per_second=spec.tokens_per_second,
        burst_tokens=spec.burst_tokens,
        weight=None if spec.weight is msgspec.UNSET else spec.weight,
    )
    return ENCODER.encode(packed)


def unpack(content: bytes) -> kinds.Resource:
    """Decode a packed client account to a resource."""
    packed = DECODER.decode(content)
    metadata = kinds.Metadata(
        name=packed.name,
        revision=packed.revision,
        generation=packed.generation,
        changed_by=packed.changed_by,
    )
    spec = kinds.ClientAccountSpec(
        tier=packed.tier,
        key_hashes=tuple(digest.hex() for digest in packed.key_hashes),
        tokens_per_second=packed.tokens_per_second,
        burst_tokens=packed.burst_tokens,
        weight=msgspec.UNSET if packed.weight is None else packed.weight,
    )
    return kinds.Resource(kind=kinds.Kind.CLIENT_ACCOUNT, metadata=metadata, spec=spec)


class AccountTable(Mapping[str, kinds.Resource]):
    """Immutable table of all client accounts, indexed by name and by key hash."""

    def __init__(
        self,
        packed: dict[str, bytes],
        names_by_key_hash: dict[bytes, str],
        counts_by_tier: Mapping[str, int],
    ) -> None:
        self.packed = packed
        self.names_by_key_hash = names_by_key_hash
        # Lets an unused tier be deleted without unpacking every account.
        self.counts_by_tier = counts_by_tier

    @classmethod
    def from_packed(cls, contents: list[msgspec.Raw]) -> AccountTable:
        """Build a table from packed accounts, decoding each one once."""
        packed = {}
        names_by_key_hash = {}
        counts: collections.Counter[str] = collections.Counter()
        for content in contents:
            account = DECODER.decode(content)
            packed[account.name] = bytes(content)
            counts[account.tier] += 1
            for digest in account.key_hashes:
                names_by_key_hash[digest] = account.name
        return cls(packed, names_by_key_hash, counts)

    def __getitem__(self, name: str) -> kinds.Resource:
        return unpack(self.packed[name])

    def __contains__(self, name: object) -> bool:
        return name in self.packed

    def __iter__(self) -> Iterator[str]:
        return iter(self.packed)

    def __len__(self) -> int:
        return len(self.packed)

    def name_by_key_hash(self, key_hash: str) -> str | None:
        """Return the name of the account that owns a key, given its SHA-256 in hex."""
        return self.names_by_key_hash.get(bytes.fromhex(key_hash))

    def with_changes(
        self, changes: Mapping[str, kinds.Resource | None]
    ) -> AccountTable:
        """Return a table with accounts replaced, added or (if None) deleted."""
        packed = dict(self.packed)
        names_by_key_hash = dict(self.names_by_key_hash)
        counts = collections.Counter(self.counts_by_tier)
        # All old keys are removed before any new one is added, because a key may
        # have moved from one account to another.
        for name in changes:
            content = packed.pop(name, None)
            if content is not None:
                old = DECODER.decode(content)
                counts[old.tier] -= 1
                for digest in old.key_hashes:
                    names_by_key_hash.pop(digest, None)
        for name, resource in changes.items():
            if resource is None:
                continue
            packed[name] = pack(resource)
            counts[resource.spec.tier] += 1
            for text in resource.spec.key_hashes:
                names_by_key_hash[bytes.fromhex(text)] = name
        return AccountTable(packed, names_by_key_hash, counts)
