"""How operators see accounts and order weights."""

from __future__ import annotations

from collections.abc import AsyncIterator

import msgspec
import pytest
from aiohttp import test_utils, web

from tealcove import cli, errors, ids
from tealcove.accounts import handlers, tallies
from tealcove.accounts.tests import builders
from tealcove.catalog import declared, lookup
from tealcove.commands import accounts as command
from tealcove.commands import exits
from tealcove.limits import limit
from tealcove.storage import faults

RATE = 250.0


class Served(msgspec.Struct):
    """The handlers of an instance, and what they use."""

    port: int
    instance: builders.Instance
    counts: tallies.Tallies
    table: builders.FailingTable
    current: lookup.Lookup | None

    async def run(self, action: str, name: str = "", value: str = "") -> object:
        """Run the command; return what it prints."""
        found = command.Accounts(command.Action(action), name, value, port=self.port)
        return await found.send()


def configuration(*names: str) -> lookup.Lookup:
    """Return a configuration in which the bakery alone has a limit."""
    found = tuple(
        declared.Account(
            ids.AccountId(name),
            rank=1 if name == builders.BAKERY else None,
            limit=limit.Limit(RATE, 1.0) if name == builders.BAKERY else None,
        )
        for name in names
    )
    return lookup.Lookup(declared.Catalog(accounts=found), ids.Revision(1))


@pytest.fixture
async def served() -> AsyncIterator[Served]:
    """Serve the accounts of an instance."""
    rows = builders.FailingTable(builders.new_table())
    _, (one,) = builders.new_group(1, rows)
    counts = tallies.Tallies(ids.DataCentreId("dc-1"))
    current = configuration(builders.BAKERY, builders.FLORIST)
    found = Served(0, one, counts, rows, current)
    app = web.Application()
    shown = handlers.AccountHandlers(one.weights, counts, lambda: found.current)
    app.add_routes(shown.routes())
    async with test_utils.TestServer(app) as server:
        found.port = server.port
        yield found


async def test_the_list_shows_weights_with_their_source_and_counts(
    served: Served,
) -> None:
    for result in (tallies.Result.IN_TIME, tallies.Result.LATE):
        ended = tallies.Ended(builders.BAKERY, "tables", 0, result, waited=0.5)
        served.counts.add(ended, builders.NOW)
    bakery, florist = await served.run("list")
    assert (bakery["account"], bakery["source"]) == ("bakery", "limit rate")
    assert bakery["tier"] == 1
    assert bakery["counts"]["in_time"] == bakery["counts"]["late"] == 1
    assert (bakery["counts"]["granted"], bakery["counts"]["mean_wait"]) == (2, 0.5)
    assert (florist["source"], florist["tier"]) == ("default", None)
    assert florist["counts"] is None
    shown = await served.run("weight", "florist", "2.5")
    assert (shown["weight"], shown["source"]) == (2.5, "order")
    first, second = await served.run("list")
    assert (first["account"], first["weight"]) == ("florist", 2.5)
    assert second["account"] == "bakery"


async def test_a_reset_restores_the_weight_without_an_order(served: Served) -> None:
    await served.run("weight", "bakery", "2.5")
    shown = await served.run("reset", "bakery")
    assert (shown["weight"], shown["source"]) == (
        builders.FALLBACK_WEIGHT,
        "limit rate",
    )
    assert len(await served.run("list")) == 2


async def test_an_order_for_an_account_that_left_the_configuration_can_be_reset(
    served: Served,
) -> None:
    """Guards against orders that can't be taken back any more."""
    await served.run("weight", "florist", "2.5")
    served.current = configuration(builders.BAKERY)
    florist, _ = await served.run("list")
    assert (florist["account"], florist["is_configured"]) == ("florist", False)
    await served.run("reset", "florist")
    assert len(await served.run("list")) == 1


@pytest.mark.parametrize(
    ("name", "value", "remedy"),
    [
        ("bakery", "0", "above 0 and at most 1000"),
        ("bakery", "1001", "above 0 and at most 1000"),
        ("bakery", "nan", "above 0 and at most 1000"),
        ("bakery", "much", "above 0 and at most 1000"),
        ("butcher", "2", "no account 'butcher'.*tealcove accounts list"),
        ("a/../b?c", "2", "no account 'a/../b\\?c'"),
        ("bakery", "", "weight NAME VALUE"),
        ("", "2", "weight NAME VALUE"),
    ],
)
async def test_a_bad_order_names_its_remedy_and_changes_nothing(
    served: Served, name: str, value: str, remedy: str
) -> None:
    with pytest.raises(errors.SettingsError, match=remedy):
        await served.run("weight", name, value)
    assert not served.table.inner.rows
    assert not served.instance.weights.orders.orders


@pytest.mark.parametrize(
    "body", [b"{", b"[]", b'{"weight":"2"}', b'{"weight":0}', b'{"weight":1e999}']
)
async def test_the_instance_checks_orders_itself(served: Served, body: bytes) -> None:
    """Guards against scripts that call the port without the command."""
    url = f"http://127.0.0.1:{served.port}{handlers.PATH}/bakery"
    async with (
        command.admin.aiohttp.ClientSession() as session,
        session.put(url, data=body) as response,
    ):
        assert response.status == handlers.HTTP_BAD_REQUEST
        assert "weight" in await response.text()
    assert not served.table.inner.rows


async def test_without_the_store_an_order_is_rejected_and_changes_nothing(
    served: Served,
) -> None:
    await served.run("weight", "bakery", "2")
    served.table.inner.gate.faults = faults.Faults(down=True)
    for order in (("weight", "bakery", "3"), ("reset", "bakery")):
        with pytest.raises(
            errors.PlatformUnavailableError, match=r"nothing was changed.*platform"
        ):
            await served.run(*order)
    assert (await served.run("list"))[0]["weight"] == 2.0


async def test_an_order_without_a_reply_says_that_it_may_be_in_force(
    served: Served,
) -> None:
    served.table.lost = [False, False, False]
    with pytest.raises(errors.OutcomeUnknownError, match="may or may not be in force"):
        await served.run("weight", "bakery", "3")


async def test_before_a_configuration_is_known_orders_wait(served: Served) -> None:
    served.current = None
    with pytest.raises(errors.PlatformUnavailableError, match="no configuration yet"):
        await served.run("weight", "bakery", "3")
    assert await served.run("list") == []


async def test_the_command_line(
    served: Served, capsys: pytest.CaptureFixture[str]
) -> None:
    port = ["--port", str(served.port)]
    code = await cli.run(["accounts", "weight", "bakery", "2.5", *port])
    assert code is exits.Code.OK
    assert '"weight": 2.5' in capsys.readouterr().out
    assert await cli.run(["accounts", "list", *port]) is exits.Code.OK
    assert '"source": "order"' in capsys.readouterr().out
    bad = await cli.run(["accounts", "weight", "bakery", "0", *port])
    assert bad is exits.Code.FAILED
    assert "above 0 and at most 1000" in capsys.readouterr().err
    assert await cli.run(["accounts", "list", "bakery", *port]) is exits.Code.FAILED
    served.table.inner.gate.faults = faults.Faults(down=True)
    down = await cli.run(["accounts", "reset", "bakery", *port])
    assert down is exits.Code.UNAVAILABLE
    assert "nothing was changed" in capsys.readouterr().err
    assert await cli.run(["accounts", "list", "--port", "1"]) is exits.Code.UNAVAILABLE
    assert "admin_port" in capsys.readouterr().err
