"""Content that others wrote costs no more than itself, however it is spoilt."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tealcove import connection, decoding, errors, ids
from tealcove.catalog import declared, packing
from tealcove.claims import claim
from tealcove.entry import call, problem
from tealcove.membership import messages
from tealcove.orders import intents, lease
from tealcove.origins import keeping
from tealcove.peers import message
from tealcove.platform import documents, rollouts, wire
from tealcove.relay import wire as relay_wire
from tealcove.resources import documents as resource_documents
from tealcove.resources import kinds, refusals, snapshots
from tealcove.storage import rowlist, rowweights, table

LEVELS = 3000
DEEP_JSON = b'{"by":' * LEVELS + b"0" + b"}" * LEVELS
DEEP_MSGPACK = b"\x91" * LEVELS + b"\x00"


def row(value: bytes) -> table.Row:
    return table.Row("rows", "k", value, 1)


def decode_message(content: bytes) -> message.Message:
    codec = message.Codec()
    codec.register(messages.Heartbeat)
    return codec.decode(content)


def unpack(content: bytes) -> object:
    return packing.unpack(packing.pack(msgspec.Raw(content)), declared.Catalog)


def decode_order(content: bytes) -> relay_wire.Order:
    return relay_wire.decode({relay_wire.ORDER: content.decode()})


def read_put(content: bytes) -> object:
    body = b'{"spec":' + content + b"}"
    return resource_documents.read_put(body, kinds.Kind.ENGINE_POOL, "a")


JSON_READERS = [
    (documents.decode_configuration, errors.PlatformError),
    (lambda content: documents.decode_server("k", content), errors.PlatformError),
    (lambda content: wire.decode_read(content, wire.WirePage), errors.PlatformError),
    (lambda content: wire.decode_write(content, wire.WirePage), errors.PlatformError),
    (lambda content: intents.decode(row(content)), errors.PlatformError),
    (lambda content: lease.decode(row(content)), errors.PlatformError),
    (lambda content: rowweights.decode(row(content)), errors.PlatformError),
    (decode_order, errors.PeerError),
    (read_put, refusals.BadRequestError),
    (call.parse_completion, problem.ProblemError),
    (call.parse_chat, problem.ProblemError),
]
MSGPACK_READERS = [
    (claim.decode, errors.PlatformError),
    (decode_message, errors.PeerError),
    (unpack, errors.PlatformError),
    (snapshots.decode, errors.ResourceError),
]


@pytest.mark.parametrize(("read", "expected"), JSON_READERS)
def test_deep_json_raises_the_error_of_its_reader(
    read: Callable[[bytes], object], expected: type[Exception]
):
    """Guards against tasks that end on a RecursionError, which nothing expects."""
    with pytest.raises(expected):
        read(DEEP_JSON)


@pytest.mark.parametrize(("read", "expected"), MSGPACK_READERS)
def test_deep_msgpack_raises_the_error_of_its_reader(
    read: Callable[[bytes], object], expected: type[Exception]
):
    """Guards against tasks that end on a RecursionError, which nothing expects."""
    with pytest.raises(expected):
        read(DEEP_MSGPACK)


def test_deep_rows_of_lists_are_left_out():
    """Guards against a whole list that can't be read because of one of its rows."""
    assert rowlist.decode(row(DEEP_JSON)) is None
    assert rollouts.status_of(row(DEEP_JSON)) is None
    assert keeping.decode(DEEP_MSGPACK) == []
    assert connection.error_from_response(500, DEEP_JSON).status == 500


def test_an_order_in_a_header_that_is_no_text_raises_peer_error():
    """Guards against 500s for headers that aren't UTF-8, which aiohttp lets pass."""
    with pytest.raises(errors.PeerError):
        relay_wire.decode({relay_wire.ORDER: b"{\xff".decode(errors="surrogateescape")})


@given(st.binary(), st.sampled_from([DEEP_JSON, DEEP_MSGPACK, b""]))
def test_any_content_is_decoded_or_raises_decode_error(end: bytes, start: bytes):
    """Guards against errors that those who decode don't expect."""
    for decode in (decoding.decode_json, decoding.decode_msgpack):
        try:
            decode(start + end, dict[str, ids.Revision])
        except msgspec.DecodeError:
            continue
