"""The demo as a whole, scaled down."""

from __future__ import annotations

import json

import msgspec
import pytest

from tealcove import cli, demo
from tealcove.commands import exits
from tealcove.demonstration import mix, report

SEED = 5
SECONDS = 1.0
NO_FAULTS = report.Faults(
    lost=0,
    mixed_up=0,
    second_dispatches=0,
    not_run_but_dispatched=0,
    unexpected=0,
    strays=0,
)


async def test_every_request_has_one_end():
    told: list[str] = []
    found = await demo.play(SEED, SECONDS, told.append)
    assert found.faults == NO_FAULTS
    assert sum(row.sent for row in found.rows) == len(mix.requests(SEED, SECONDS))
    for row in found.rows:
        ends = (row.whole_in_time, row.whole_late, *row.shed.values())
        assert sum(ends) == row.sent
    whole = sum(row.whole_in_time + row.whole_late for row in found.rows[:-1])
    assert sum(one.completed for one in found.engines) >= whole > 0
    assert sum(one.decode_tokens for one in found.engines) > 0
    assert [row.name for row in found.rows] == [*mix.TIERS, report.PLAIN_SERVICE]
    assert "in force" in told[1]


@pytest.mark.parametrize(
    ("second_dispatches", "code"), [(0, exits.Code.OK), (1, exits.Code.FAILED)]
)
async def test_exit_code_and_json(monkeypatch, capsys, second_dispatches, code):
    async def play(seed, seconds, tell):
        tell("progress")
        faults = msgspec.structs.replace(NO_FAULTS, second_dispatches=second_dispatches)
        return report.Report(
            seed=seed,
            arrival_seconds=seconds,
            load=mix.LOAD,
            rows=(),
            engines=(),
            wasted_prefill=0.0,
            faults=faults,
        )

    monkeypatch.setattr(demo, "play", play)
    assert await cli.run(["demo", "--seed", "7", "--json"]) is code
    shown = capsys.readouterr()
    found = json.loads(shown.out)
    assert found["seed"] == 7
    assert found["faults"]["second_dispatches"] == second_dispatches
    assert shown.err.startswith("progress\n")
