"""Strings that are checked when they are read: addresses and keys."""

from __future__ import annotations

import ipaddress
import urllib.parse

CURVE_KEY_LENGTH = 40
LARGEST_PORT = 65535


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
