"""Tests of reloading the settings at run time."""

from __future__ import annotations

import asyncio
import pathlib

import msgspec

from tealcove import logs
from tealcove.front import daemon, settings

ADDRESSES = {
    key: f"127.0.0.1:{port}"
    for port, key in enumerate(("callers", "ready", "directory", "peers"), 7000)
}


class FakeInstance:
    """Stand-in for an instance that records the settings applied to it."""

    def __init__(self) -> None:
        self.applied: list[settings.FrontSettings] = []

    def reload(self, found: settings.FrontSettings) -> None:
        self.applied.append(found)


def write(path: pathlib.Path, **changes: object) -> None:
    found = {
        "instance": "i-0",
        "data_centre": "dc-1",
        "listen": ADDRESSES,
        "store": {"address": "127.0.0.1:7004"},
        **changes,
    }
    path.write_bytes(msgspec.json.encode(found))


def reloader(path: pathlib.Path) -> tuple[daemon.Reloader, FakeInstance]:
    running = FakeInstance()
    handler = logs.JsonHandler(settings.load(str(path)))
    return daemon.Reloader(str(path), running, handler, asyncio.Event()), running


async def test_a_changed_file_is_noticed_without_a_signal(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "i.json"
    write(path)
    found, running = reloader(path)
    task = asyncio.create_task(found.run())
    write(path, repeats={"slack": 7}, log={"level": "error"})
    async with asyncio.timeout(30):
        while True:
            if running.applied:
                break
            await asyncio.sleep(0.01)
    task.cancel()
    assert running.applied[0].repeats.slack == 7
    assert found.handler.lowest == logs.LEVELS[settings.settings.Level.ERROR]


def test_an_invalid_file_changes_nothing(tmp_path: pathlib.Path) -> None:
    """Guard against a reload that stops an instance or drops its seeds.

    The settings file may be half written when the signal arrives; its content must
    be checked before it is applied.
    """
    path = tmp_path / "i.json"
    write(path)
    found, running = reloader(path)
    for content in (b"", b"{", b'{"instance": 7}', b"\xff\xfe"):
        path.write_bytes(content)
        found.reload()
    path.unlink()
    found.reload()
    assert running.applied == []


def test_the_deploy_template_names_only_known_settings() -> None:
    root = pathlib.Path(__file__).parents[4]
    text = (root / "deploy" / "instance.json.template").read_text("utf-8")
    for key in ("callers", "ready", "directory", "peers", "metrics_port"):
        assert f'"{key}"' in text
    known = {field.name for field in msgspec.structs.fields(settings.FrontSettings)}
    top = [line.strip() for line in text.splitlines() if line.startswith('  "')]
    assert {line.split('"')[1] for line in top} <= known
