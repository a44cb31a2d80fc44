"""`benchmarks/capacity.py` on a page and files in a folder of its own: exit codes and errors."""

import pathlib
from collections.abc import Callable
from typing import NamedTuple, Protocol

import orjson
import pytest

from benchmarks import capacity as capacity_script

PAGE_NAME = "CAPACITY.md"


class Ended(NamedTuple):
    """What became of a run of the script."""

    code: int
    error: str
    page: str


class RunScript(Protocol):
    """Runs the script, which checks the page or writes it."""

    def __call__(self, *, check: bool) -> Ended:
        """Return what became of the run."""


@pytest.fixture
def folder(tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> pathlib.Path:
    """Return a folder with a copy of the page and its files, which the script works on."""
    for name in ("capacity.toml", "scale.json", "messages.json"):
        (tmp_path / name).write_bytes((capacity_script.HERE / name).read_bytes())
    (tmp_path / PAGE_NAME).write_text(capacity_script.PAGE.read_text())
    (tmp_path / capacity_script.RUN.name).write_bytes(capacity_script.RUN.read_bytes())
    monkeypatch.setattr(capacity_script, "HERE", tmp_path)
    monkeypatch.setattr(capacity_script, "PAGE", tmp_path / PAGE_NAME)
    monkeypatch.setattr(capacity_script, "RUN", tmp_path / capacity_script.RUN.name)
    return tmp_path


@pytest.fixture
def run_script(folder: pathlib.Path, capsys: pytest.CaptureFixture[str]) -> RunScript:
    """Return a function that runs the script in the folder."""

    def run(*, check: bool) -> Ended:
        page = folder / PAGE_NAME
        code = 0
        try:
            capacity_script.main(check)
        except SystemExit as ended:
            code = ended.code
        return Ended(code, capsys.readouterr().err, page.read_text())

    return run


def test_the_check_passes_as_it_stands(run_script: RunScript) -> None:
    assert run_script(check=True)[:2] == (0, "")


def test_a_difference_ends_with_1_and_is_not_mended_by_a_check(
    folder: pathlib.Path, run_script: RunScript
) -> None:
    page = folder / PAGE_NAME
    before = page.read_text()
    page.write_text(before.replace("| hosts | 13,000 |", "| hosts | 12,000 |"))
    ended = run_script(check=True)
    assert ended[:2] == (
        1,
        "CAPACITY.md: table sizes, line 4: expected | hosts | 13,000 |, found | hosts | 12,000 |\n",
    )
    assert "| hosts | 12,000 |" in ended.page
    assert run_script(check=False) == (0, "", before)


def replace_file(name: str, text: str) -> Callable[[pathlib.Path], object]:
    """Return a function that writes this text into this file of a folder."""
    return lambda folder: (folder / name).write_text(text)


def remove_slopes(folder: pathlib.Path) -> None:
    """Take the slopes out of the figures of the scale runs."""
    scale = orjson.loads((folder / "scale.json").read_bytes())
    del scale["slopes"]
    (folder / "scale.json").write_bytes(orjson.dumps(scale))


@pytest.mark.parametrize(
    ("change", "message"),
    [
        (
            lambda folder: (folder / "scale.json").unlink(),
            "scale.json: expected a file that can be read",
        ),
        (replace_file("scale.json", "{"), "scale.json: "),
        (replace_file("messages.json", "[]"), "messages.json: expected an object"),
        (replace_file("capacity.toml", "[sizes"), "capacity.toml: "),
        (
            replace_file("scale-1200.txt", "words\n"),
            "scale-1200.txt: expected a line of JSON, found none",
        ),
        (remove_slopes, "scale.json: slopes: expected a table, found None"),
        (replace_file("CAPACITY.md", "none"), "page: <!-- table runs -->: expected"),
    ],
    ids=["no-file", "cut", "no-object", "no-toml", "no-run", "no-slopes", "no-markers"],
)
def test_a_bad_file_ends_with_2_and_one_line(
    folder: pathlib.Path,
    run_script: RunScript,
    change: Callable[[pathlib.Path], object],
    message: str,
) -> None:
    change(folder)
    ended = run_script(check=True)
    assert (ended.code, ended.error.count("\n")) == (2, 1)
    assert ended.error.startswith(message)
