"""Decodes what others wrote; all content that can't be read raises DecodeError."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

T = TypeVar("T")


class Decoder:
    """Decodes content by a decoder that is kept, for types that are decoded often."""

    def __init__(self, decoder: msgspec.json.Decoder | msgspec.msgpack.Decoder) -> None:
        self.decoder = decoder

    def decode(self, content: bytes) -> Any:
        """Return the decoded object; raises msgspec.DecodeError."""
        try:
            return self.decoder.decode(content)
        except (RecursionError, UnicodeError) as error:
            raise unreadable(error) from error


def decode_json(content: bytes | str | msgspec.Raw, kind: type[T]) -> T:
    """Return the object of a type in a JSON document; raises msgspec.DecodeError."""
    try:
        return msgspec.json.decode(content, type=kind)
    except (RecursionError, UnicodeError) as error:
        raise unreadable(error) from error


def decode_msgpack(content: bytes | msgspec.Raw, kind: type[T]) -> T:
    """Return the object of a type in MessagePack; raises msgspec.DecodeError."""
    try:
        return msgspec.msgpack.decode(content, type=kind)
    except (RecursionError, UnicodeError) as error:
        raise unreadable(error) from error


def unreadable(error: Exception) -> msgspec.DecodeError:
    """Return the error for content whose decoding failed with one of Python's own.

    msgspec raises RecursionError for deep nesting, also in fields that the type doesn't
    have, and UnicodeEncodeError for text with a lone surrogate, as in a header.
    """
    if isinstance(error, RecursionError):
        return msgspec.DecodeError("it is nested too deep")
    return msgspec.DecodeError(f"it isn't valid text: {error}")
