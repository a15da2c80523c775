"""Rows of other writers that can't be read."""

from __future__ import annotations

import pytest

from tealcove.catalog import declared
from tealcove.platform import names
from tests import platform_site

LEVELS = 3000
DEEP = b'{"by":' * LEVELS + b"0" + b"}" * LEVELS
SPOILT = [DEEP, b"", b"\xff", b"\xef\xbb\xbf{}", b'{"service":"\\ud800"}', b"[1e999]"]


@pytest.mark.parametrize("content", SPOILT)
async def test_an_unreadable_row_hides_no_server_that_leaves_or_comes(content: bytes):
    """Guards against a row that ends the task that follows the table of servers."""
    async with platform_site.connected_site(2, 2) as site:
        await site.write(names.SERVERS_TABLE, "other", content)
        leaving = site.servers[0]
        entry = leaving.entry("draining")
        await site.write(names.SERVERS_TABLE, leaving.name, entry)
        await platform_site.until(
            lambda: all(
                one.servers.known[leaving.name].server.state
                is declared.ServerState.LEAVING
                for one in site.instances
            )
        )
        await site.add_server("new")
        await platform_site.until(
            lambda: all("new" in one.servers.known for one in site.instances)
        )
        # One that starts beside the row serves too.
        added = await site.add_instance()
        assert (await site.send("/safe/a", added)).status == 200


@pytest.mark.parametrize("content", SPOILT)
async def test_an_unreadable_configuration_leaves_the_one_before_in_force(
    content: bytes,
):
    """Guards against a document that ends the following of later configurations."""
    async with platform_site.connected_site(1, 2) as site:
        table, key = names.OPERATOR_TABLE, names.CONFIGURATION_KEY
        await site.write(table, key, content)
        assert (await site.send("/safe/a")).status == 200
        await site.declare(platform_site.configuration(version=2))
