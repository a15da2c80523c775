"""Output of commands: results on standard output, progress on standard error."""

from __future__ import annotations

import difflib
import sys
import typing

import msgspec

COLUMN_GAP = "  "


def pretty(value: object) -> str:
    """Return a value as indented JSON, without sorting its keys."""
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


def table(rows: typing.Sequence[typing.Sequence[object]]) -> str:
    """Return rows as a table with aligned columns; the first row is the header."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    lines = []
    for row in texts:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append(COLUMN_GAP.join(cells).rstrip())
    return "\n".join(lines)


def diff(title: str, before: object, after: object) -> str:
    """Return the changes from one value to another as a unified diff."""
    old = [] if before is None else pretty(before).splitlines()
    new = [] if after is None else pretty(after).splitlines()
    lines = difflib.unified_diff(old, new, f"{title} (now)", f"{title} (new)", "", "")
    return "\n".join(line.rstrip() for line in lines)


def progress(text: str) -> None:
    """Print a progress message to standard error."""
    print(text, file=sys.stderr, flush=True)
