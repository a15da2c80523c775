"""Types of numbers, addresses and keys, validated when they are decoded."""

from __future__ import annotations

import ipaddress
import urllib.parse
from typing import Annotated

import msgspec

# A number that messages between instances can hold.
Whole = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]

CURVE_KEY_LENGTH = 40
LARGEST_PORT = 65535


def is_ip(host: str) -> bool:
    """Return whether a host is an IP address; names aren't resolved."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


class Checked(str):
    """Base class of validated strings; `example` describes a valid one."""

    __slots__ = ()
    example = ""

    @classmethod
    def check(cls, text: str) -> None:
        """Raise ValueError if the text isn't valid for this type."""
        raise NotImplementedError


class IpNumber(Checked):
    """The IP address of one host; host names would need a name service."""

    __slots__ = ()
    example = "an IP number such as 10.0.0.7"

    @classmethod
    def check(cls, text: str) -> None:
        """Refuse names and 0.0.0.0, to which no other host can connect."""
        if ipaddress.ip_address(text).is_unspecified:
            raise ValueError(text)


class Address(Checked):
    """An IP address and a port."""

    __slots__ = ()
    example = "an IP number and a port such as 10.0.0.7:7001"

    @classmethod
    def check(cls, text: str) -> None:
        """Refuse host names and invalid ports."""
        host, _, port = text.rpartition(":")
        IpNumber.check(host.strip("[]"))
        if not 0 < int(port) <= LARGEST_PORT:
            raise ValueError(text)


class Url(Checked):
    """An HTTP URL whose host is an IP address."""

    __slots__ = ()
    example = "a URL with an IP number such as http://10.0.0.7:7080"

    @classmethod
    def check(cls, text: str) -> None:
        """Refuse other schemes, host names and port 0."""
        parts = urllib.parse.urlsplit(text)
        if parts.scheme not in ("http", "https") or parts.port == 0:
            raise ValueError(text)
        IpNumber.check(parts.hostname or "")


class CurveKey(Checked):
    """A public CURVE key, Z85-encoded."""

    __slots__ = ()
    example = f"a public key of {CURVE_KEY_LENGTH} characters in Z85 form"

    @classmethod
    def check(cls, text: str) -> None:
        """Refuse keys of another length."""
        if len(text) != CURVE_KEY_LENGTH:
            raise ValueError(text)


class Secret(CurveKey):
    """A secret CURVE key, which must not appear in logs or messages."""

    __slots__ = ()
    example = f"a secret key of {CURVE_KEY_LENGTH} characters in Z85 form"

    def __repr__(self) -> str:
        """Hide the key when a struct that contains it is printed."""
        return "Secret(...)"


def decode_checked(wanted: type, found: object) -> object:
    """Decode and validate a checked string; a `dec_hook` of msgspec."""
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
