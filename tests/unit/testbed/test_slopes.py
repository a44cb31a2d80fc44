"""Slopes by size: lines through points whose truth is known, the order of runs, and the script."""

import json
import pathlib
import random
import re
import subprocess
import sys
from collections.abc import Callable
from typing import Any, NamedTuple

import pytest

from benchmarks import scale
from petrellane.testbed import slopes

SCRIPT = pathlib.Path(scale.ROOT) / "benchmarks" / "scale.py"


def runs(
    figure: Callable[[float], float],
    values: tuple[int, ...] = (50, 400, 1_600, 6_500, 13_000),
    noise: float = 0.0,
    seed: int = 1,
) -> list[tuple[int, int, float]]:
    """Return (value, run, figure) of five runs a value, each off by a share of `noise` at most."""
    chance = random.Random(seed)
    return [
        (value, run, figure(value) * (1 + chance.uniform(-noise, noise)))
        for value in values
        for run in range(1, 6)
    ]


def almost(value: float, delta: float = 0.5e-7) -> Any:
    """Return what equals a float that differs by `delta` at most, by default half of 1e-7."""
    return pytest.approx(value, rel=0.0, abs=delta)


# Lines through points whose truth is known.


def test_a_line_is_found_as_it_was_made() -> None:
    found = slopes.fit(runs(lambda value: 0.5 + 0.01 * value))
    assert found.intercept == almost(0.5)
    assert found.slope == almost(0.01)
    assert found.predict(9_000) == almost(90.5)
    assert (found.is_line, found.note) == (True, "")
    assert [(point.value, point.runs) for point in found.points] == [
        (50, 5),
        (400, 5),
        (1_600, 5),
        (6_500, 5),
        (13_000, 5),
    ]


@pytest.mark.parametrize("seed", range(20))
def test_a_small_intercept_is_not_lost_under_a_large_point(seed: int) -> None:
    found = slopes.fit(runs(lambda value: 0.5 + 0.01 * value, noise=0.05, seed=seed))
    assert found.intercept == almost(0.5, delta=0.1)
    assert found.slope == almost(0.01, delta=0.0008)


def test_a_line_with_noise_is_a_line_and_its_spread_holds_the_truth() -> None:
    held = 0
    for seed in range(20):
        found = slopes.fit(runs(lambda value: 2.0 + 0.004 * value, noise=0.08, seed=seed))
        least, most = found.spread
        assert found.is_line, found.note
        assert least < most
        held += least <= 0.004 <= most
    assert held >= 17


def test_the_spread_is_of_the_runs_apart() -> None:
    rows = [(value, run, run * 0.01 * value) for value in (10, 20, 30, 40) for run in (1, 2, 3)]
    found = slopes.fit(rows)
    assert found.slope == almost(0.02)
    assert found.spread[0] == almost(0.01)
    assert found.spread[1] == almost(0.03)


def test_growth_with_the_square_is_no_line_and_the_note_says_so() -> None:
    found = slopes.fit(runs(lambda value: 1e-5 * value**2, (40, 400, 1_600, 4_100), noise=0.02))
    assert not found.is_line
    assert re.search(
        r"^not a line: at \d+ found [\d.e-]+, the line has [\d.e-]+; grows as size\^2\.0\d, "
        r"between the last two points as size\^2\.0\d$",
        found.note,
    )


def test_a_figure_that_levels_off_is_no_line() -> None:
    assert not slopes.fit(runs(lambda value: min(value, 1_600), noise=0.02)).is_line


def test_a_step_in_the_middle_is_no_line() -> None:
    assert not slopes.fit(runs(lambda value: 1.0 if value < 1_000 else 2.0, noise=0.02)).is_line


def test_a_figure_that_does_not_grow_is_a_flat_line() -> None:
    found = slopes.fit(runs(lambda _: 3.0, noise=0.05))
    assert (found.is_line, found.note) == (True, "flat")
    assert slopes.fit(runs(lambda _: 0.0))[:2] == (0.0, 0.0)


def test_a_run_that_failed_is_missed_in_the_spread_alone() -> None:
    rows = [row for row in runs(lambda value: 1 + value) if row[:2] != (400, 2)]
    found = slopes.fit(rows)
    assert found.slope == almost(1.0)
    assert found.points[1].runs == 4


def test_three_points_are_too_few() -> None:
    with pytest.raises(ValueError, match="^expected 4 points or more, found 3$"):
        slopes.fit(runs(lambda value: value, (1, 2, 3)))
    with pytest.raises(ValueError, match="^expected two values"):
        slopes.fit_straight_line([(1.0, 2.0), (1.0, 3.0)])


def test_a_prediction_is_judged_by_the_median_found() -> None:
    off, within = slopes.prediction_error(10.0, [11.0, 30.0, 11.9])
    assert off == almost(0.19)
    assert within
    off, within = slopes.prediction_error(10.0, [7.9])
    assert off == almost(-0.21)
    assert not within
    assert slopes.prediction_error(0.0, [0.0]) == (0.0, True)
    assert not slopes.prediction_error(0.0, [0.1])[1]


@pytest.mark.parametrize(
    ("value", "rounded"), [(123_456.0, 123_500.0), (0.00123456, 0.001235), (0.0, 0.0)]
)
def test_four_digits_are_kept(value: float, rounded: float) -> None:
    assert slopes.round_to_significant(value) == rounded


# Runs come interleaved, and the same from a seed.


def jobs(seed: int = 1) -> list[tuple[Any, ...]]:
    """Return the runs of two sizes in the order in which the script plays them."""
    options = scale.parser().parse_args(["--sizes", "hosts,methods", "--seed", str(seed)])
    checked = scale.checked(options)
    return scale.jobs_of(checked, checked.sizes, scale.MOST_JOBS)


def test_the_order_is_the_seeds() -> None:
    assert jobs() == jobs()
    assert jobs() != jobs(2)
    assert sorted(jobs()) == sorted(jobs(2))


def test_no_point_has_a_time_of_its_own() -> None:
    order = jobs()
    assert len(order) == 5 * 5 + 4 * 5
    for point in {job[1:3] for job in order}:
        places = [index for index, job in enumerate(order) if job[1:3] == point]
        assert places[-1] - places[0] > len(order) // 4, point


# The command line, the order in which it states and runs, and the form of its file.


class Ended(NamedTuple):
    """What became of a run of the script."""

    code: int
    output: str
    body: dict[str, Any]


Main = Callable[..., Ended]


@pytest.fixture
def out(tmp_path: pathlib.Path) -> pathlib.Path:
    """Return the file that the script writes."""
    return tmp_path / "scale.json"


@pytest.fixture
def main(out: pathlib.Path, capsys: pytest.CaptureFixture[str]) -> Main:
    """Return a function that runs the script here, with `play` in place of a run's processes."""

    def run_script(*words: str, play: Callable[..., dict[str, float]]) -> Ended:
        capsys.readouterr()
        code = scale.main(["--out", str(out), "--runs", "2", *words], play)
        return Ended(code, capsys.readouterr().out, json.loads(out.read_text()))

    return run_script


BAD_WORDS = [
    (["--sizes", "hosts,colour"], "--sizes: expected all, none or some of hosts, "),
    (["--runs", "0"], "--runs: expected 1 to 50, found 0"),
    (["--runs", "many"], "argument --runs: invalid int value: 'many'"),
    (["--jobs", "9"], "--jobs: expected 1 to 3, found 9"),
    (["--points", "hosts=1,2,3"], "--points hosts: expected 4 points or more, found 3"),
    (["--points", "hosts=1,2,3,none"], "--points hosts: expected a number above 0, found none"),
    (["--points", "colour=1"], "--points: expected SIZE=... with one of hosts, "),
    (
        ["--predict", "hosts=1600"],
        "--predict hosts: expected a value that no run has, found 1600",
    ),
    (["--predict", "hosts=-1"], "--predict hosts: expected a number above 0, found -1"),
    (
        ["--sizes", "methods", "--predict", "hosts=9000"],
        "--predict: expected a size that is run, found hosts",
    ),
    (["--sizes", "none"], "--sizes none: expected --hard or --sets with it, found neither"),
    (["--seconds", "nan"], "--seconds: expected above 0 and at most 60, found nan"),
    (
        ["--base", "/nowhere"],
        "--base: expected a checkout with petrellane/decisions/controller.py, found /nowhere",
    ),
    (
        ["--out", "/nowhere/x"],
        "--out: expected a file in a folder that is there, found /nowhere/x",
    ),
    (["--colour"], "unrecognized arguments: --colour"),
]


@pytest.mark.parametrize(
    ("words", "line"), BAD_WORDS, ids=[" ".join(words) for words, _ in BAD_WORDS]
)
def test_bad_words_take_one_line_and_exit_code_2(
    words: list[str], line: str, capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(SystemExit) as ended:
        scale.main(words, lambda *_: pytest.fail("nothing may be run"))
    error = capsys.readouterr().err
    assert (ended.value.code, error.count("\n")) == (2, 1)
    assert error.startswith("scale: " + line)


def test_a_prediction_is_written_before_it_is_run(main: Main, out: pathlib.Path) -> None:
    seen = []

    def play(shape: dict[str, Any], _: str) -> dict[str, float]:
        if shape["hosts"] == 9_000:
            seen.append(json.loads(out.read_text())["predictions"])
            return {"decision_p50_ms": 20.0, "cores": 1.0}
        return {
            "decision_p50_ms": 1.0 + 0.002 * shape["hosts"],
            "cores": 1e-6 * shape["hosts"] ** 2,
        }

    code, output, body = main("--sizes", "hosts", "--predict", "hosts=9000", play=play)
    stated = {
        "size": "hosts",
        "value": 9000,
        "figure": "decision_p50_ms",
        "stated": 19.0,
        "found": [],
        "off": None,
        "within": None,
    }
    assert seen == [[stated], [stated]]  # what is no line states nothing
    assert body["predictions"] == [stated | {"found": [20.0, 20.0], "off": 0.05263, "within": True}]
    assert output.index("stated: hosts 9000: decision_p50_ms 19") < output.index(
        "found:  hosts 9000"
    )
    assert (code, len(body["runs"])) == (0, 10)  # the prediction's runs are in no line


def test_a_prediction_that_is_off_ends_with_1(main: Main) -> None:
    def play(shape: dict[str, Any], _: str) -> dict[str, float]:
        return {"cores": 30.0 if shape["hosts"] == 9_000 else 0.002 * shape["hosts"]}

    code, output, body = main("--sizes", "hosts", "--predict", "hosts=9000", play=play)
    prediction = body["predictions"][0]
    assert (code, prediction["off"], prediction["within"]) == (1, 0.6667, False)
    assert "off by 67%, beyond 20%" in output


def test_a_run_that_fails_is_reported_and_the_rest_stands(main: Main) -> None:
    def play(shape: dict[str, Any], _: str) -> dict[str, float]:
        if shape["methods"] == 400 and shape["seed"] == 1_002:
            raise scale.Failed("void: the machine stood still")
        return {"settings_read_ms": 0.1 * shape["methods"]}

    code, output, body = main("--sizes", "methods", play=play)
    assert (code, len(body["runs"])) == (1, 7)
    assert "failed: methods-400-2 (this): void: the machine stood still\n" in output
    assert body["slopes"]["this"]["methods"]["settings_read_ms"]["slope"] == almost(0.1)


def test_hard_cases_go_beside_what_the_file_has(main: Main) -> None:
    before = main("--sizes", "methods", play=lambda *_: {"cores": 1.0}).body
    code, _, body = main("--sizes", "none", "--hard", "--sets", play=lambda *_: {"cores": 2.0})
    assert {key: body[key] for key in before} == before
    assert [row["case"] for row in body["hard"]] == list(scale.CASES)
    assert code == 0
    assert body["sets"][0]["figures"] == {"cores": 2.0}
    assert len(body["sets"]) == 1


BUILDS = ("this", "base")
POINTS = {"hosts": (4, 8, 12, 16), "methods": (2, 4, 6, 8)}
FIGURES = {
    "decision_p50_ms": "ms",
    "decision_p99_ms": "ms",
    "cores": "cores",
    "list_parse_ms": "ms",
    "list_whole_ms": "ms",
    "list_turn_ms": "ms",
    "list_change_ms": "ms",
    "settings_read_ms": "ms",
    "memory_mb": "MB",
}


def test_two_sizes_end_to_end(out: pathlib.Path) -> None:
    words = ["--sizes", "hosts,methods", "--runs", "1", "--seconds", "0.5"]
    for name, values in POINTS.items():
        words += ["--points", f"{name}={','.join(map(str, values))}"]
    words += ["--out", str(out), "--base", str(scale.ROOT)]
    ended = subprocess.run(
        [sys.executable, SCRIPT, *words], capture_output=True, text=True, timeout=60, check=False
    )
    assert ended.returncode == 0, ended.stdout + ended.stderr
    assert ended.stdout.endswith(f"; {out}\n")
    body = json.loads(out.read_text())
    assert set(body) == {
        "version",
        "commit",
        "base_commit",
        "machine",
        "load",
        "runs",
        "slopes",
        "predictions",
    }
    assert body["version"] == 1
    assert set(body["machine"]) == {"cores", "memory_gb", "python"}
    assert [row["order"] for row in body["runs"]] == list(range(1, 17))
    assert {(row["id"], row["build"]) for row in body["runs"]} == {
        (f"{name}-{value}-1", build)
        for name, values in POINTS.items()
        for value in values
        for build in BUILDS
    }
    for build in BUILDS:
        for name in POINTS:
            for figure, unit in FIGURES.items():
                row = body["slopes"][build][name][figure]
                assert set(row) == {
                    "unit",
                    "intercept",
                    "slope",
                    "spread",
                    "line",
                    "note",
                    "points",
                }
                assert [len(point) for point in row["points"]] == [5] * 4
                assert row["unit"] == unit
