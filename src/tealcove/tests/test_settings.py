"""Tests of settings and resource files and of their error messages."""

from __future__ import annotations

import json
import pathlib

import msgspec
import msgspec.inspect
import pytest

from tealcove import errors, resourcefiles, settings, settingsfile

SAMPLES = pathlib.Path(__file__).parents[3] / "samples"
MINIMAL = {"instance": "a", "data_centre": "b"}
KEY = "k" * 40


def load(tmp_path, content):
    path = tmp_path / "a.json"
    path.write_text(content if isinstance(content, str) else json.dumps(content))
    return settings.load(str(path))


def test_comments_and_defaults(tmp_path):
    found = load(tmp_path, "{ // why\n instance: 'a', data_centre: 'b', }")
    assert found == settings.Settings(instance="a", data_centre="b")
    assert found.http.port == 7000


@pytest.mark.parametrize(
    ("extra", "line"),
    [
        ({"htp": 1}, "$.htp: unknown key. Write one of: instance, data_centre, http"),
        ({"http": {"tls": {"cert": ""}}}, "$.http.tls.cert: unknown key. Write one of"),
        ({"http": {"port": "1"}}, '$.http.port: `"1"` doesn\'t fit. Write a whole'),
        ({"http": {"port": 65536}}, "$.http.port: `65536` doesn't fit. Write a whole"),
        ({"http": {"host": "localhost"}}, "$.http.host: `localhost` isn't an IP num"),
        ({"http": {"host": "0.0.0.0"}}, "$.http.host: `0.0.0.0` isn't an IP number"),
        ({"http": {"host": 3}}, "$.http.host: `3` doesn't fit. Write a string"),
        ({"seeds": ["1.2.3.4:5", "1.2.3.4"]}, "$.seeds[1]: `1.2.3.4` isn't an IP num"),
        ({"seeds": ["1.2.3.4:0"]}, "$.seeds[0]: `1.2.3.4:0` isn't an IP number and"),
        ({"platform": {"url": "http://db:1"}}, "$.platform.url: `http://db:1` isn't a"),
        ({"log": {"level": "loud"}}, "$.log.level: Invalid enum value 'loud'. Write"),
        ({"instance": "A B"}, '$.instance: `"A B"` doesn\'t fit. Write a name of a-z'),
        ({"heartbeat": {"interval": 0}}, "$.heartbeat.interval: `0` doesn't fit. Wri"),
        ({"heartbeat": {"interval": 2.0}}, "$.heartbeat.suspect_after: 1.0 isn't abov"),
        ({"heartbeat": {"forget_after": 1}}, "$.heartbeat.forget_after: 1.0 isn't abo"),
        ({"data_centres": [{"name": "c"}]}, "$.data_centre: `b` isn't in $.data_cent"),
        (
            {"data_centres": [{"name": "b", "delays": {"z": 1}}]},
            "$.data_centres[0].delays: `z` isn't in $.data_centres. Write one of: b.",
        ),
        (
            {"data_centres": [{"name": "b"}, {"name": "b"}]},
            "$.data_centres[1]: `b` is defined twice. Remove one of the two.",
        ),
    ],
)
def test_errors_name_location_problem_and_remedy(tmp_path, extra, line):
    with pytest.raises(errors.SettingsError) as refusal:
        load(tmp_path, MINIMAL | extra)
    shown = str(refusal.value)
    assert shown.startswith(f"{tmp_path / 'a.json'}: {line}")
    assert "\n" not in shown


def test_errors_of_whole_files(tmp_path):
    with pytest.raises(errors.SettingsError, match=r"instance: missing\. Write that"):
        load(tmp_path, {})
    with pytest.raises(errors.SettingsError, match=r"line 2: isn't JSON\. Correct"):
        load(tmp_path, "{\n a: 1 2}")
    with pytest.raises(errors.SettingsError, match="can't be read: No such file"):
        settings.load(str(tmp_path / "absent.json"))


def test_keys_are_never_shown(tmp_path):
    """Guard against keys in messages and logs.

    An operator may write the plain key instead of its hash, and a struct with the
    secret CURVE key may be printed.
    """
    plain = {"name": "op", "key_hash": "plain-key"}
    with pytest.raises(errors.SettingsError) as refusal:
        load(tmp_path, MINIMAL | {"operators": [plain]})
    assert "plain-key" not in str(refusal.value)
    curve = {"public_key": "p" * 40, "secret_key": KEY, "allowed": []}
    assert KEY not in repr(load(tmp_path, MINIMAL | {"peer": {"curve": curve}}))
    curve["secret_key"] = KEY + "k"
    with pytest.raises(errors.SettingsError) as refusal:
        load(tmp_path, MINIMAL | {"peer": {"curve": curve}})
    assert KEY not in str(refusal.value)


def test_delays_apply_in_both_directions(tmp_path):
    centres = [{"name": "b", "delays": {"c": 0.5}}, {"name": "c"}]
    there = load(tmp_path, MINIMAL | {"data_centre": "c", "data_centres": centres})
    assert there.delay_to("b") == 0.5
    assert there.delay_to("c") == 0.0
    assert there.delay_to("d") is None


@pytest.mark.parametrize(("name", "count"), [("etiquette-armor", 6), ("makindu", 8)])
def test_samples_contain_complete_deployments(name, count):
    files = sorted((SAMPLES / name / "instances").glob("*.json"))
    instances = [settings.load(str(file)) for file in files]
    assert len({one.instance for one in instances}) == count
    assert len({(one.http.host, one.http.port) for one in instances}) == count
    assert {one.data_centre for one in instances} == {
        centre.name for centre in instances[0].data_centres
    }
    assert resourcefiles.read([str(SAMPLES / name / "resources")])


def test_resource_files_are_checked(tmp_path):
    path = tmp_path / "tiers.json"
    tier = {"kind": "service-tiers", "name": "high", "spec": {"rank": 0}}
    path.write_text(json.dumps([tier, tier | {"spec": {"rnk": 0}}]))
    with pytest.raises(errors.SettingsError, match=r"\$\[1\]\.spec\.rnk: unknown key"):
        resourcefiles.read([str(tmp_path)])
    path.write_text(json.dumps([tier, tier]))
    with pytest.raises(
        errors.SettingsError, match="service-tiers high also declared in"
    ):
        resourcefiles.read([str(tmp_path)])


def test_a_list_of_no_resources_is_refused(tmp_path):
    """Guard against accepting a file whose content was removed by mistake."""
    path = tmp_path / "tiers.json"
    path.write_text("[]")
    with pytest.raises(errors.SettingsError, match="declares nothing"):
        resourcefiles.read([str(path)])


def test_page_lists_every_setting():
    page = (SAMPLES.parent / "docs" / "SETTINGS.md").read_text()
    for name, default in leaves(msgspec.inspect.type_info(settings.Settings)):
        row = next(line for line in page.splitlines() if line.startswith(f"| `{name}`"))
        if isinstance(default, int | float | str):
            assert f"`{json.dumps(default)}`" in row


def leaves(found, prefix=""):
    """Yield the dotted name and the default of each setting."""
    for field in found.fields:
        name = prefix + field.encode_name
        inner = settingsfile.inner_type(found, field.encode_name)
        if isinstance(inner, msgspec.inspect.VarTupleType):
            item = settingsfile.inner_type(inner, None)
            if isinstance(item, msgspec.inspect.StructType):
                name, inner = f"{name}[]", item
        if isinstance(inner, msgspec.inspect.StructType):
            yield from leaves(inner, f"{name}.")
        else:
            yield name, field.default
