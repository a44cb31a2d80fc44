"""Each test case of the build before has a successor among the tests that pytest collects.

A line of cases-now.txt is the name of a case of the build before, then the node ids of the tests
that took its place. An id without parameters stands for all of its parameters.
"""

import pathlib
import subprocess
import sys

from tests.compatibility import files

FOLDER = pathlib.Path(__file__).parent
CASE_COUNT = 367  # of the build before
BEFORE = [line.split()[1] for line in (FOLDER / "cases-before.txt").read_text().splitlines()]
NOW = [line.split() for line in (FOLDER / "cases-now.txt").read_text().splitlines()]

COLLECT = ["-m", "pytest", "--collect-only", "-q", "-o", "addopts=", "-p", "no:cacheprovider"]
SHOWN = 2000  # characters of a failed collection's output


def collect_node_ids() -> set[str]:
    """Return the node ids that pytest collects, with and without parameters."""
    collection = subprocess.run(
        [sys.executable, *COLLECT], cwd=files.ROOT, capture_output=True, text=True, check=False
    )
    output = collection.stdout
    assert collection.returncode == 0, output[-SHOWN:] + collection.stderr[-SHOWN:]
    ids = [line for line in output.splitlines() if "::" in line]
    return {*ids, *(node_id.partition("[")[0] for node_id in ids)}


def test_each_case_of_the_build_before_is_listed_once() -> None:
    assert len(BEFORE) == CASE_COUNT
    assert sorted(case for case, *_ in NOW) == sorted(BEFORE)


def test_no_test_is_the_successor_of_two_cases() -> None:
    successors = [node_id for _, *node_ids in NOW for node_id in node_ids]
    assert len(set(successors)) == len(successors)


def test_each_case_of_the_build_before_has_a_successor() -> None:
    collected = collect_node_ids()
    lost = [[case, *ids] for case, *ids in NOW if not ids or not collected.issuperset(ids)]
    assert not lost
