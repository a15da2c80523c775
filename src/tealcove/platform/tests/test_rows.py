"""Rows of the store as entries of a followed table."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tealcove import errors
from tealcove.platform import documents, store
from tealcove.platform.tests import builders
from tealcove.storage import feed

TABLE = "servers"


def test_a_row_is_its_decoded_value():
    row = store.WireRow(TABLE, "a", value="YWJj", row_version=3)
    assert row.entry() == feed.Entry("a", b"abc", 3)
    dropped = store.WireRow(TABLE, "a", row_version=4, tombstone=True)
    assert dropped.entry() == feed.Entry("a", None, 4)


@given(st.text().filter(lambda text: not is_base64(text)))
def test_a_value_that_is_no_base64_is_one_unreadable_row(text: str) -> None:
    """No server is known any more, and no configuration.

    Symptom: the store counts as unusable for as long as one row stands there.
    Sequence: a row's value is no base64. Cause: the whole page is given up for it.
    """
    entry = store.WireRow(TABLE, "a", value=text, row_version=3).entry()
    assert entry.version == 3
    with pytest.raises(errors.PlatformError):
        documents.decode_server("a", entry.value)


def is_base64(text: str) -> bool:
    try:
        store.WireRow(TABLE, "a", value=text).content()
    except errors.PlatformUnavailableError:
        return False
    return True


@pytest.mark.parametrize(
    "address", ["", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "name:80", "10.0.0:80"]
)
def test_only_ip_and_port_are_an_address(address: str):
    written = {**builders.WRITTEN, "addr": address}
    with pytest.raises(errors.PlatformError):
        documents.decode_server("a", msgspec.json.encode(written))
