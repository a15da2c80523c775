"""How operators see, add and lift convictions."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest
from aiohttp import test_utils, web

from tealcove import clock, errors, ids
from tealcove.commands import quarantine as command
from tealcove.quarantine import handlers, role
from tealcove.quarantine.tests import builders, test_role, test_sharing

PART = "5c1e07a2"
Served = tuple[role.Quarantine, int]


@pytest.fixture
async def served() -> AsyncIterator[Served]:
    """Serve the quarantine of an instance; yield it and the port."""
    found, _ = test_sharing.new_quarantine("one")
    app = web.Application()
    app.add_routes(handlers.QuarantineHandlers(found).routes())
    async with test_utils.TestServer(app) as server:
        yield found, server.port


async def run(port: int, action: command.Action, part: str = "") -> object:
    """Run the command; return what it prints."""
    return await command.Quarantine(action=action, part=part, port=port).send()


async def test_what_is_added_is_refused_until_it_is_lifted(served: Served) -> None:
    found, port = served
    shown = await run(port, command.Action.ADD, PART.upper())
    assert (shown["part"], shown["is_convicted"], shown["is_manual"]) == (
        PART,
        True,
        True,
    )
    assert shown["seconds_left"] == pytest.approx(builders.SECONDS, abs=1.0)
    assert found.has_quarantined("", (ids.PartId(PART),), clock.now())
    await run(port, command.Action.LIFT, PART)
    assert not found.has_quarantined("", (ids.PartId(PART),), clock.now())


async def test_the_list_names_the_crashes_of_each_part(served: Served) -> None:
    found, port = served
    test_role.crash(found, 0, ids.PartId(PART))
    await run(port, command.Action.ADD, "aa")
    added, accused = await run(port, command.Action.LIST)
    assert (added["part"], added["crashes"]) == ("aa", [])
    assert (accused["part"], accused["events"]) == (PART, 1)
    assert [one["server"] for one in accused["crashes"]] == ["s0"]


async def test_a_wrong_command_names_its_remedy(served: Served) -> None:
    _, port = served
    for action, part in (
        (command.Action.ADD, ""),
        (command.Action.LIST, PART),
        (command.Action.ADD, "no-part"),
    ):
        with pytest.raises(errors.SettingsError, match="part"):
            await run(port, action, part)
    with pytest.raises(errors.PlatformUnavailableError, match="admin_port"):
        await run(1, command.Action.LIST)
