"""Tests that are known to fail for a real fault: read from KNOWN-RED.txt, and held against what a run told.

The file has a line a test, `TEST | CAUSE | ISSUE`, three at most, where TEST is the test's full name, as in
`tests.runner.Sockets.test_term`. A run passes over just these and prints each with its cause. It fails where the file is out
of form, names a test that does not exist or one twice, or where a listed test passes: then its line is to go. No file, or an
empty one, means that none is known.
"""

import pathlib
import unittest
from collections.abc import Iterable
from typing import NamedTuple

FILE = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3


class Known(NamedTuple):
    """One line of the file."""

    test: str
    cause: str
    issue: str


class BadFile(ValueError):
    """The file is not as it has to be; the text says where, what was expected and what was found."""


def read(text: str, name: str = FILE.name) -> list[Known]:
    """The lines of the file; BadFile where one is out of form, or there are too many."""
    known = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        words = [word.strip() for word in line.split("|")]
        if len(words) != 3 or not all(words):
            raise BadFile(
                f"{name}:{number}: expected 'TEST | CAUSE | ISSUE', found {line.strip()!r}"
            )
        if any(one.test == words[0] for one in known):
            raise BadFile(f"{name}:{number}: expected each test once, found {words[0]} again")
        known.append(Known(*words))
        if len(known) > MOST:
            raise BadFile(f"{name}:{number}: expected {MOST} lines at most, found one more")
    return known


def load(path: pathlib.Path = FILE) -> list[Known]:
    """What is known to fail; BadFile as `read` raises it."""
    return read(path.read_text(), path.name) if path.exists() else []


def missing(known: Iterable[Known], names: Iterable[str]) -> list[str]:
    """A line for each listed test that is none of these."""
    names = set(names)
    return [f"{FILE.name}: no such test: {one.test}" for one in known if one.test not in names]


def name_of(test: unittest.TestCase) -> str:
    """The full name of a test, or of the test that a part of one belongs to, however the runner was started."""
    return getattr(test, "test_case", test).id().replace("__main__.", "tests.runner.", 1)


def names_of(suite: unittest.TestSuite) -> list[str]:
    """The full names of all tests of a suite."""
    return [
        name
        for one in suite
        for name in (names_of(one) if isinstance(one, unittest.TestSuite) else [name_of(one)])
    ]


def judged(
    known: Iterable[Known], ran: Iterable[str], failed: Iterable[str]
) -> tuple[int, int, list[str]]:
    """How many tests passed and failed, those that are known to fail apart, and what is to be printed: each of these with
    its cause, or that it has passed, which counts as a failure."""
    ran, failed, said = set(ran), set(failed), []
    known = {one.test: one for one in known if one.test in ran}
    red = failed & known.keys()
    for name in sorted(known):
        one = known[name]
        said.append(
            f"known red: {name}: {one.cause} ({one.issue})"
            if name in red
            else f"{name} passes: take its line out of {FILE.name}"
        )
    bad = len(failed - red) + len(known.keys() - red)
    return len(ran) - len(red) - bad, bad, said
