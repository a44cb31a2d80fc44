"""Tests of the exit codes and the output of `petrellane replay` and `property-search`."""

import pathlib
import subprocess
import sys


def assert_exits(exit_code: int, text: str, *arguments: str) -> None:
    """Run `petrellane`, and assert its exit code and that its output contains the text."""
    completed = subprocess.run(
        [sys.executable, "-m", "petrellane", *arguments],
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == exit_code, completed.stderr
    assert text in completed.stdout + completed.stderr


def test_replay_names_the_line_out_of_form(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "bad.ndjson"
    path.write_text('{"kind":"world"}\n')
    assert_exits(2, "bad.ndjson:1", "replay", str(path))


def test_replay_of_a_missing_file(tmp_path: pathlib.Path) -> None:
    assert_exits(2, "expected a scenario file", "replay", str(tmp_path / "none"))


def test_replay_of_a_seed() -> None:
    assert_exits(0, "no rule broken", "replay", "--seed", "5")


def test_replay_of_a_seed_that_is_no_number() -> None:
    assert_exits(2, "expected a whole number, found x", "replay", "--seed", "x")


def test_a_search_of_no_seeds() -> None:
    assert_exits(2, "seeds", "property-search", "--seeds", "0")
