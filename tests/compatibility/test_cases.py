"""Each test case of the build before has a successor among the tests that pytest collects.

A line of cases-now.txt is the name of a case of the build before, then the node ids of the tests
that took its place. An id without parameters stands for all of its parameters.
"""

import pathlib
import subprocess
import sys

from tests.compatibility import files

FOLDER = pathlib.Path(__file__).parent
BEFORE = [line.split()[1] for line in (FOLDER / "cases-before.txt").read_text().splitlines()]
NOW = [line.split() for line in (FOLDER / "cases-now.txt").read_text().splitlines()]


def collected() -> set[str]:
    """The node ids that pytest collects from the repository's root, with and without parameters."""
    words = ["-m", "pytest", "--collect-only", "-q", "-o", "addopts=", "-p", "no:cacheprovider"]
    ended = subprocess.run(
        [sys.executable, *words], cwd=files.ROOT, capture_output=True, text=True, check=False
    )
    assert ended.returncode == 0, ended.stdout[-2000:] + ended.stderr[-2000:]
    ids = [line for line in ended.stdout.splitlines() if "::" in line]
    return {*ids, *(node_id.partition("[")[0] for node_id in ids)}


def test_each_case_of_the_build_before_is_listed_once() -> None:
    assert len(BEFORE) == 367
    assert sorted(case for case, *_ in NOW) == sorted(BEFORE)


def test_no_test_is_the_successor_of_two_cases() -> None:
    successors = [node_id for _, *node_ids in NOW for node_id in node_ids]
    assert len(set(successors)) == len(successors)


def test_each_case_of_the_build_before_has_a_successor() -> None:
    found = collected()
    lost = [[case, *ids] for case, *ids in NOW if not ids or not found.issuperset(ids)]
    assert not lost
