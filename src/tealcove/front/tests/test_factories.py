"""Tests of the components that are created from the settings."""

from __future__ import annotations

import pathlib

import pytest

from tealcove.front import factories, settings
from tealcove.front.tests import test_daemon


@pytest.mark.parametrize(
    ("cores", "share", "processor_class"),
    [(1, 0.516, 0), (2, 0.537, 1), (1, 1.9, 1), (3, 0.717, 2), (1, 0.12, -3)],
)
def test_processor_classes_double(
    tmp_path: pathlib.Path, cores: int, share: float, processor_class: int
) -> None:
    path = tmp_path / "instance.json"
    test_daemon.write(path, machine={"cores": cores, "share": share})
    assert factories.processor_class_of(settings.load(str(path))) == processor_class
