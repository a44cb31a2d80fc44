"""`benchmarks/scale.py`: the order of its runs, its command line, and the form of its file."""

import json
import pathlib
import subprocess
import sys
from collections.abc import Callable
from typing import Any, NamedTuple

import pytest

from benchmarks import scale, scale_options, scale_runs, scale_sizes
from tests.unit.testbed.tolerance import almost

SCRIPT = scale_sizes.ROOT / "benchmarks" / "scale.py"

# Runs are interleaved, in an order that a seed fixes.


def jobs(seed: int = 1) -> list[scale_runs.Job]:
    """Return the runs of two sizes in the order in which the script plays them."""
    arguments = ["--sizes", "hosts,methods", "--seed", str(seed)]
    options = scale_options.check_arguments(scale_options.build_parser("").parse_args(arguments))
    return list(scale_runs.jobs_of(options, options.sizes, scale_sizes.MAXIMUM_JOBS))


def test_a_seed_fixes_the_order() -> None:
    assert jobs() == jobs()
    assert jobs() != jobs(2)
    assert sorted(jobs()) == sorted(jobs(2))


def test_the_runs_of_a_point_are_spread_over_the_order() -> None:
    order = jobs()
    assert len(order) == 5 * 5 + 4 * 5
    for point in {(job.size, job.value) for job in order}:
        positions = [index for index, job in enumerate(order) if (job.size, job.value) == point]
        assert positions[-1] - positions[0] > len(order) // 4, point


# The command line, the order of predictions and runs, and the form of the file.


class Ended(NamedTuple):
    """What became of a run of the script."""

    code: int
    output: str
    body: dict[str, Any]


RunScript = Callable[..., Ended]


@pytest.fixture
def output_file(tmp_path: pathlib.Path) -> pathlib.Path:
    """Return the file that the script writes."""
    return tmp_path / "scale.json"


@pytest.fixture
def run_script(output_file: pathlib.Path, capsys: pytest.CaptureFixture[str]) -> RunScript:
    """Return a function that runs the script here, with `play` in place of a run's processes."""

    def run(*arguments: str, play: scale_runs.Play) -> Ended:
        capsys.readouterr()
        code = scale.main(["--out", str(output_file), "--runs", "2", *arguments], play)
        return Ended(code, capsys.readouterr().out, json.loads(output_file.read_text()))

    return run


BAD_ARGUMENTS = [
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
    ("arguments", "message"),
    BAD_ARGUMENTS,
    ids=[" ".join(arguments) for arguments, _ in BAD_ARGUMENTS],
)
def test_bad_arguments_are_rejected_in_one_line_with_exit_code_2(
    arguments: list[str], message: str, capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(SystemExit) as ended:
        scale.main(arguments, lambda *_: pytest.fail("nothing may be run"))
    error = capsys.readouterr().err
    assert (ended.value.code, error.count("\n")) == (2, 1)
    assert error.startswith("scale: " + message)


def test_a_prediction_is_written_before_it_is_run(
    run_script: RunScript, output_file: pathlib.Path
) -> None:
    seen = []

    def play(shape: scale_sizes.Shape, _: str) -> scale_runs.Figures:
        if shape["hosts"] == 9_000:
            seen.append(json.loads(output_file.read_text())["predictions"])
            return {"decision_p50_ms": 20.0, "cores": 1.0}
        return {
            "decision_p50_ms": 1.0 + 0.002 * shape["hosts"],
            "cores": 1e-6 * shape["hosts"] ** 2,
        }

    code, output, body = run_script("--sizes", "hosts", "--predict", "hosts=9000", play=play)
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


def test_a_prediction_that_is_off_ends_with_1(run_script: RunScript) -> None:
    def play(shape: scale_sizes.Shape, _: str) -> scale_runs.Figures:
        return {"cores": 30.0 if shape["hosts"] == 9_000 else 0.002 * shape["hosts"]}

    code, output, body = run_script("--sizes", "hosts", "--predict", "hosts=9000", play=play)
    prediction = body["predictions"][0]
    assert (code, prediction["off"], prediction["within"]) == (1, 0.6667, False)
    assert "off by 67%, beyond 20%" in output


def test_a_run_that_fails_is_reported_and_the_rest_stands(run_script: RunScript) -> None:
    def play(shape: scale_sizes.Shape, _: str) -> scale_runs.Figures:
        if shape["methods"] == 400 and shape["seed"] == 1_002:
            raise scale_runs.RunError("void: the machine stood still")
        return {"settings_read_ms": 0.1 * shape["methods"]}

    code, output, body = run_script("--sizes", "methods", play=play)
    assert (code, len(body["runs"])) == (1, 7)
    assert "failed: methods-400-2 (this): void: the machine stood still\n" in output
    assert body["slopes"]["this"]["methods"]["settings_read_ms"]["slope"] == almost(0.1)


def test_hard_cases_are_added_to_what_the_file_has(run_script: RunScript) -> None:
    before = run_script("--sizes", "methods", play=lambda *_: {"cores": 1.0}).body
    code, _, body = run_script(
        "--sizes", "none", "--hard", "--sets", play=lambda *_: {"cores": 2.0}
    )
    assert {key: body[key] for key in before} == before
    assert [row["case"] for row in body["hard"]] == list(scale_sizes.CASES)
    assert code == 0
    assert body["sets"][0]["figures"] == {"cores": 2.0}
    assert len(body["sets"]) == 1


# Two small sizes, run with real processes.

BUILDS = ("this", "base")
POINTS = {"hosts": (4, 8, 12, 16), "methods": (2, 4, 6, 8)}
UNIT_BY_FIGURE = {
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
FILE_KEYS = {
    "version",
    "commit",
    "base_commit",
    "machine",
    "load",
    "runs",
    "slopes",
    "predictions",
}
SLOPE_KEYS = {"unit", "intercept", "slope", "spread", "line", "note", "points"}


@pytest.fixture(scope="module")
def measured(tmp_path_factory: pytest.TempPathFactory) -> dict[str, Any]:
    """Run the script on two sizes, with this build as its own base, and return the file."""
    output_file = tmp_path_factory.mktemp("scale") / "scale.json"
    arguments = ["--sizes", "hosts,methods", "--runs", "1", "--seconds", "0.5"]
    for size, values in POINTS.items():
        arguments += ["--points", f"{size}={','.join(map(str, values))}"]
    arguments += ["--out", str(output_file), "--base", str(scale_sizes.ROOT)]
    ended = subprocess.run(
        [sys.executable, SCRIPT, *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert ended.returncode == 0, ended.stdout + ended.stderr
    assert ended.stdout.endswith(f"; {output_file}\n")
    return json.loads(output_file.read_text())


def test_the_file_of_two_sizes_is_in_form(measured: dict[str, Any]) -> None:
    assert set(measured) == FILE_KEYS
    assert measured["version"] == 1
    assert set(measured["machine"]) == {"cores", "memory_gb", "python"}


def test_the_file_of_two_sizes_has_each_run_of_each_build(measured: dict[str, Any]) -> None:
    runs = measured["runs"]
    assert [row["order"] for row in runs] == list(range(1, 17))
    assert {(row["id"], row["build"]) for row in runs} == {
        (f"{size}-{value}-1", build)
        for size, values in POINTS.items()
        for value in values
        for build in BUILDS
    }


@pytest.mark.parametrize("build", BUILDS)
@pytest.mark.parametrize("size", POINTS)
def test_the_file_of_two_sizes_has_each_slope(
    measured: dict[str, Any], build: str, size: str
) -> None:
    slopes = measured["slopes"][build][size]
    for figure, unit in UNIT_BY_FIGURE.items():
        row = slopes[figure]
        assert set(row) == SLOPE_KEYS
        assert [len(point) for point in row["points"]] == [5] * 4
        assert row["unit"] == unit
