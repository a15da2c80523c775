"""Tests of the command line against two instances of the resource API."""

from __future__ import annotations

import asyncio
import json

import cappa
import pytest
import pytest_asyncio

from tealcove import cli, client, connection, version
from tealcove.commands import exits
from tealcove.resources import kinds
from tealcove.tests import builders, test_settings

RESOURCES = str(test_settings.SAMPLES / "makindu" / "resources")
TIER = {"kind": "service-tiers", "name": "night", "spec": {"rank": 3}}
WAIT_SECONDS = 20
MANY = 99


@pytest_asyncio.fixture
async def fleet(monkeypatch):
    found = await builders.fleet()
    monkeypatch.setenv("TEALCOVE_SERVER", ",".join(one.url for one in found))
    monkeypatch.setenv("TEALCOVE_KEY", builders.OPERATOR_KEY)
    yield found
    for one in found:
        await one.stop()


@pytest.fixture
def tier_file(tmp_path):
    path = tmp_path / "tier.json"
    path.write_text(json.dumps(TIER))
    return path


def link(fleet):
    return client.Client([one.url for one in fleet], builders.OPERATOR_KEY)


async def test_apply_get_delete(fleet, capsys):
    assert await cli.run(["apply", RESOURCES, "--dry-run"]) is exits.Code.OK
    assert "15 of 15 would change." in capsys.readouterr().out
    assert fleet[0].copy.revision == 0
    assert await cli.run(["apply", RESOURCES, "--wait"]) is exits.Code.OK
    applied = capsys.readouterr()
    assert '+  "rank": 0,' in applied.out
    assert "15 of 15 changed.\nrevision 15\n" in applied.out
    assert "15 of 15: routing-rules/send-quote written" in applied.err
    assert await cli.run(["apply", RESOURCES]) is exits.Code.OK
    assert capsys.readouterr().out == "0 of 15 changed.\n"
    assert await cli.run(["get", "service-tiers"]) is exits.Code.OK
    assert capsys.readouterr().out.splitlines()[1].split()[0] == "batch"
    assert await cli.run(["delete", "service-tiers", "floor"]) is exits.Code.FAILED
    assert "in use" in capsys.readouterr().err
    assert await cli.run(["delete", "routing-rules", "drafts"]) is exits.Code.OK
    assert await cli.run(["get", "routing-rules", "drafts"]) is exits.Code.FAILED
    assert "routing-rules drafts doesn't exist" in capsys.readouterr().err


async def test_apply_checks_all_before_it_writes(fleet, tmp_path, capsys):
    account = {"kind": "client-accounts", "name": "a", "spec": {"tier": "absent"}}
    path = tmp_path / "all.json"
    path.write_text(json.dumps([TIER, account]))
    assert await cli.run(["apply", str(path)]) is exits.Code.FAILED
    assert "all.json: client-accounts a: " in capsys.readouterr().err
    assert await cli.run(["check", str(path)]) is exits.Code.OK
    with pytest.raises(SystemExit) as ended:
        await cli.run(["check", str(tmp_path)])
    assert ended.value.code == exits.Code.FAILED


async def test_conflicting_change_is_not_overwritten(fleet, tier_file, monkeypatch):
    """Guard against overwriting a concurrent change.

    An operator reads a resource, automation changes it, and the operator writes a
    change based on the first read. The write must name the revision it is based on.
    """
    await cli.run(["apply", str(tier_file)])
    read = client.Client.list

    async def read_then_changed(self, kind):
        found = await read(self, kind)
        if kind is kinds.Kind.SERVICE_TIER:
            await self.delete(kind, "night", found[0].metadata.revision)
        return found

    changed = json.dumps(TIER | {"spec": {"rank": 4}})
    tier_file.write_text(changed)
    monkeypatch.setattr(client.Client, "list", read_then_changed)
    assert await cli.run(["apply", str(tier_file)]) is exits.Code.CONFLICT
    async with link(fleet) as asking:
        assert await asking.get(kinds.Kind.SERVICE_TIER, "night") is None


async def test_write_with_lost_reply_is_applied_once(fleet, tier_file, capsys):
    """Guard against retries that are refused as a conflict or applied twice.

    The write is applied, its reply is lost, and the client retries at the next
    instance. The retry must carry the Idempotency-Key of the first attempt.
    """
    # aiohttp itself retries a PUT once, so losing one reply isn't enough.
    fleet[0].lost_replies = MANY
    assert await cli.run(["apply", str(tier_file)]) is exits.Code.OK
    assert "revision 1\n" in capsys.readouterr().out
    fleet[0].lost_replies = fleet[1].lost_replies = MANY
    assert await cli.run(["delete", "service-tiers", "night"]) is exits.Code.FAILED
    assert "isn't known" in capsys.readouterr().err


async def test_next_instance_answers_when_one_is_gone(fleet, capsys):
    await fleet[0].stop()
    assert await cli.run(["get", "models"]) is exits.Code.OK
    await fleet[1].stop()
    assert await cli.run(["get", "models"]) is exits.Code.UNAVAILABLE
    assert "No instance answers at http://127.0.0.1:" in capsys.readouterr().err


async def test_addresses_are_learnt_from_entry_points(fleet):
    async with link(fleet[:1]) as asking:
        await asking.entry_points()
        await fleet[0].stop()
        assert await asking.list(kinds.Kind.MODEL) == []


async def test_wait(fleet, tier_file, capsys):
    await cli.run(["apply", str(tier_file)])
    assert await cli.run(["wait"]) is exits.Code.OK
    assert "revision 1 is in force everywhere" in capsys.readouterr().out
    fleet[0].in_force_on = fleet[1].in_force_on = 1
    late = await cli.run(["wait", "--revision", "1", "--timeout", "0.3"])
    assert late is exits.Code.TIMEOUT
    assert "revision 1: 1 of 2" in capsys.readouterr().err


async def test_watch_resumes_at_another_instance(fleet, tier_file):
    """Guard against changes that a watch misses or reports twice.

    When its instance leaves between two changes, the watch must resume from the last
    revision seen, not from the newest or the first one.
    """
    seen: asyncio.Queue[client.Event] = asyncio.Queue()

    async def follow():
        async with link(fleet) as watching:
            async for event in watching.watch(kinds.Kind.SERVICE_TIER, 0):
                seen.put_nowait(event)

    following = asyncio.create_task(follow())
    await cli.run(["apply", str(tier_file)])
    first = await asyncio.wait_for(seen.get(), WAIT_SECONDS)
    await fleet[0].stop()
    await fleet[1].catch_up()
    await cli.run(["delete", "service-tiers", "night"])
    second = await asyncio.wait_for(seen.get(), WAIT_SECONDS)
    following.cancel()
    assert [(first.type, first.revision), (second.type, second.revision)] == [
        (client.PUT, 1),
        (client.DELETED, 2),
    ]
    assert seen.empty()


async def test_request(fleet, capsys):
    arguments = ["request", "--model", "m", "--once", "--deadline", "2.5", "prompt"]
    assert await cli.run(arguments) is exits.Code.OK
    assert capsys.readouterr().out == "Buckwheat\n"
    headers, body = fleet[0].requests[0]
    assert (headers["Tealcove-Deadline"], headers["Tealcove-Idempotent"]) == (
        "2.5",
        "no",
    )
    assert headers["Idempotency-Key"]
    assert body == {"model": "m", "prompt": "prompt", "max_tokens": 256}
    assert await cli.run([*arguments, "--stream"]) is exits.Code.OK
    assert capsys.readouterr().out == "Buckwheat\n"


async def test_truncated_stream_is_an_error(fleet, capsys):
    """Guard against treating a truncated answer as complete.

    The stream ends early without a transport error; the client must check for the
    final event with its count.
    """
    fleet[0].completion.pop()
    arguments = ["request", "--model", "m", "--stream", "prompt"]
    assert await cli.run(arguments) is exits.Code.FAILED
    assert "broke off" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("outcome", "code"),
    [("not_run", exits.Code.UNAVAILABLE), ("interrupted", exits.Code.FAILED)],
)
async def test_request_without_result(fleet, capsys, outcome, code):
    fleet[0].refusal = {"status": 503, "title": "Sorry", "outcome": outcome}
    assert await cli.run(["request", "--model", "m", "prompt"]) is code
    assert "Sorry" in capsys.readouterr().err
    assert not fleet[1].requests


async def test_entry_points_and_key_file(fleet, tmp_path, monkeypatch, capsys):
    assert await cli.run(["entry-points"]) is exits.Code.OK
    assert fleet[1].url in capsys.readouterr().out
    monkeypatch.delenv("TEALCOVE_KEY")
    assert await cli.run(["get", "models"]) is exits.Code.FAILED
    (tmp_path / "key").write_text(builders.OPERATOR_KEY + "\n")
    key_file = ["--key-file", str(tmp_path / "key")]
    assert await cli.run(["get", "models", *key_file]) is exits.Code.OK


def test_usage_help_and_version(capsys):
    for argv, code in ((["--version"], 0), (["--help"], 0), (["foo"], 2), (["get"], 2)):
        with pytest.raises(cappa.Exit) as ended:
            cli.main(argv)
        assert ended.value.code == code
    shown = capsys.readouterr().out
    assert version.VERSION in shown
    assert "3 conflict" in shown
    with pytest.raises(SystemExit) as failed:
        cli.main(["serve", "--settings", "absent.json"])
    assert failed.value.code == exits.Code.FAILED


def test_each_command_has_a_page():
    pages = test_settings.SAMPLES.parent / "docs" / "commands"
    (subcommand,) = [
        argument
        for argument in cappa.collect(cli.Tealcove).arguments
        if isinstance(argument, cappa.Subcommand)
    ]
    for name in subcommand.options:
        assert (pages / f"{name}.md").read_text().startswith(f"# tealcove {name}\n")


def test_every_client_error_has_its_exit_code():
    conflict = connection.ConflictError(409, connection.Problem(title="t"))
    assert exits.code_for(conflict) is exits.Code.CONFLICT
    refused = connection.RefusedError(409, connection.Problem(title="t"))
    assert exits.code_for(refused) is exits.Code.FAILED
