"""The command line of `scale.py`: its parser, and the checked options."""

import argparse
import pathlib
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple, NoReturn

from benchmarks.scale_sizes import MAXIMUM_JOBS, ROOT, SIZES
from petrellane.testbed import slopes

MAXIMUM_RUNS = 50
MAXIMUM_SECONDS = 60.0
LARGEST_VALUE = 1e9
THIS_BUILD = "this"
BASE_BUILD = "base"


class Prediction(NamedTuple):
    """A value of a size that no run of the lines has."""

    size: str
    value: float


@dataclass(frozen=True)
class Options:
    """What the command line asks for.

    Attributes:
        sizes: Names of the sizes to vary.
        runs: Runs for each point.
        jobs: Runs side by side, at most.
        out: The file of results.
        builds: The folder of each build, by its name.
        points: The values of each size.
        predictions: Values that are predicted, then run.
        overrides: Parts of every run's shape that the command line replaces.
        seed: Of the order of runs, and of each run's own seed.
        plays_hard_cases: Whether hard cases are played.
        plays_subset_cases: Whether the evenness of endpoint subsets is measured.
    """

    sizes: list[str]
    runs: int
    jobs: int
    out: str
    builds: dict[str, str]
    points: dict[str, tuple[float, ...]]
    predictions: list[Prediction]
    overrides: dict[str, float]
    seed: int
    plays_hard_cases: bool
    plays_subset_cases: bool

    def runs_of(self, size: str) -> int:
        """Return the number of runs for each point of a size."""
        return min(self.runs, SIZES[size].maximum_runs)


class OneLineParser(argparse.ArgumentParser):
    """A parser whose errors take one line."""

    def error(self, message: str) -> NoReturn:
        """Exit with code 2 and the message."""
        self.exit(2, f"scale: {message}\n")


def build_parser(description: str) -> argparse.ArgumentParser:
    """Return the command line's parser."""
    parser = OneLineParser(description=description)
    parser.add_argument("--sizes", default="all", help=f"all, none, or some of {','.join(SIZES)}")
    parser.add_argument("--runs", type=int, default=5, help="runs a point")
    parser.add_argument("--out", default=str(ROOT / "benchmarks" / "scale.json"))
    parser.add_argument(
        "--base", default="", help="another checkout, whose decisions are played as well"
    )
    parser.add_argument("--predict", action="append", default=[], metavar="SIZE=VALUE")
    parser.add_argument("--points", action="append", default=[], metavar="SIZE=V,V,V,V")
    parser.add_argument(
        "--seconds",
        type=float,
        help="length of every run on its own clock, in place of the usual one",
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=MAXIMUM_JOBS, help="runs side by side at most")
    parser.add_argument("--hard", action="store_true")
    parser.add_argument("--sets", action="store_true")
    return parser


def parse_number(text: str, option: str) -> float:
    """Return a number above 0, as an integer where it is one.

    Raises:
        ValueError: It is none; the text is one line.
    """
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0 < value < LARGEST_VALUE:
        raise ValueError(f"{option}: expected a number above 0, found {text}")
    return int(value) if value == int(value) else value


def parse_assignment(text: str, option: str) -> tuple[str, str]:
    """Split SIZE=REST.

    Raises:
        ValueError: There is no such size; the text is one line.
    """
    name, _, rest = text.partition("=")
    if name not in SIZES:
        raise ValueError(
            f"{option}: expected SIZE=... with one of {', '.join(SIZES)}, found {text}"
        )
    return name, rest


def parse_sizes(text: str) -> list[str]:
    """Return the names of sizes. Raises ValueError with one line."""
    if text == "none":
        return []
    if text == "all":
        return list(SIZES)
    names = text.split(",")
    unknown = [name for name in names if name not in SIZES]
    if unknown:
        raise ValueError(
            f"--sizes: expected all, none or some of {', '.join(SIZES)}, found {unknown[0]}"
        )
    return names


def parse_builds(base: str) -> dict[str, str]:
    """Return the folders of the builds. Raises ValueError with one line."""
    builds = {THIS_BUILD: str(ROOT)}
    if base:
        folder = pathlib.Path(base).absolute()
        if not (folder / "petrellane" / "__main__.py").is_file():
            raise ValueError(
                "--base: expected a checkout with petrellane/decisions/controller.py, "
                f"found {folder}"
            )
        builds[BASE_BUILD] = str(folder)
    return builds


def parse_points(texts: Sequence[str]) -> dict[str, tuple[float, ...]]:
    """Return the points of all sizes. Raises ValueError with one line."""
    points = {name: size.points for name, size in SIZES.items()}
    for text in texts:
        name, rest = parse_assignment(text, "--points")
        values = {parse_number(value, f"--points {name}") for value in rest.split(",")}
        points[name] = tuple(sorted(values))
        if len(values) < slopes.MINIMUM_POINTS:
            raise ValueError(
                f"--points {name}: expected {slopes.MINIMUM_POINTS} points or more, "
                f"found {len(values)}"
            )
    return points


def parse_predictions(
    texts: Sequence[str], sizes: Sequence[str], points: dict[str, tuple[float, ...]]
) -> list[Prediction]:
    """Return the values to predict. Raises ValueError with one line."""
    predictions = []
    for text in texts:
        name, rest = parse_assignment(text, "--predict")
        value = parse_number(rest, f"--predict {name}")
        if name not in sizes:
            raise ValueError(f"--predict: expected a size that is run, found {name}")
        if value in points[name]:
            raise ValueError(f"--predict {name}: expected a value that no run has, found {value:g}")
        predictions.append(Prediction(name, value))
    return predictions


def check_arguments(arguments: argparse.Namespace) -> Options:
    """Return the options of parsed arguments. Raises ValueError with one line."""
    sizes = parse_sizes(arguments.sizes)
    if not 1 <= arguments.runs <= MAXIMUM_RUNS:
        raise ValueError(f"--runs: expected 1 to {MAXIMUM_RUNS}, found {arguments.runs}")
    if not 1 <= arguments.jobs <= MAXIMUM_JOBS:
        raise ValueError(f"--jobs: expected 1 to {MAXIMUM_JOBS}, found {arguments.jobs}")
    if not pathlib.Path(arguments.out).absolute().parent.is_dir():
        raise ValueError(f"--out: expected a file in a folder that is there, found {arguments.out}")
    builds = parse_builds(arguments.base)
    points = parse_points(arguments.points)
    predictions = parse_predictions(arguments.predict, sizes, points)
    seconds = arguments.seconds
    if seconds is not None and not 0 < seconds <= MAXIMUM_SECONDS:
        raise ValueError(
            f"--seconds: expected above 0 and at most {MAXIMUM_SECONDS:g}, found {seconds:g}"
        )
    if not (sizes or arguments.hard or arguments.sets):
        raise ValueError("--sizes none: expected --hard or --sets with it, found neither")
    return Options(
        sizes=sizes,
        runs=arguments.runs,
        jobs=arguments.jobs,
        out=arguments.out,
        builds=builds,
        points=points,
        predictions=predictions,
        overrides={"seconds": seconds} if seconds else {},
        seed=arguments.seed,
        plays_hard_cases=arguments.hard,
        plays_subset_cases=arguments.sets,
    )
