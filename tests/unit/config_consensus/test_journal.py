"""The journal of a control process: it opens in one process at a time, and only if undamaged."""

import gc
import os
import pathlib
import sqlite3
from collections.abc import Iterator

import pytest

from petrellane.config_consensus.journal import Journal, JournalError

RECORD_COUNT = 40
CUT_STEP = 509  # bytes; a prime, so that cuts fall on all parts of a page


@pytest.fixture
def path(tmp_path: pathlib.Path) -> pathlib.Path:
    """Return the path of a journal that does not exist yet."""
    return tmp_path / "journal.db"


@pytest.fixture
def complete_journal(path: pathlib.Path) -> bytes:
    """Write a journal of several database pages, and return its bytes."""
    journal = Journal(str(path))
    for number in range(RECORD_COUNT):
        record = {"kind": "epoch", "number": number, "text": "x" * 200}
        journal.append(record, float(number))
    journal.close()
    return path.read_bytes()


def test_a_journal_has_what_was_appended(path: pathlib.Path) -> None:
    """Records persist after a close; a second process cannot open the file before that."""
    journal = Journal(str(path))
    journal.append({"kind": "epoch", "number": 1}, 5.0)
    with pytest.raises(JournalError, match="another control process has it"):
        Journal(str(path))
    journal.close()
    expected = [{"kind": "epoch", "number": 1, "at": 5.0}]
    assert Journal(str(path)).records() == expected


def test_a_journal_cut_at_any_byte_is_complete_or_refused(
    path: pathlib.Path, complete_journal: bytes
) -> None:
    """A truncated journal never opens with only some of its records."""
    for length in [*range(0, len(complete_journal), CUT_STEP), len(complete_journal) - 1]:
        path.write_bytes(complete_journal[:length])
        try:
            journal = Journal(str(path))
            assert len(journal.records()) in (0, RECORD_COUNT)  # an empty file is a new journal
            journal.close()
        except JournalError as error:
            assert "\n" not in str(error)


@pytest.fixture
def no_garbage_collection() -> Iterator[None]:
    """Disable garbage collection, which would close files that the code left open."""
    gc.disable()
    yield
    gc.enable()


def open_files() -> list[pathlib.Path]:
    """Return the targets of this process's file descriptors."""
    with os.scandir("/proc/self/fd") as descriptors:
        return [pathlib.Path(entry.path).readlink() for entry in descriptors if entry.is_symlink()]


@pytest.mark.usefixtures("no_garbage_collection")
def test_a_damaged_journal_is_refused_by_its_first_problem_and_closed(
    path: pathlib.Path, complete_journal: bytes
) -> None:
    """The error names the first problem, and the file does not stay open."""
    path.write_bytes(complete_journal[:-CUT_STEP])
    with pytest.raises(JournalError) as refusal:
        Journal(str(path))
    assert "expected a whole journal, found On tree page" in str(refusal.value)
    assert path.resolve() not in open_files()


def test_a_journal_of_another_version(path: pathlib.Path) -> None:
    """The error tells staff to start the build that wrote the journal."""
    database = sqlite3.connect(path)
    database.execute("CREATE TABLE records (x)")
    database.execute("PRAGMA user_version = 7")
    database.close()
    expected = "expected a journal of version 1, found 7: start the build that wrote it"
    with pytest.raises(JournalError, match=expected):
        Journal(str(path))
