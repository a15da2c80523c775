"""Reading files of JSON with comments into typed structs."""

from __future__ import annotations

import ipaddress
import pathlib
import re
import typing
import urllib.parse

import msgspec
import msgspec.inspect
import pyjson5

from tealcove import errors

T = typing.TypeVar("T")

CURVE_KEY_LENGTH = 40
LARGEST_PORT = 65535
UNKNOWN_FIELD = re.compile(r"unknown field `(.*)`")
PLACE = re.compile(r"^(?P<problem>.*?)(?: - at `(?P<place>[^`]*)`)?$", re.DOTALL)
STEP = re.compile(r"\.([A-Za-z_][A-Za-z_0-9]*)|\[")


class Checked(str):
    """A string that is checked when it's read; `example` tells a valid one."""

    __slots__ = ()
    example = ""

    @classmethod
    def check(cls, text: str) -> None:
        """Raise ValueError if the text is none of this type."""
        raise NotImplementedError


class IpNumber(Checked):
    """The IP number of one host; a name would need a name service."""

    __slots__ = ()
    example = "an IP number such as 10.0.0.7"

    @classmethod
    def check(cls, text: str) -> None:
        """Refuse names and 0.0.0.0, which nobody else could connect to."""
        if ipaddress.ip_address(text).is_unspecified:
            raise ValueError(text)


class Address(Checked):
    """An IP number and a port."""

    __slots__ = ()
    example = "an IP number and a port such as 10.0.0.7:7001"

    @classmethod
    def check(cls, text: str) -> None:
        """Refuse names and ports that don't exist."""
        host, _, port = text.rpartition(":")
        IpNumber.check(host.strip("[]"))
        if not 0 < int(port) <= LARGEST_PORT:
            raise ValueError(text)


class Url(Checked):
    """An HTTP URL whose host is an IP number."""

    __slots__ = ()
    example = "a URL with an IP number such as http://10.0.0.7:7080"

    @classmethod
    def check(cls, text: str) -> None:
        """Refuse other schemes, names and ports that don't exist."""
        parts = urllib.parse.urlsplit(text)
        if parts.scheme not in ("http", "https") or parts.port == 0:
            raise ValueError(text)
        IpNumber.check(parts.hostname or "")


class CurveKey(Checked):
    """A public key of CURVE in Z85 form."""

    __slots__ = ()
    example = f"a public key of {CURVE_KEY_LENGTH} characters in Z85 form"

    @classmethod
    def check(cls, text: str) -> None:
        """Refuse keys of another length."""
        if len(text) != CURVE_KEY_LENGTH:
            raise ValueError(text)


class Secret(CurveKey):
    """A secret key of CURVE, which no log line or message may show."""

    __slots__ = ()
    example = f"a secret key of {CURVE_KEY_LENGTH} characters in Z85 form"

    def __repr__(self) -> str:
        """Hide the key where a struct that holds it is printed."""
        return "Secret(...)"


def read(path: str, shape: type[T]) -> T:
    """Read a file into a struct; raises errors.SettingsError."""
    content = parse(path)
    try:
        return msgspec.convert(content, shape, dec_hook=decode_checked)
    except msgspec.ValidationError as failure:
        raise explained(path, str(failure), shape) from None


def parse(path: str) -> object:
    """Return a file's content as plain objects; raises errors.SettingsError."""
    try:
        text = pathlib.Path(path).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as failure:
        reason = getattr(failure, "strerror", None) or "isn't UTF-8"
        raise errors.SettingsError(
            f"{path}: can't be read: {reason}", "Name a file that can be read."
        ) from None
    try:
        return pyjson5.decode(text)
    except pyjson5.Json5DecoderException as failure:
        raise errors.SettingsError(
            f"{path}: {locate(text, str(failure))}",
            "Correct the JSON; comments and trailing commas are allowed.",
        ) from None


def locate(text: str, message: str) -> str:
    """Say the line in place of the offset that the parser names."""
    offset = re.search(r"near (\d+)", message)
    if offset is None:
        return f"isn't JSON: {message}"
    line = text.count("\n", 0, int(offset[1])) + 1
    return f"line {line}: isn't JSON"


def decode_checked(wanted: type, found: object) -> object:
    """Decode the checked strings, for msgspec."""
    if not issubclass(wanted, Checked):
        raise NotImplementedError(wanted)
    if not isinstance(found, str):
        raise ValueError(f"Expected `str`, got `{type(found).__name__}`")
    shown = "it" if issubclass(wanted, Secret) else f"`{found}`"
    try:
        wanted.check(found)
    except ValueError:
        raise ValueError(f"{shown} isn't {wanted.example}") from None
    return wanted(found)


def refused(path: str, place: str, problem: str, remedy: str) -> errors.SettingsError:
    """Return the error for one place in a file."""
    return errors.SettingsError(f"{path}: {place}: {problem}", f"{remedy}.")


def explained(path: str, message: str, shape: type) -> errors.SettingsError:
    """Turn msgspec's message into one line that says what to write."""
    parts = PLACE.match(message)
    assert parts is not None
    problem = parts["problem"]
    place = parts["place"] or "$"
    unknown = UNKNOWN_FIELD.search(problem)
    if unknown is not None:
        known = ", ".join(known_fields(shape, place))
        return refused(
            path, f"{place}.{unknown[1]}", "unknown key", f"Write one of: {known}"
        )
    return refused(path, place, problem, remedy_for(problem))


def remedy_for(problem: str) -> str:
    """Say what to write in the place of what msgspec refused."""
    _, refusal, wanted = problem.partition(" isn't ")
    if refusal:
        return f"Write {wanted}"
    if "missing required field" in problem:
        return "Write that key; it has no default"
    if problem.startswith("Expected"):
        wanted = problem.removeprefix("Expected ").split(", got")[0]
        return f"Write {wanted}"
    return "Write one of the values that docs/SETTINGS.md lists"


def known_fields(shape: type, place: str) -> tuple[str, ...]:
    """Return the keys that may stand at a place such as `$.http`."""
    current = msgspec.inspect.type_info(shape)
    for step in STEP.finditer(place):
        current = inner_type(current, step[1])
    if not isinstance(current, msgspec.inspect.StructType):
        return ()
    return tuple(field.encode_name for field in current.fields)


def inner_type(
    current: msgspec.inspect.Type, key: str | None
) -> msgspec.inspect.Type | None:
    """Return the type one step further; a key of None is an index."""
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
    """Return the struct of an optional group."""
    if isinstance(found, msgspec.inspect.UnionType):
        return next(
            (one for one in found.types if isinstance(one, msgspec.inspect.StructType)),
            found,
        )
    return found
