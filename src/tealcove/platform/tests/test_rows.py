"""Tests of converting rows of the store to entries of a feed."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tealcove import errors
from tealcove.platform import documents, wire
from tealcove.platform.tests import builders
from tealcove.storage import feed

TABLE = "servers"


def test_entry_has_decoded_value():
    row = wire.WireRow(TABLE, "a", value="YWJj", row_version=3)
    assert row.entry() == feed.Entry("a", b"abc", 3)
    dropped = wire.WireRow(TABLE, "a", row_version=4, tombstone=True)
    assert dropped.entry() == feed.Entry("a", None, 4)


@given(st.text().filter(lambda text: not is_base64(text)))
def test_invalid_base64_makes_only_its_row_unreadable(text: str) -> None:
    """Guards against losing all servers and the configuration through one bad row.

    If a row's value isn't base64 and the whole page is rejected for it, the store
    counts as unavailable for as long as the row exists.
    """
    entry = wire.WireRow(TABLE, "a", value=text, row_version=3).entry()
    assert entry.version == 3
    with pytest.raises(errors.PlatformError):
        documents.decode_server("a", entry.value)


def is_base64(text: str) -> bool:
    try:
        wire.WireRow(TABLE, "a", value=text).content()
    except errors.PlatformUnavailableError:
        return False
    return True


@pytest.mark.parametrize(
    "extreme",
    [{"slots": 10**6}, {"slots": 2**200}, {"slots": 0}, {"born": 2**80}, {"born": -1}],
)
def test_a_row_with_an_extreme_number_is_unreadable(extreme: dict[str, int]):
    """Guards against dispatchers that one server's row keeps busy for seconds."""
    with pytest.raises(errors.PlatformError):
        documents.decode_server(
            "a", msgspec.json.encode({**builders.WRITTEN, **extreme})
        )


@pytest.mark.parametrize("field", ["priority", "attempts"])
def test_a_configuration_with_an_extreme_number_is_unreadable(field: str):
    """Guards against tickets that can't be encoded, of all requests of a route."""
    route = {"name": "r", "host": "h", "prefix": "/", field: 2**63}
    with pytest.raises(errors.PlatformError):
        documents.decode_configuration(msgspec.json.encode({"routes": [route]}))


@pytest.mark.parametrize(
    "address", ["", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "name:80", "10.0.0:80"]
)
def test_only_ip_and_port_is_a_valid_address(address: str):
    written = {**builders.WRITTEN, "addr": address}
    with pytest.raises(errors.PlatformError):
        documents.decode_server("a", msgspec.json.encode(written))
