"""Tests of the resource API over HTTP, some against a recorded session."""

from __future__ import annotations

import asyncio
import json

import pytest
from aiohttp import test_utils, web

from tealcove.resources import api, compaction, kinds, refusals, status
from tealcove.resources.tests import builders
from tealcove.storage import memory

SHOWN_HEADERS = ("Content-Type", "ETag", "Retry-After", "WWW-Authenticate")


class AllOfThree(status.StatusSource):
    def in_force(self, revision, now):
        return status.InForce(instances=3, of=3, since=0.25)


def authorise(request: web.Request) -> str:
    name = request.headers.get("Authorization", "").removeprefix("Bearer ")
    if name not in ("erwan", "robot"):
        raise refusals.UnauthorisedError(
            "the key belongs to no operator", "Send a declared operator's key."
        )
    return name


class Session:
    """Calls the API of an instance and records them for the snapshot."""

    def __init__(self, client: test_utils.TestClient) -> None:
        self.client = client
        self.notes: list[str] = []

    async def call(self, method, path, body=None, operator="erwan", **headers):
        headers = {name.replace("_", "-"): text for name, text in headers.items()}
        self.notes.append(f">> {method} {path} {headers or ''}".rstrip())
        if body is not None:
            self.notes.append(json.dumps(body))
        headers["Authorization"] = f"Bearer {operator}"
        async with self.client.request(
            method, f"/admin/v1/{path}", json=body, headers=headers
        ) as reply:
            shown = [
                f"{h}: {reply.headers[h]}" for h in SHOWN_HEADERS if h in reply.headers
            ]
            content = await reply.json(content_type=None)
            self.notes += [f"<< {reply.status}", *shown, json.dumps(content, indent=1)]
            return content


@pytest.fixture
def platform() -> memory.MemoryPlatform:
    return memory.MemoryPlatform()


@pytest.fixture
async def instance(platform) -> builders.Instance:
    return builders.instance(platform)


@pytest.fixture
async def handlers(instance) -> api.ResourceApi:
    return api.ResourceApi(instance.store, instance.copy, authorise, AllOfThree())


@pytest.fixture
async def session(handlers):
    app = web.Application(client_max_size=10_000)
    app.add_routes(handlers.routes())
    async with test_utils.TestClient(test_utils.TestServer(app)) as client:
        yield Session(client)


async def read_lines(reply, count: int) -> list[str]:
    async with asyncio.timeout(20):
        return [(await reply.content.readline()).decode() for _ in range(count)]


async def test_session(session, handlers, snapshot):
    gold = {"spec": {"rank": 1}}
    armor = {"spec": {"tier": "gold", "key_hashes": [builders.key_hash(0)]}}
    call = session.call
    await call("PUT", "service-tiers/gold", gold, operator="stranger")
    await call("PUT", "service-tiers/gold?dry_run=true", gold)
    await call("GET", "service-tiers/gold")
    await call("PUT", "service-tiers/gold", gold, Idempotency_Key="k1")
    await call("PUT", "service-tiers/gold", gold, Idempotency_Key="k1")
    await call("PUT", "service-tiers/gold", gold, operator="robot")
    await call("PUT", "service-tiers/gold", gold, operator="robot", If_None_Match="*")
    await call("PUT", "client-accounts/armor", armor, If_None_Match="*")
    patch = {"spec": {"tokens_per_second": 500, "key_hashes": None}}
    await call("PATCH", "client-accounts/armor", patch, "robot", If_Match='"2"')
    await call("PATCH", "client-accounts/armor", patch, If_Match='"2"')
    await call("DELETE", "service-tiers/gold", If_Match='"1"')
    await call("PUT", "service-tiers/tin", {"spec": {"rank": "x"}})
    await call("PUT", "service-tiers/tin", {"spec": {"rank": 3, "color": "grey"}})
    await call("PUT", "service-tiers/tin", {"spec": {}})
    await call("PUT", "service-tiers/Tin%0A", {"spec": {"rank": 3}})
    await call("PUT", "service-tiers/tin", {"kind": "models", "spec": {"rank": 3}})
    await call("PUT", "service-tiers/tin", {"spec": {"rank": 3}}, If_Match="seven")
    await call("PUT", "service-tiers/tin", {"spec": {"rank": 3}}, If_Match='"7"')
    await call("DELETE", "client-accounts/armor", If_Match='"3"')
    await call("DELETE", "service-tiers/gold", If_Match='"1"')
    await call("GET", "service-tiers")
    await call("GET", "colours")
    await call("GET", "status")
    async with session.client.get(
        "/admin/v1/client-accounts?watch=true&revision=0",
        headers={"Authorization": "Bearer erwan"},
    ) as reply:
        lines = await read_lines(reply, 4)
        handlers.end_watches()
        assert await reply.content.read() == b""
    session.notes += [">> GET client-accounts?watch=true&revision=0", *lines]
    assert "\n".join(session.notes) == snapshot


async def test_list_in_pages(session, instance):
    for number in range(5):
        spec = builders.tier(number)
        await instance.store.change(
            builders.put(kinds.Kind.SERVICE_TIER, f"t{number}", spec)
        )
    names, after = [], ""
    while after is not None:
        page = await session.call("GET", f"service-tiers?limit=2&after={after}")
        names.append([item["metadata"]["name"] for item in page["items"]])
        after = page["next"]
    assert names == [["t0", "t1"], ["t2", "t3"], ["t4"]]


async def test_watch_is_resumed_and_compacted(session, instance, platform):
    """A watch shows changes of other instances, resumes, and fails once compacted."""
    other = builders.instance(platform)
    operator = {"Authorization": "Bearer erwan"}
    path = "/admin/v1/service-tiers?watch=true&revision="
    async with session.client.get(path + "0", headers=operator) as reply:
        for number in range(3):
            spec = builders.tier(number)
            await other.store.change(
                builders.put(kinds.Kind.SERVICE_TIER, f"t{number}", spec)
            )
        await instance.catch_up()
        lines = [json.loads(line) for line in await read_lines(reply, 3)]
    assert [line["revision"] for line in lines] == [1, 2, 3]
    async with session.client.get(path + "2", headers=operator) as reply:
        assert json.loads((await read_lines(reply, 1))[0])["name"] == "t2"
    other.compactor.settings = compaction.CompactionSettings(1, 1)
    await other.compactor.compact()
    async with session.client.get(path + "1", headers=operator) as reply:
        assert reply.status == 410
    async with session.client.get(path + "2", headers=operator) as reply:
        assert reply.status == 200


async def test_platform_faults_are_distinguished(session, platform):
    """A fault before the write and one after it have different status codes."""
    gold = {"spec": {"rank": 1}}
    platform.faults.down = True
    problem = await session.call("PUT", "service-tiers/gold", gold)
    assert (problem["status"], problem["title"][-19:]) == (503, "nothing was applied")
    platform.faults.down = False
    builders.die_after_next_write(platform)
    problem = await session.call("PUT", "service-tiers/gold", gold)
    assert (problem["status"], problem["type"][-15:]) == (504, "outcome-unknown")


async def test_large_body_is_refused(session):
    problem = await session.call("PUT", "models/m", {"spec": {"version": "v" * 20_000}})
    assert problem["status"] == 413
