"""Validation of the backend servers that pools declare."""

from __future__ import annotations

import ipaddress
from collections.abc import Iterator

import msgspec

from tealcove.resources import copy, kinds, references, refusals


class ServerEntry(msgspec.Struct, frozen=True):
    """A declared backend server and the path of its field."""

    field: str
    server: kinds.BackendServerSpec


def entries_of(pool: kinds.Resource, prefix: str = "") -> Iterator[ServerEntry]:
    """Yield the server entries of a pool."""
    for number, server in enumerate(pool.spec.servers):
        yield ServerEntry(f"{prefix}spec.servers[{number}]", server)


def entries_of_other_pools(
    configuration: copy.Configuration, pool: kinds.Resource
) -> Iterator[ServerEntry]:
    """Yield the server entries of all pools but one."""
    for kind in references.POOLS:
        for name, other in configuration.resources[kind].items():
            if kind is not pool.kind or name != pool.metadata.name:
                yield from entries_of(other, f"{kind.value}/{name} ")


def check_host(entry: ServerEntry) -> str:
    """Return the host as a normalised IP address; raises InvalidFieldError."""
    field = f"{entry.field}.host"
    try:
        address = ipaddress.ip_address(entry.server.host)
    except ValueError as error:
        raise refusals.InvalidFieldError(
            f"{entry.server.host!r} isn't an IP number",
            "Write the server's address as 10.0.0.7 or fd00::7; names aren't looked "
            "up.",
            field,
        ) from error
    if address.is_unspecified or address.is_multicast:
        raise refusals.InvalidFieldError(
            f"{entry.server.host} isn't the address of one server",
            "Write the address at which the server listens.",
            field,
        )
    return str(address)


def check_servers(configuration: copy.Configuration, pool: kinds.Resource) -> None:
    """Refuse servers with invalid hosts or with duplicate names or addresses.

    Two entries for one server would each fill its slots, so that it would queue
    requests itself, without regard to tiers.
    """
    names: dict[str, str] = {}
    addresses: dict[tuple[str, int], str] = {}
    for entry in entries_of_other_pools(configuration, pool):
        names[entry.server.name] = entry.field
        addresses[check_host(entry), entry.server.port] = entry.field
    for entry in entries_of(pool):
        address = (check_host(entry), entry.server.port)
        check_unique(names.get(entry.server.name), f"{entry.field}.name")
        check_unique(addresses.get(address), f"{entry.field}.host")
        names[entry.server.name] = entry.field
        addresses[address] = entry.field


def check_unique(duplicate_of: str | None, field: str) -> None:
    """Raise DuplicateError if another entry already has the value."""
    if duplicate_of is not None:
        raise refusals.DuplicateError(
            f"is the same as that of {duplicate_of}",
            "Declare each backend server once, in one pool.",
            field,
        )
