"""Accounts as operators see them: counts, log lines and ordered weights."""

from __future__ import annotations

import asyncio
import contextlib
import io
from collections.abc import AsyncIterator, Iterator

import msgspec
import pytest

from tealcove import clock, errors, logs, settings
from tealcove.accounts import persistence
from tealcove.commands import accounts
from tealcove.front import instance
from tealcove.platform import names, store
from tests import platform_site

NOT_FOUND = 404
UNAUTHORIZED = 401
NOT_RUN = 503
# Longer than any test.
FOREVER_SECONDS = 3600.0


class Lines(io.StringIO):
    """The log as JSON lines."""

    def of(self, request: str) -> list[str]:
        """Return the messages about a request."""
        found = [msgspec.json.decode(one) for one in self.getvalue().splitlines()]
        return [one["message"] for one in found if one.get("request") == request]


@pytest.fixture
def lines() -> Iterator[Lines]:
    """Capture the log lines of all instances in this process."""
    found = Lines()
    handler = logs.JsonHandler(settings.Settings(instance="i", data_centre="dc"), found)
    handler.bubble = True
    with contextlib.ExitStack() as stack:
        stack.enter_context(handler.applicationbound())
        yield found


def results(at: instance.Instance) -> dict[tuple[str, str, str], float]:
    """Return the counts of an instance by account, result and reason."""
    return {
        (one.labels["account"], one.labels["result"], one.labels["reason"]): one.value
        for one in at.counts.count_samples()
    }


async def test_served_and_refused_requests_are_counted_by_account(
    lines: Lines,
) -> None:
    """Guards against operators who can't see whose requests are refused, or why."""
    async with platform_site.connected_site(1, 1) as site:
        first = site.instances[0]
        assert (await site.send("/safe/1")).status == 200
        assert (await site.send("/stream/1")).status == 200
        first.ingress.is_closed = True
        assert (await site.send("/safe/2")).status == NOT_RUN
        assert results(first) == {
            ("bakery", "in_time", ""): 1.0,
            ("bakery", "refused", "leaving"): 1.0,
        }
        text = first.metrics.metrics_text().decode()
        assert (
            'tealcove_accounts_requests_total{account="bakery",data_centre="dc-1",'
            'reason="leaving",result="refused",route="safe",urgency="0"} 1.0'
        ) in text
        assert (
            'tealcove_accounts_waited_seconds_count{account="bakery",'
            'data_centre="dc-1",route="stream",urgency="0"} 1.0'
        ) in text
    served = lines.of("r-1")
    assert "account bakery" in served[0]
    assert "served in time: account bakery, route safe, urgency 0" in served[-1]
    assert lines.of("r-3") == [
        "refused on arrival: leaving, retry after 0.200 s, "
        "account bakery, route safe, urgency 0"
    ]


async def test_each_request_has_a_line_that_says_how_it_ended(lines: Lines) -> None:
    """Guards against request ids of which the log knows no end.

    Requests that are turned away before they are accepted, and those whose callers
    disconnect while they wait for a slot, left no line at the entry.
    """
    async with platform_site.connected_site(1, 1) as site:
        first = site.instances[0]
        key = {names.API_KEY.replace("-", "_"): "wrong"}
        assert (await site.send("/absent/1")).status == NOT_FOUND
        assert (await site.send("/safe/1", **key)).status == UNAUTHORIZED
        server = site.servers[0]
        server.call_seconds = FOREVER_SECONDS
        waiting = asyncio.create_task(site.send("/safe/2"))
        await platform_site.until(lambda: bool(server.runs))
        waiting.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await waiting
        await platform_site.until(lambda: not first.ingress.in_progress)
        # A caller that isn't known isn't counted by account.
        assert results(first) == {
            ("bakery", "failed", "rejected"): 1.0,
            ("bakery", "caller_gone", ""): 1.0,
        }
    assert lines.of("r-1")[-1].startswith("rejected: status 404, No route leads there")
    assert "account bakery" in lines.of("r-1")[-1]
    assert lines.of("r-2")[-1].startswith("rejected: status 401, The key is not known")
    assert "wrong" not in lines.getvalue()
    assert lines.of("r-3")[-1].startswith("caller gone after")
    assert "account bakery, route safe, urgency 0" in lines.of("r-3")[-1]


@pytest.fixture
def table_calls(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Record the methods of all calls of the store about ordered weights."""
    found: list[str] = []
    original = store.StoreClient.call

    async def record(
        self: store.StoreClient,
        method: str,
        path: str,
        params: dict[str, str],
        content: bytes | None,
        *arguments: object,
    ) -> object:
        is_read = params.get("table") == persistence.TABLE
        if is_read or persistence.TABLE.encode() in (content or b""):
            found.append(method)
        return await original(self, method, path, params, content, *arguments)

    monkeypatch.setattr(store.StoreClient, "call", record)
    return found


async def call(at: instance.Instance, *words: str) -> object:
    """Run `tealcove accounts` on the machine of an instance."""
    action, name, value = (*words, "", "")[:3]
    port = at.settings.listen.admin_port
    command = accounts.Accounts(accounts.Action(action), name, value, port=port)
    return await command.send()


def weights(site: platform_site.Site) -> list[float]:
    """Return the weight of the account at all instances."""
    return [one.weights.weight(platform_site.ACCOUNT) for one in site.instances]


async def restart_all(site: platform_site.Site) -> None:
    """Replace all instances at once, as after a power failure."""
    count = len(site.instances)
    for one in list(site.instances):
        await site.end(one)
    for _ in range(count):
        await site.add_instance()


@contextlib.asynccontextmanager
async def ordered_site(
    instances: int, era: int | None = None
) -> AsyncIterator[platform_site.Site]:
    """Run a site whose instances take orders."""
    async with platform_site.connected_site(1, 0, era) as site:
        site.takes_orders = True
        for _ in range(instances):
            await site.add_instance()
        await platform_site.until(
            lambda: all(
                len(one.members.serving(clock.now())) == instances
                for one in site.instances
            )
        )
        yield site


async def test_an_order_at_one_instance_is_in_force_at_all(
    table_calls: list[str],
) -> None:
    """Guards against weights that differ, and against instances that poll the store.

    Each instance reads the table once, when it starts; an order is a read and a write.
    """
    async with ordered_site(3) as site:
        first, second, _ = site.instances
        assert weights(site) == [1.0, 1.0, 1.0]
        await platform_site.until(lambda: len(table_calls) == len(site.instances))
        began = clock.now()
        await call(first, "weight", platform_site.ACCOUNT, "2.5")
        await platform_site.until(lambda: weights(site) == [2.5] * 3)
        assert clock.now() - began < platform_site.TIMEOUT_SECONDS
        await call(second, "weight", platform_site.ACCOUNT, "4")
        await platform_site.until(lambda: weights(site) == [4.0] * 3)
        await call(first, "reset", platform_site.ACCOUNT)
        await platform_site.until(lambda: weights(site) == [1.0] * 3)
        assert table_calls == ["GET"] * 3 + ["GET", "POST"] * 3


async def test_orders_survive_the_replacement_of_all_instances() -> None:
    """Guards against weights that are lost, or older ones that come back."""
    async with ordered_site(2) as site:
        await call(site.instances[0], "weight", platform_site.ACCOUNT, "2.5")
        await call(site.instances[1], "weight", platform_site.ACCOUNT, "4")
        await restart_all(site)
        await platform_site.until(lambda: weights(site) == [4.0] * 2)
        await call(site.instances[0], "reset", platform_site.ACCOUNT)
        await restart_all(site)
        shown = await call(site.instances[1], "list")
        assert [(one["weight"], one["source"]) for one in shown] == [(1.0, "default")]


async def test_instances_without_the_store_learn_orders_from_others() -> None:
    """Guards against weights that differ while an instance is cut off."""
    async with ordered_site(2) as site:
        first, second = site.instances
        url, second.store.url = second.store.url, "http://127.0.0.1:1"
        await call(first, "weight", platform_site.ACCOUNT, "2.5")
        await platform_site.until(lambda: weights(site) == [2.5] * 2)
        with pytest.raises(
            errors.PlatformUnavailableError, match="nothing was changed"
        ):
            await call(second, "weight", platform_site.ACCOUNT, "9")
        second.store.url = url
        assert weights(site) == [2.5] * 2


async def test_orders_outlive_a_store_that_comes_back_from_a_copy() -> None:
    """Guards against the older order of the copy, and against its revisions.

    They are given out again, so that a newer order may get a lower number.
    """
    async with ordered_site(2, era=1) as site:
        first, second = site.instances
        table = site.store.memory.table
        row = (persistence.TABLE, platform_site.ACCOUNT)
        await call(first, "weight", platform_site.ACCOUNT, "2.5")
        saved = table.save()
        await call(second, "weight", platform_site.ACCOUNT, "3")
        await call(second, "weight", platform_site.ACCOUNT, "4")
        newest = table.rows[row].value
        await platform_site.until(lambda: weights(site) == [4.0] * 2)
        await site.store.restore(saved)
        await platform_site.until(lambda: table.rows[row].value == newest)
        assert weights(site) == [4.0] * 2
        await restart_all(site)
        await platform_site.until(lambda: weights(site) == [4.0] * 2)
        await call(site.instances[0], "weight", platform_site.ACCOUNT, "5")
        await platform_site.until(lambda: weights(site) == [5.0] * 2)


async def test_bad_orders_name_field_and_remedy() -> None:
    async with ordered_site(1) as site:
        first = site.instances[0]
        with pytest.raises(errors.SettingsError, match="above 0 and at most 1000"):
            await call(first, "weight", platform_site.ACCOUNT, "0")
        with pytest.raises(errors.SettingsError, match="no account 'butcher'"):
            await call(first, "weight", "butcher", "2")
        assert weights(site) == [1.0]


async def test_without_the_settings_nothing_is_read_or_told(
    table_calls: list[str],
) -> None:
    """Guards against calls of the store that nobody uses."""
    async with platform_site.connected_site(1, 2) as site:
        first, second = site.instances
        assert first.weights is None
        heartbeat = first.members.find(second.name)
        assert heartbeat.weights == 0
    assert not table_calls
