"""Reads resources from files and folders of JSON with comments."""

from __future__ import annotations

import pathlib
import typing

import msgspec

from tealcove import errors, settingsfile
from tealcove.resources import kinds

PATTERN = "*.json"


class Declared(msgspec.Struct, frozen=True):
    """A resource as declared in a file."""

    kind: kinds.Kind
    name: str
    spec: kinds.Spec
    # The file that declares it, for messages.
    path: str


class Written(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The JSON object that declares a resource."""

    kind: kinds.Kind
    name: kinds.Name
    spec: dict[str, typing.Any]


def read(paths: list[str]) -> list[Declared]:
    """Read files, and folders recursively; raises errors.SettingsError.

    A file contains one resource or a list of them. A resource that is declared twice
    is refused: which declaration wins would depend on the file names.
    """
    found: list[Declared] = []
    for path in paths:
        for file in files_of(path):
            found.extend(read_file(file))
    check_duplicates(found)
    return found


def files_of(path: str) -> list[str]:
    """Return the path of a file, or those of all files in a folder, sorted."""
    folder = pathlib.Path(path)
    if not folder.is_dir():
        return [path]
    files = sorted(str(file) for file in folder.rglob(PATTERN))
    if not files:
        raise errors.SettingsError(
            f"{path}: contains no {PATTERN} file", "Name a folder of resources."
        )
    return files


def read_file(path: str) -> list[Declared]:
    """Read one file; raises errors.SettingsError."""
    content = settingsfile.parse(path)
    if not isinstance(content, list):
        return [declared(path, "$", content)]
    if not content:
        raise errors.SettingsError(
            f"{path}: declares nothing, its list is empty",
            "Write resources with a kind, a name and a spec into it, or remove it.",
        )
    return [declared(path, f"$[{n}]", item) for n, item in enumerate(content)]


def declared(path: str, location: str, content: object) -> Declared:
    """Check one resource; raises errors.SettingsError."""
    written = settingsfile.convert(path, location, content, Written)
    shape = kinds.SPECS[written.kind]
    spec = settingsfile.convert(path, f"{location}.spec", written.spec, shape)
    return Declared(kind=written.kind, name=written.name, spec=spec, path=path)


def check_duplicates(found: list[Declared]) -> None:
    """Raise errors.SettingsError if a resource is declared twice."""
    seen: dict[tuple[kinds.Kind, str], str] = {}
    for one in found:
        key = (one.kind, one.name)
        if key in seen:
            raise errors.SettingsError(
                f"{one.path}: {one.kind.value} {one.name} also declared in {seen[key]}",
                "Remove one of the two.",
            )
        seen[key] = one.path
