"""Markdown tables, and pages that contain generated ones."""

from __future__ import annotations

import re
from collections.abc import Iterable


def row(cells: Iterable[str]) -> str:
    """Return a row of a Markdown table."""
    return "| " + " | ".join(cells) + " |\n"


def header(names: list[str]) -> str:
    """Return the header lines of a Markdown table."""
    return row(names) + row(["---"] * len(names))


def replace_tables(page: str, tables: dict[str, str]) -> str:
    """Return a page with the tables between its HTML comments replaced."""

    def replacement(match: re.Match[str]) -> str:
        name = match.group(2)
        if name not in tables:
            return match.group(0)
        return f"<!-- {name} -->\n{tables[name]}<!-- end -->"

    pattern = re.compile(r"(<!-- ([a-z ]+) -->\n).*?(<!-- end -->)", re.DOTALL)
    return pattern.sub(replacement, page)
