"""Measured files that CI reads: read to the same keys and values as by the build before."""

import json

import pytest

from tests.compatibility import build, files
from tests.compatibility.files import Json

RECORDED: Json = files.load("measured/readings.json")
BENCHMARKS = files.ROOT / "benchmarks"


@pytest.mark.parametrize("name", sorted(RECORDED["runs"]))
def test_scale_run_is_read_to_the_same_values(name: str) -> None:
    assert build.scale_run(files.RECORDED / "measured" / name) == RECORDED["runs"][name]


@pytest.mark.parametrize("name", sorted(RECORDED["runs"]))
def test_scale_run_of_the_repository_is_read_to_the_same_keys(name: str) -> None:
    found = build.scale_run(files.ROOT / "docs" / "runs" / name)
    assert sorted(found) == sorted(RECORDED["runs"][name])


@pytest.mark.parametrize("name", sorted(RECORDED["keys"]))
def test_measured_file_has_the_same_keys(name: str) -> None:
    assert files.key_paths(json.loads((BENCHMARKS / name).read_text())) == RECORDED["keys"][name]


def test_capacity_page_reads_the_same_keys() -> None:
    found = [files.key_paths(content) for content in build.capacity_inputs(BENCHMARKS)]
    assert found == RECORDED["inputs"]


def test_capacity_tables_are_worked_out_the_same() -> None:
    tables = build.capacity_tables(BENCHMARKS)
    assert [[str(table[0]), len(table[2])] for table in tables] == RECORDED["tables"]
