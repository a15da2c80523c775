"""Tests that the documentation is complete."""

from __future__ import annotations

import pathlib

import msgspec

from tealcove.dispatch import messages
from tealcove.entry import problem
from tealcove.resources import kinds, problems

DOCS = pathlib.Path(__file__).parents[3] / "docs"


def test_api_page_names_all_fields_reasons_and_problems() -> None:
    page = (DOCS / "API.md").read_text()
    specs = [*kinds.SPECS.values(), kinds.BackendServerSpec]
    wanted = {field.name for spec in specs for field in msgspec.structs.fields(spec)}
    wanted |= {kind.value for kind in kinds.Kind}
    wanted |= {reason.value for reason in messages.RefusalReason}
    wanted |= {outcome.value for outcome in problem.Outcome}
    wanted |= {kind.name for kind in problems.PROBLEM_TYPES}
    assert [name for name in sorted(wanted) if f"`{name}`" not in page] == []
