"""Reads files of JSON with comments into typed structs."""

from __future__ import annotations

import pathlib
import re
import typing

import msgspec
import msgspec.inspect
import pyjson5

from tealcove import checked, errors
from tealcove.resources import kinds

T = typing.TypeVar("T")

SECRET_WORD = "key"
TYPE_WORDS = {
    "int": "a whole number",
    "float": "a number",
    "str": "a string",
    "bool": "true or false",
    "object": "an object in braces",
    "array": "a list in brackets",
    "int | null": "a whole number or null",
    "float | null": "a number or null",
    "str | null": "a string or null",
    "object | null": "an object in braces, or null",
}
# Patterns as they appear in msgspec's messages: quoted and escaped.
NAME_PATTERN = repr(kinds.Name.__metadata__[0].pattern)
KEY_HASH_PATTERN = repr(kinds.KeyHash.__metadata__[0].pattern)
PATTERNS = {
    NAME_PATTERN: "a name of a-z, 0-9, dots, hyphens and underscores",
    KEY_HASH_PATTERN: "a SHA-256 in hex, 64 characters of 0-9 and a-f",
}
UNKNOWN_FIELD = re.compile(r"unknown field `(.*)`")
MISSING_FIELD = re.compile(r"missing required field `(.*)`")
EXPECTED = re.compile(r"Expected `(?P<type>[^`]*)`(?:, got .*|(?P<bound> .*))?$")
PATTERN = re.compile(r"matching regex ('.*')")
PLACE = re.compile(r"^(?P<problem>.*?)(?: - at `(?P<place>[^`]*)`)?$", re.DOTALL)
# A step is `.key`, `[3]`, or `[...]` for any key of a mapping.
STEP = re.compile(r"\.([A-Za-z_][A-Za-z_0-9]*)|\[(\d+|\.\.\.)\]")


def read(path: str, shape: type[T]) -> T:
    """Read a file into a struct; raises errors.SettingsError."""
    return convert(path, "$", parse(path), shape)


def convert(path: str, location: str, content: object, shape: type[T]) -> T:
    """Convert the content at a location in a file; raises errors.SettingsError."""
    try:
        return msgspec.convert(content, shape, dec_hook=checked.decode_checked)
    except msgspec.ValidationError as failure:
        raise conversion_error(path, location, str(failure), content, shape) from None


def parse(path: str) -> object:
    """Return a file's content as plain objects; raises errors.SettingsError."""
    try:
        text = pathlib.Path(path).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as failure:
        reason = getattr(failure, "strerror", None) or "isn't UTF-8"
        raise errors.SettingsError(
            f"{path}: can't be read: {reason}", "Name a file that can be read."
        ) from None
    if not text.strip():
        raise errors.SettingsError(
            f"{path}: is empty", "Write an object in braces; see docs/SETTINGS.md."
        )
    try:
        return pyjson5.decode(text)
    except (pyjson5.Json5DecoderException, ValueError, RecursionError) as failure:
        raise errors.SettingsError(
            f"{path}: {locate(text, str(failure))}",
            "Correct the JSON; comments and trailing commas are allowed.",
        ) from None


def locate(text: str, message: str) -> str:
    """Return a message with the line in place of the parser's offset."""
    offset = re.search(r"near (\d+)", message)
    if offset is None:
        return f"isn't JSON: {message}"
    line = text.count("\n", 0, int(offset[1])) + 1
    return f"line {line}: isn't JSON"


def location_error(
    path: str, location: str, problem: str, remedy: str
) -> errors.SettingsError:
    """Return the error for a location in a file."""
    return errors.SettingsError(f"{path}: {location}: {problem}", f"{remedy}.")


def conversion_error(
    path: str, root: str, message: str, content: object, shape: type
) -> errors.SettingsError:
    """Return an error of one line, with a remedy, for a message of msgspec."""
    parts = PLACE.match(message)
    assert parts is not None
    problem = parts["problem"]
    inner = parts["place"] or "$"
    location = root + inner.removeprefix("$")
    unknown = UNKNOWN_FIELD.search(problem)
    if unknown is not None:
        known = ", ".join(known_fields(shape, inner))
        return location_error(
            path, f"{location}.{unknown[1]}", "unknown key", f"Write one of: {known}"
        )
    missing = MISSING_FIELD.search(problem)
    if missing is not None:
        remedy = "Write that key; it has no default"
        return location_error(path, f"{location}.{missing[1]}", "missing", remedy)
    expected = EXPECTED.match(problem)
    if expected is not None:
        found = quote_value(content, inner)
        return location_error(
            path,
            location,
            f"{found}doesn't fit",
            f"Write {describe_expected(expected)}",
        )
    return location_error(path, location, problem, remedy_for(problem, shape, inner))


def describe_expected(expected: re.Match[str]) -> str:
    """Describe in words what msgspec expected."""
    bound = expected["bound"] or ""
    pattern = PATTERN.search(bound)
    if pattern is not None:
        return PATTERNS.get(pattern[1], f"a string that matches {pattern[1]}")
    return TYPE_WORDS.get(expected["type"], expected["type"]) + bound


def quote_value(content: object, inner: str) -> str:
    """Return the invalid value in quotes, or "it " for a key or a group.

    A plain key that was written in place of its hash must not reach a log.
    """
    if SECRET_WORD in inner:
        return "it "
    for step in STEP.finditer(inner):
        key: str | int = step[1] or int(step[2])
        try:
            content = content[key]  # type: ignore[index]
        except (KeyError, IndexError, TypeError):
            return "it "
    if isinstance(content, dict | list):
        return "it "
    return f"`{msgspec.json.encode(content).decode()}` "


def remedy_for(problem: str, shape: type, inner: str) -> str:
    """Describe what to write in place of an invalid value."""
    _, refusal, example = problem.partition(" isn't ")
    if refusal:
        return f"Write {example}"
    current = type_at(shape, inner)
    if isinstance(current, msgspec.inspect.EnumType):
        return f"Write one of: {', '.join(str(one.value) for one in current.cls)}"
    return "Write a value that docs/SETTINGS.md or docs/API.md allows"


def known_fields(shape: type, inner: str) -> tuple[str, ...]:
    """Return the keys that are allowed at a location such as `$.http`."""
    current = type_at(shape, inner)
    if not isinstance(current, msgspec.inspect.StructType):
        return ()
    return tuple(field.encode_name for field in current.fields)


def type_at(shape: type, inner: str) -> msgspec.inspect.Type | None:
    """Return the type at a location such as `$.http`."""
    current: msgspec.inspect.Type | None = msgspec.inspect.type_info(shape)
    for step in STEP.finditer(inner):
        current = inner_type(current, step[1])
    return current


def inner_type(
    current: msgspec.inspect.Type, key: str | None
) -> msgspec.inspect.Type | None:
    """Return the type of an item of a type; a key of None stands for an index."""
    if isinstance(current, msgspec.inspect.StructType):
        fields = {field.encode_name: field.type for field in current.fields}
        return without_null(fields.get(key))
    if isinstance(current, msgspec.inspect.VarTupleType | msgspec.inspect.ListType):
        return without_null(current.item_type)
    if isinstance(current, msgspec.inspect.DictType):
        return without_null(current.value_type)
    return None


def without_null(
    found: msgspec.inspect.Type | None,
) -> msgspec.inspect.Type | None:
    """Return the struct of an optional group, or the type itself."""
    if isinstance(found, msgspec.inspect.UnionType):
        return next(
            (one for one in found.types if isinstance(one, msgspec.inspect.StructType)),
            found,
        )
    return found
